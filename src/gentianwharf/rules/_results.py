"""Results of checking, comparing, applying and explaining rules."""

from dataclasses import dataclass
from enum import StrEnum
from typing import final

from ._document import RuleDocument


class Severity(StrEnum):
    """The severity of a finding; a document with an error is refused."""

    ERROR = "error"
    WARNING = "warning"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """One problem of a rule document, and what is expected instead.

    ``location`` is a path in the document (``rules.0.when.key``), from which a tool
    with the text can determine the line.
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

    ``number`` counts the changes from 1. ``revision`` is the revision of the store,
    which only increases.
    """

    number: int
    revision: int
    edited_from_revision: int
    author: str
    change_id: str
    document: RuleDocument


class ChangeKind(StrEnum):
    """How a rule differs between two documents."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"
    MOVED = "moved"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RuleChange:
    """A change of one rule; ``details`` has a line ``field: a -> b`` for each field."""

    kind: ChangeKind
    rule_name: str
    number_before: int | None
    number_after: int | None
    details: tuple[str, ...] = ()


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RulesApplied:
    """The document was applied.

    ``read_back`` is True if the store's answer was lost and reading the record showed
    that the write succeeded, ``superseded`` if others have edited the rules since, and
    ``already`` if the same document was in force before and nothing was written.
    ``warnings`` are the findings that are no errors.
    """

    version: RuleVersion
    read_back: bool
    superseded: bool = False
    already: bool = False
    warnings: tuple[Finding, ...] = ()


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RulesRefused:
    """The document has errors; nothing was written."""

    findings: tuple[Finding, ...]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RulesConflict:
    """Another document was applied first; this one had no effect.

    ``base_known`` is False if the document that both were edited from is no longer in
    the history; both changes are then relative to an empty document.
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
    """A rule that does not match a request, and the conditions that are not met."""

    number: int
    rule_name: str
    reasons: tuple[str, ...]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """Which rule matches a request, and why each earlier rule does not."""

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
