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


async def show(client: AdminClient, shown: Terminal, *, in_force: bool) -> ExitCode:
    """Print the rules as a file that can be edited and applied again."""
    path = ("rules", "in-force") if in_force else ("rules",)
    version = await client.get(*path)
    if version is None:
        shown.problem("the store has no rules yet; apply a file with --edited-from 0")
        return ExitCode.REFUSED
    if shown.as_json:
        shown.json(version)
        return ExitCode.DONE
    shown.line(f"// edited_from_revision: {version['revision']}")
    if "author" in version:
        shown.line(f"// change {version['number']} by {version['author']}")
    shown.line(json.dumps(version["document"], indent=2, ensure_ascii=False))
    return ExitCode.DONE


async def diff(client: AdminClient, shown: Terminal, *, file: Path) -> ExitCode:
    """Print what applying ``file`` would change."""
    document = load_rules(file)
    version = await client.get("rules")
    found = changes_against(version, document)
    if shown.as_json:
        revision = version["revision"] if version else 0
        shown.json({"revision": revision, "changes": found})
    else:
        print_changes(found, shown)
    return ExitCode.DONE


def changes_against(
    version: dict[str, Any] | None, document: RuleDocument
) -> list[dict[str, Any]]:
    """Return the changes from a version of the store, None for none, to a document."""
    before = RuleDocument.model_validate(version["document"]) if version else None
    return [_plain_change(one) for one in diff_documents(before, document)]


def _plain_change(change: RuleChange) -> dict[str, Any]:
    return {
        "kind": change.kind.value,
        "rule_name": change.rule_name,
        "number_before": change.number_before,
        "number_after": change.number_after,
        "details": list(change.details),
    }


def print_changes(found: list[dict[str, Any]], shown: Terminal) -> None:
    """Print changes, a rule a line and its fields below it."""
    if not found:
        shown.note("no change")
    for one in found:
        numbers = f"{one['number_before'] or '-'} -> {one['number_after'] or '-'}"
        shown.note(f"{one['kind']:8} {one['rule_name']} (rule {numbers})")
        for detail in one["details"]:
            shown.note(f"         {detail}")


async def history(client: AdminClient, shown: Terminal) -> ExitCode:
    """Print the versions still kept, newest first."""
    versions = await client.get("rules", "history")
    if shown.as_json:
        shown.json(versions)
        return ExitCode.DONE
    shown.table(
        ["change", "revision", "edited from", "by", "rules", "change id"],
        [
            [
                one["number"],
                one["revision"],
                one["edited_from_revision"],
                one["author"],
                len(one["document"]["rules"]),
                one["change_id"],
            ]
            for one in versions
        ],
    )
    return ExitCode.DONE


async def explain(
    client: AdminClient, shown: Terminal, *, request: dict[str, Any]
) -> ExitCode:
    """Print which rule decides a request, and why earlier ones do not."""
    answer = await client.send("POST", "explain", body=request)
    if shown.as_json:
        shown.json(answer)
        return ExitCode.DONE
    found, owner = answer["explanation"], answer["owner"]
    for one in found["passed_over"]:
        shown.line(f"rule {one['number']} ({one['rule_name']}) does not match:")
        for reason in one["reasons"]:
            shown.line(f"    {reason}")
    if found["number"] is None:
        shown.line("no rule matches: the request is refused as not run")
        return ExitCode.DONE
    shown.line(f"rule {found['number']} ({found['rule_name']}) decides:")
    for name in ("service", "site", "request_class", "key", "shard", "repeatable"):
        shown.line(f"    {name}: {found[name] if found[name] is not None else '-'}")
    if owner is not None:
        shown.line(
            f"    owner: {owner['server'] or 'none'} under token {owner['token']}"
        )
    return ExitCode.DONE


def parse_headers(texts: tuple[str, ...]) -> dict[str, str]:
    """Return headers given as ``name: value``.

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
