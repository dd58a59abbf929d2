"""Loads the rule file that the settings name, and checks it against them."""

from collections.abc import Iterable
from pathlib import Path

from gentianwharf.errors import InputError
from gentianwharf.rules import Finding, RuleChecker, RuleDocument, Severity

from ._lines import LineMap
from ._load import load_rules_with_lines
from ._models import Settings
from ._topology import rule_scope_of


def line_of_finding(finding: Finding, lines: LineMap) -> int:
    """Return the line of the rule file that a finding refers to."""
    parts = finding.location.split(".")
    return lines.line_of(int(part) if part.isdigit() else part for part in parts)


def load_initial_rules(settings: Settings, *, directory: Path) -> RuleDocument | None:
    """Return the rules to write to an empty store, or None if there are none.

    They are checked like documents that operators apply, since no later check would
    detect a key with two owners. Raises ``InputError``, which names the lines.
    """
    if settings.initial_rules is None:
        return None
    path = directory / settings.initial_rules
    document, lines = load_rules_with_lines(path)
    findings = RuleChecker(scope=rule_scope_of(settings)).check(document)
    errors = [item for item in findings if item.severity is Severity.ERROR]
    if errors:
        raise InputError(
            f"{path}: {len(errors)} refused:{_format_findings(errors, lines)}",
            step="check",
            peer=str(path),
        )
    return document


def _format_findings(findings: Iterable[Finding], lines: LineMap) -> str:
    return "".join(
        f"\n  line {line_of_finding(item, lines)}: {item}" for item in findings
    )
