"""Compares two rule documents rule by rule, for display to operators."""

from collections.abc import Iterator, Mapping
from difflib import SequenceMatcher
from typing import Any

from ._document import Rule, RuleDocument
from ._results import ChangeKind, RuleChange


def diff_documents(
    before: RuleDocument | None, after: RuleDocument
) -> tuple[RuleChange, ...]:
    """Return the changes from ``before`` to ``after``, by rule name.

    The order of rules determines which one matches, so a rule that only changed its
    position among the others is reported too.
    """
    old = _numbered(before) if before is not None else {}
    new = _numbered(after)
    moved = _moved(list(old), list(new))
    return tuple(_changes(old, new, moved))


def _numbered(document: RuleDocument) -> dict[str, tuple[int, Rule]]:
    return {rule.name: (number, rule) for number, rule in enumerate(document.rules, 1)}


def _moved(old: list[str], new: list[str]) -> set[str]:
    """Return the names whose position among the common names changed."""
    common = set(old) & set(new)
    left = [name for name in old if name in common]
    right = [name for name in new if name in common]
    matcher = SequenceMatcher(a=left, b=right, autojunk=False)
    unmoved: set[str] = set()
    for block in matcher.get_matching_blocks():
        unmoved.update(left[block.a : block.a + block.size])
    return common - unmoved


def _changes(
    old: dict[str, tuple[int, Rule]],
    new: dict[str, tuple[int, Rule]],
    moved: set[str],
) -> Iterator[RuleChange]:
    for name, (number, rule) in new.items():
        if name not in old:
            yield RuleChange(
                kind=ChangeKind.ADDED,
                rule_name=name,
                number_before=None,
                number_after=number,
                details=tuple(f"{key}: {value}" for key, value in _fields(rule)),
            )
            continue
        old_number, old_rule = old[name]
        details = _differences(old_rule, rule)
        if details or name in moved:
            yield RuleChange(
                kind=ChangeKind.CHANGED if details else ChangeKind.MOVED,
                rule_name=name,
                number_before=old_number,
                number_after=number,
                details=details,
            )
    for name, (number, _) in old.items():
        if name not in new:
            yield RuleChange(
                kind=ChangeKind.REMOVED,
                rule_name=name,
                number_before=number,
                number_after=None,
            )


def _differences(before: Rule, after: Rule) -> tuple[str, ...]:
    old, new = dict(_fields(before)), dict(_fields(after))
    return tuple(
        f"{key}: {old.get(key, 'none')} -> {new.get(key, 'none')}"
        for key in dict.fromkeys([*old, *new])
        if old.get(key) != new.get(key)
    )


def _fields(rule: Rule) -> Iterator[tuple[str, str]]:
    yield from _flatten("", rule.model_dump(mode="json", exclude={"name"}))


def _flatten(prefix: str, values: Mapping[str, Any]) -> Iterator[tuple[str, str]]:
    for key, value in values.items():
        if isinstance(value, dict):
            yield from _flatten(f"{prefix}{key}.", value)
        elif value not in (None, []):
            yield f"{prefix}{key}", _text(value)


def _text(value: object) -> str:
    if isinstance(value, list):
        return " ".join(str(item) for item in value)
    return str(value)
