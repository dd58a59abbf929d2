"""``gentianwharf settings check`` and ``rules check``, which ask no daemon."""

from pathlib import Path

from gentianwharf.errors import InputError
from gentianwharf.rules import RuleChecker, Severity
from gentianwharf.settings import (
    line_of_finding,
    load_initial_rules,
    load_rules_with_lines,
    load_settings,
    rule_scope_of,
)

from ._exit_codes import ExitCode
from ._terminal import Terminal


def check_settings(file: Path, shown: Terminal) -> ExitCode:
    """Check a settings file, and against it the rule file that it names."""
    try:
        settings = load_settings(file)
        load_initial_rules(settings, directory=file.parent)
    except InputError as error:
        if not shown.as_json:
            raise
        shown.json({"file": str(file), "mistakes": error.message.splitlines()})
        return ExitCode.REFUSED
    if shown.as_json:
        shown.json({"file": str(file), "mistakes": []})
        return ExitCode.DONE
    shown.line(
        f"{file}: {len(settings.services)} services in {len(settings.domains)}"
        " failure domains, no mistakes"
    )
    return ExitCode.DONE


def check_rules(rules: Path, settings: Path, shown: Terminal) -> ExitCode:
    """Check a rule file against a settings file, without a daemon."""
    scope = rule_scope_of(load_settings(settings))
    document, lines = load_rules_with_lines(rules)
    findings = RuleChecker(scope=scope).check(document)
    refused = any(one.severity is Severity.ERROR for one in findings)
    if shown.as_json:
        shown.json(
            [
                {
                    "line": line_of_finding(one, lines),
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
            shown.line(f"{rules}: line {line_of_finding(one, lines)}: {one}")
        verdict = "refused" if refused else "can be applied"
        shown.line(f"{rules}: {len(document.rules)} rules, {verdict}")
    return ExitCode.REFUSED if refused else ExitCode.DONE
