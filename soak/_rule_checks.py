"""Checks of added and removed rules, from the responses that callers receive."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from gentianwharf.platform.standin import MOVED, UNKEYED

from ._added_rules import AddedRule
from ._checks import SentRequest
from ._disruptions import Disruptions
from ._server_arguments import service_of

SERVED_STATUS = 200
NO_RULE_STATUS = 404
"""Hosts respond so if no rule matches; the backend servers never do."""


def requests_with_known_outcome(
    requests: Sequence[SentRequest], disruptions: Disruptions
) -> list[SentRequest]:
    """Return requests through undisrupted hosts for which only one status is right.

    Failures other than an unknown rule are left to other checks.
    """
    return [
        request
        for request in requests
        if request.rule is not None
        and request.status in (SERVED_STATUS, NO_RULE_STATUS)
        and (request.is_allowed() or request.rule.must_be_absent(request.sent_s))
        and disruptions.is_undisrupted(request.host, request.sent_s, request.ended_s)
    ]


def find_stale_versions(
    requests: Sequence[SentRequest], disruptions: Disruptions
) -> list[str]:
    """Return a line for each request that an undisrupted host handled by old rules."""
    return [
        f"CONFIG: {request.id} through {request.host} at {request.sent_s:.3f}"
        f" got {request.status}"
        f"{_service_text(request)}"
        f" for {request.rule.path}, {_rule_history(request.rule)}"
        for request in requests_with_known_outcome(requests, disruptions)
        if request.rule is not None
        and (
            request.status != _expected_status(request)
            or not _may_be_served_by(request.rule, request)
        )
    ]


def _expected_status(request: SentRequest) -> int:
    return SERVED_STATUS if request.is_allowed() else NO_RULE_STATUS


def _service(request: SentRequest) -> str | None:
    """Return the service of the server that answered, None if no server did."""
    if request.status != SERVED_STATUS or request.signature is None:
        return None
    return service_of(request.signature)


def _may_be_served_by(rule: AddedRule, request: SentRequest) -> bool:
    service = _service(request)
    return service is None or service in rule.services(request.sent_s, request.ended_s)


def _service_text(request: SentRequest) -> str:
    service = _service(request)
    return f" of {service}" if service is not None else ""


def find_version_regressions(requests: Sequence[SentRequest]) -> list[str]:
    """Return a line for each request handled by an older version than one before it."""
    by_host: dict[str, list[SentRequest]] = defaultdict(list)
    for request in requests:
        if request.rule is not None and request.status in (
            SERVED_STATUS,
            NO_RULE_STATUS,
        ):
            by_host[request.host].append(request)
    return [
        line
        for host_requests in by_host.values()
        for line in _find_host_regressions(host_requests)
    ]


def _find_host_regressions(requests: list[SentRequest]) -> Iterable[str]:
    """Yield a line for each request of one host that shows an older version.

    Only requests sent after the response that showed the newer version count.
    """
    by_end = sorted(requests, key=lambda request: request.ended_s)
    shown, seen = 0, 0
    for request in sorted(requests, key=lambda request: request.sent_s):
        while seen < len(by_end) and by_end[seen].ended_s < request.sent_s:
            shown = max(shown, _min_version(by_end[seen]))
            seen += 1
        below = _version_above(request)
        if below is not None and below <= shown:
            yield (
                f"OLDER: {request.id} through {request.host} at {request.sent_s:.3f}"
                f" got {request.status} as before version {below},"
                f" after version {shown}"
            )


def _min_version(request: SentRequest) -> int:
    """Return the lowest version with which a host can have responded so."""
    rule = request.rule
    if rule is None or request.status != SERVED_STATUS:
        return 0
    if rule.moved is not None and _service(request) == MOVED:
        return rule.moved.number
    return rule.added.number


def _version_above(request: SentRequest) -> int | None:
    """Return the lowest version with which a host can't have responded so."""
    rule = request.rule
    if rule is None:
        return None
    if request.status == SERVED_STATUS:
        if rule.moved is not None and _service(request) == UNKEYED:
            return rule.moved.number
        return rule.removed.number if rule.removed is not None else None
    # The host did not have the rule: its version was older than the rule, unless the
    # rule's removal may have been in force already.
    may_be_removed = rule.removed is not None and rule.removed.sent_s <= request.ended_s
    return None if may_be_removed else rule.added.number


def _rule_history(rule: AddedRule) -> str:
    history = f"added by {rule.added.number} at {rule.added.acknowledged_s:.3f}"
    if rule.removed is not None:
        removed = rule.removed
        history += f", removed by {removed.number} at {removed.acknowledged_s:.3f}"
    if rule.moved is not None:
        history += f", moved by {rule.moved.number} at {rule.moved.acknowledged_s:.3f}"
    return history
