"""What came of checking, comparing and applying rule documents."""

from dataclasses import dataclass
from enum import StrEnum
from typing import final

from ._document import RuleDocument


class Severity(StrEnum):
    """Whether a finding refuses the document."""

    ERROR = "error"
    WARNING = "warning"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """One thing that is wrong with a rule document, and what to do about it.

    ``location`` leads through the document (``rules.0.when.key``), so that a tool
    that holds the text can name the line.
    """

    severity: Severity
    rule_number: int | None
    rule_name: str | None
    location: str
    found: str
    expected: str

    def __str__(self) -> str:
        rule = ""
        if self.rule_number is not None:
            rule = f"rule {self.rule_number} ({self.rule_name}): "
        return (
            f"{self.severity}: {rule}{self.location}: found {self.found};"
            f" expected {self.expected}"
        )


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RuleVersion:
    """A rule document that is or was in force.

    ``number`` counts the changes from 1; ``revision`` is the store's, which only grows.
    """

    number: int
    revision: int
    edited_from_revision: int
    author: str
    change_id: str
    document: RuleDocument


class ChangeKind(StrEnum):
    """What happened to a rule between two documents."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"
    MOVED = "moved"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RuleChange:
    """One rule's change, with one line a field that differs (``field: a -> b``)."""

    kind: ChangeKind
    rule_name: str
    number_before: int | None
    number_after: int | None
    details: tuple[str, ...] = ()


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RulesApplied:
    """The document is in force in the store.

    ``read_back`` tells that the store's answer was lost and the write was found by
    reading; ``superseded`` that others have edited the rules since; ``already`` that
    the same document was in force before, whoever applied it, and nothing was written.
    ``warnings`` did not refuse the document.
    """

    version: RuleVersion
    read_back: bool
    superseded: bool = False
    already: bool = False
    warnings: tuple[Finding, ...] = ()


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RulesRefused:
    """The document breaks a rule of its form; nothing was written."""

    findings: tuple[Finding, ...]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RulesConflict:
    """Somebody else's document came first; nothing of this one took effect.

    ``base_known`` is False when the document that both began with is no longer
    kept; both changes are then shown against an empty list.
    """

    current: RuleVersion
    edited_from_revision: int
    base_known: bool
    theirs: tuple[RuleChange, ...]
    mine: tuple[RuleChange, ...]


ApplyResult = RulesApplied | RulesRefused | RulesConflict


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class UnmatchedRule:
    """A rule that did not match a request, and the conditions that failed."""

    number: int
    rule_name: str
    reasons: tuple[str, ...]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """Which rule decides a request, and why each earlier one did not."""

    revision: int
    number: int | None
    rule_name: str | None
    service: str | None
    site: str | None
    request_class: str | None
    key: str | None
    shard: int | None
    repeatable: bool | None
    passed_over: tuple[UnmatchedRule, ...]
