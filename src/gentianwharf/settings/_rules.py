"""The rule file that settings name, checked against these settings."""

from collections.abc import Iterable
from pathlib import Path

from gentianwharf.errors import InputError
from gentianwharf.rules import Finding, RuleChecker, RuleDocument, Severity

from ._lines import LineMap
from ._load import load_rules_with_lines
from ._models import Settings
from ._topology import rule_scope_of


def line_of_finding(finding: Finding, lines: LineMap) -> int:
    """Return the line of a rule file on which a finding stands."""
    parts = finding.location.split(".")
    return lines.line_of(int(part) if part.isdigit() else part for part in parts)


def load_initial_rules(settings: Settings, *, directory: Path) -> RuleDocument | None:
    """Read the rules that an empty store gets; None when the settings name none.

    They are checked like those that operators apply: nobody else would see that a
    list gives one key two owners. Raises ``InputError`` naming each line.
    """
    if settings.initial_rules is None:
        return None
    path = directory / settings.initial_rules
    document, lines = load_rules_with_lines(path)
    findings = RuleChecker(scope=rule_scope_of(settings)).check(document)
    errors = [one for one in findings if one.severity is Severity.ERROR]
    if errors:
        raise InputError(
            f"{path}: {len(errors)} refused:{_listed(errors, lines)}",
            step="check",
            peer=str(path),
        )
    return document


def _listed(findings: Iterable[Finding], lines: LineMap) -> str:
    return "".join(f"\n  line {line_of_finding(one, lines)}: {one}" for one in findings)
