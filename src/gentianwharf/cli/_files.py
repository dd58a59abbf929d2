"""``gentianwharf settings check`` and ``rules check``, which ask no daemon."""

from pathlib import Path

from gentianwharf.errors import InputError
from gentianwharf.rules import Finding, RuleChecker, Severity
from gentianwharf.settings import (
    Settings,
    TextLines,
    load_rules_with_lines,
    load_settings,
    rule_scope_of,
)

from ._exits import Exit
from ._terminal import Terminal


def check_settings(file: Path, shown: Terminal) -> Exit:
    """Check a settings file, and against it the rule file that it names."""
    try:
        settings = load_settings(file)
        if settings.initial_rules is not None:
            _check_initial_rules(file.parent / settings.initial_rules, settings)
    except InputError as error:
        if not shown.as_json:
            raise
        shown.json({"file": str(file), "mistakes": error.message.splitlines()})
        return Exit.REFUSED
    if shown.as_json:
        shown.json({"file": str(file), "mistakes": []})
        return Exit.DONE
    shown.line(
        f"{file}: {len(settings.services)} services in {len(settings.domains)}"
        " failure domains, no mistakes"
    )
    return Exit.DONE


def _check_initial_rules(rules: Path, settings: Settings) -> None:
    document, lines = load_rules_with_lines(rules)
    findings = RuleChecker(scope=rule_scope_of(settings)).check(document)
    errors = [one for one in findings if one.severity is Severity.ERROR]
    if errors:
        listed = "".join(f"\n  line {_line_of(one, lines)}: {one}" for one in errors)
        raise InputError(
            f"{rules}: {len(errors)} mistakes:{listed}", step="check", peer=str(rules)
        )


def check_rules(rules: Path, settings: Path, shown: Terminal) -> Exit:
    """Check a rule file against a settings file, without a daemon."""
    scope = rule_scope_of(load_settings(settings))
    document, lines = load_rules_with_lines(rules)
    findings = RuleChecker(scope=scope).check(document)
    refused = any(one.severity is Severity.ERROR for one in findings)
    if shown.as_json:
        shown.json(
            [
                {
                    "line": _line_of(one, lines),
                    "severity": one.severity,
                    "rule_number": one.rule_number,
                    "rule_name": one.rule_name,
                    "location": one.location,
                    "found": one.found,
                    "expected": one.expected,
                }
                for one in findings
            ]
        )
    else:
        for one in findings:
            shown.line(f"{rules}: line {_line_of(one, lines)}: {one}")
        verdict = "refused" if refused else "can be applied"
        shown.line(f"{rules}: {len(document.rules)} rules, {verdict}")
    return Exit.REFUSED if refused else Exit.DONE


def _line_of(finding: Finding, lines: TextLines) -> int:
    parts = finding.location.split(".")
    return lines.line_of(int(part) if part.isdigit() else part for part in parts)
