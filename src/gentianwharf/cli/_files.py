"""``gentianwharf settings check`` and ``rules check``, which need no daemon."""

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


def check_settings(file: Path, terminal: Terminal) -> ExitCode:
    """Check a settings file and the initial rule file that it names."""
    try:
        settings = load_settings(file)
        load_initial_rules(settings, directory=file.parent)
    except InputError as error:
        if not terminal.as_json:
            raise
        terminal.json({"file": str(file), "mistakes": error.message.splitlines()})
        return ExitCode.REFUSED
    if terminal.as_json:
        terminal.json({"file": str(file), "mistakes": []})
        return ExitCode.DONE
    terminal.line(
        f"{file}: {len(settings.services)} services in {len(settings.domains)}"
        " failure domains, no mistakes"
    )
    return ExitCode.DONE


def check_rules(rules: Path, settings: Path, terminal: Terminal) -> ExitCode:
    """Check a rule file against a settings file, without a daemon."""
    scope = rule_scope_of(load_settings(settings))
    document, lines = load_rules_with_lines(rules)
    findings = RuleChecker(scope=scope).check(document)
    refused = any(finding.severity is Severity.ERROR for finding in findings)
    if terminal.as_json:
        terminal.json(
            [
                {
                    "line": line_of_finding(finding, lines),
                    "severity": finding.severity,
                    "rule_number": finding.rule_number,
                    "rule_name": finding.rule_name,
                    "location": finding.location,
                    "found": finding.found,
                    "expected": finding.expected,
                }
                for finding in findings
            ]
        )
    else:
        for finding in findings:
            terminal.line(f"{rules}: line {line_of_finding(finding, lines)}: {finding}")
        verdict = "refused" if refused else "can be applied"
        terminal.line(f"{rules}: {len(document.rules)} rules, {verdict}")
    return ExitCode.REFUSED if refused else ExitCode.DONE
