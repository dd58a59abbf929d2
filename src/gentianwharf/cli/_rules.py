"""``gentianwharf rules``: show, compare and explain the rules."""

import json
from pathlib import Path
from typing import Any

from gentianwharf.errors import InputError
from gentianwharf.rules import RuleChange, RuleDocument, diff_documents
from gentianwharf.settings import load_rules

from ._client import AdminClient
from ._exit_codes import ExitCode
from ._terminal import Terminal


async def show(client: AdminClient, terminal: Terminal, *, in_force: bool) -> ExitCode:
    """Print the rules as a file that can be edited and applied again."""
    path = ("rules", "in-force") if in_force else ("rules",)
    version = await client.get(*path)
    if version is None:
        terminal.problem(
            "the store has no rules yet; apply a file with --edited-from 0"
        )
        return ExitCode.REFUSED
    if terminal.as_json:
        terminal.json(version)
        return ExitCode.DONE
    terminal.line(f"// edited_from_revision: {version['revision']}")
    if "author" in version:
        terminal.line(f"// change {version['number']} by {version['author']}")
    terminal.line(json.dumps(version["document"], indent=2, ensure_ascii=False))
    return ExitCode.DONE


async def diff(client: AdminClient, terminal: Terminal, *, file: Path) -> ExitCode:
    """Print the changes that applying ``file`` would make."""
    document = load_rules(file)
    version = await client.get("rules")
    changes = changes_from_version(version, document)
    if terminal.as_json:
        revision = version["revision"] if version else 0
        terminal.json({"revision": revision, "changes": changes})
    else:
        print_changes(changes, terminal)
    return ExitCode.DONE


def changes_from_version(
    version: dict[str, Any] | None, document: RuleDocument
) -> list[dict[str, Any]]:
    """Return the changes from a stored version to ``document``; None: no version."""
    before = RuleDocument.model_validate(version["document"]) if version else None
    return [_change_fields(change) for change in diff_documents(before, document)]


def _change_fields(change: RuleChange) -> dict[str, Any]:
    return {
        "kind": change.kind.value,
        "rule_name": change.rule_name,
        "number_before": change.number_before,
        "number_after": change.number_after,
        "details": list(change.details),
    }


def print_changes(changes: list[dict[str, Any]], terminal: Terminal) -> None:
    """Print one line for each changed rule, with its changed fields below it."""
    if not changes:
        terminal.note("no change")
    for change in changes:
        numbers = f"{change['number_before'] or '-'} -> {change['number_after'] or '-'}"
        terminal.note(f"{change['kind']:8} {change['rule_name']} (rule {numbers})")
        for detail in change["details"]:
            terminal.note(f"         {detail}")


async def history(client: AdminClient, terminal: Terminal) -> ExitCode:
    """Print the retained versions of the rules, newest first."""
    versions = await client.get("rules", "history")
    if terminal.as_json:
        terminal.json(versions)
        return ExitCode.DONE
    terminal.table(
        ["change", "revision", "edited from", "by", "rules", "change id"],
        [
            [
                version["number"],
                version["revision"],
                version["edited_from_revision"],
                version["author"],
                len(version["document"]["rules"]),
                version["change_id"],
            ]
            for version in versions
        ],
    )
    return ExitCode.DONE


async def explain(
    client: AdminClient, terminal: Terminal, *, request: dict[str, Any]
) -> ExitCode:
    """Print the rule that decides a request and why earlier rules do not match."""
    answer = await client.send("POST", "explain", body=request)
    if terminal.as_json:
        terminal.json(answer)
        return ExitCode.DONE
    explanation, owner = answer["explanation"], answer["owner"]
    for rule in explanation["passed_over"]:
        terminal.line(f"rule {rule['number']} ({rule['rule_name']}) does not match:")
        for reason in rule["reasons"]:
            terminal.line(f"    {reason}")
    if explanation["number"] is None:
        terminal.line("no rule matches: the request is refused as not run")
        return ExitCode.DONE
    terminal.line(f"rule {explanation['number']} ({explanation['rule_name']}) decides:")
    for name in ("service", "site", "request_class", "key", "shard", "repeatable"):
        terminal.line(
            f"    {name}: {explanation[name] if explanation[name] is not None else '-'}"
        )
    if owner is not None:
        terminal.line(
            f"    owner: {owner['server'] or 'none'} under token {owner['token']}"
        )
    return ExitCode.DONE


def parse_headers(texts: tuple[str, ...]) -> dict[str, str]:
    """Parse header options of the form ``name: value``.

    >>> parse_headers(("X-Club: lions",))
    {'x-club': 'lions'}
    """
    headers = {}
    for text in texts:
        name, colon, value = text.partition(":")
        if not colon or not name.strip():
            raise InputError(
                f"--header: expected NAME: VALUE, got {text!r}",
                step="read options",
                peer="command line",
            )
        headers[name.strip().lower()] = value.strip()
    return headers
