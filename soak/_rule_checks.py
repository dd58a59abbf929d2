"""What must hold for rules that are added and removed, from what callers see."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from ._added_rules import AddedRule
from ._checks import Asked
from ._disruptions import Disruptions

SERVED = 200
NO_RULE = 404
"""Hosts answer so where no rule matches; the backend servers never do."""


def bound_in_time(asked: Sequence[Asked], disruptions: Disruptions) -> list[Asked]:
    """Return the requests that only one answer was right for, through hosts in touch.

    Other failures than that a rule is unknown are left to other checks.
    """
    return [
        one
        for one in asked
        if one.rule is not None
        and one.status in (SERVED, NO_RULE)
        and (one.is_allowed() or one.rule.must_be_unknown(one.asked_s))
        and disruptions.is_in_touch(one.host, one.asked_s, one.ended_s)
    ]


def late_rules(asked: Sequence[Asked], disruptions: Disruptions) -> list[str]:
    """Return a line for each request that a host in touch handled by an old version."""
    return [
        f"CONFIG: {one.id} through {one.host} at {one.asked_s:.3f} got {one.status}"
        f" for {one.rule.path}, {_story(one.rule)}"
        for one in bound_in_time(asked, disruptions)
        if one.rule is not None and one.status != _right_status(one)
    ]


def _right_status(asked: Asked) -> int:
    return SERVED if asked.is_allowed() else NO_RULE


def older_after_newer(asked: Sequence[Asked]) -> list[str]:
    """Return a line for each request that met an older version than one before."""
    by_host: dict[str, list[Asked]] = defaultdict(list)
    for one in asked:
        if one.rule is not None and one.status in (SERVED, NO_RULE):
            by_host[one.host].append(one)
    return [line for one in by_host.values() for line in _on_host(one)]


def _on_host(asked: list[Asked]) -> Iterable[str]:
    """Yield where a request was sent after the answer that showed a newer version."""
    by_end = sorted(asked, key=lambda one: one.ended_s)
    shown, seen = 0, 0
    for one in sorted(asked, key=lambda one: one.asked_s):
        while seen < len(by_end) and by_end[seen].ended_s < one.asked_s:
            shown = max(shown, _least_version(by_end[seen]))
            seen += 1
        below = _version_above(one)
        if below is not None and below <= shown:
            yield (
                f"OLDER: {one.id} through {one.host} at {one.asked_s:.3f} got"
                f" {one.status} as before version {below}, after version {shown}"
            )


def _least_version(asked: Asked) -> int:
    """Return the least version that a host must have had to answer so."""
    if asked.rule is None or asked.status != SERVED:
        return 0
    return asked.rule.added.number


def _version_above(asked: Asked) -> int | None:
    """Return the version below which a host must have been to answer so."""
    rule = asked.rule
    if rule is None:
        return None
    if asked.status == SERVED:
        return rule.removed.number if rule.removed is not None else None
    # Without the rule: before it was added, unless its removal was under way.
    may_be_removed = rule.removed is not None and rule.removed.sent_s <= asked.ended_s
    return None if may_be_removed else rule.added.number


def _story(rule: AddedRule) -> str:
    story = f"added by {rule.added.number} at {rule.added.acknowledged_s:.3f}"
    if rule.removed is not None:
        removed = rule.removed
        story += f", removed by {removed.number} at {removed.acknowledged_s:.3f}"
    return story
