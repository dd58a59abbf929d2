"""``gentianwharf rules``: show, compare, apply and explain the rules."""

import json
import re
import secrets
from pathlib import Path
from typing import Any

from gentianwharf.errors import InputError, OutcomeUnknownError
from gentianwharf.rules import RuleChange, RuleDocument, changes
from gentianwharf.settings import load_rules

from ._client import AdminClient, ProblemError
from ._exits import Exit
from ._terminal import Terminal

MOST_TRIES = 3
"""A change keeps its id when it is sent again, so that it can't be made twice."""

REVISION_LINE = re.compile(r"^// edited_from_revision: (\d{1,18})\s*$", re.MULTILINE)


async def show(client: AdminClient, shown: Terminal, *, in_force: bool) -> Exit:
    """Print the rules as a file that can be edited and applied again."""
    path = ("rules", "in-force") if in_force else ("rules",)
    version = await client.get(*path)
    if version is None:
        shown.problem("the store has no rules yet; apply a file with --edited-from 0")
        return Exit.REFUSED
    if shown.as_json:
        shown.json(version)
        return Exit.DONE
    shown.line(f"// edited_from_revision: {version['revision']}")
    if "author" in version:
        shown.line(f"// change {version['number']} by {version['author']}")
    shown.line(json.dumps(version["document"], indent=2, ensure_ascii=False))
    return Exit.DONE


async def diff(client: AdminClient, shown: Terminal, *, file: Path) -> Exit:
    """Print what applying ``file`` would change."""
    document = load_rules(file)
    version = await client.get("rules")
    before = RuleDocument.model_validate(version["document"]) if version else None
    found = [_plain_change(one) for one in changes(before, document)]
    if shown.as_json:
        revision = version["revision"] if version else 0
        shown.json({"revision": revision, "changes": found})
    else:
        print_changes(found, shown)
    return Exit.DONE


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


async def apply(
    client: AdminClient,
    shown: Terminal,
    *,
    file: Path,
    edited_from: int | None,
    without_asking: bool,
) -> Exit:
    """Put a rule file in force, unless another operator was faster."""
    document = load_rules(file)
    revision = edited_from if edited_from is not None else _written_revision(file)
    if revision is None:
        revision = await _confirmed_revision(client, shown, file, without_asking)
    if revision is None:
        shown.problem("nothing was applied")
        return Exit.REFUSED
    try:
        applied = await _put(client, document, revision)
    except ProblemError as error:
        conflict = error.reply.member("conflict")
        if conflict is None:
            raise
        _print_conflict(conflict, shown)
        return Exit.CONFLICT
    _print_applied(applied, shown)
    return Exit.DONE


def _written_revision(file: Path) -> int | None:
    found = REVISION_LINE.search(file.read_text(encoding="utf-8"))
    return int(found.group(1)) if found is not None else None


async def _confirmed_revision(
    client: AdminClient, shown: Terminal, file: Path, without_asking: bool
) -> int | None:
    """Show the change against what is in the store now, and ask.

    A file that doesn't say what it was edited from may undo another operator's
    change without a conflict; the operator must at least see it.
    """
    version = await client.get("rules")
    revision = int(version["revision"]) if version else 0
    shown.note(f"{file} does not say which revision it was edited from.")
    shown.note(f"Against revision {revision}:")
    before = RuleDocument.model_validate(version["document"]) if version else None
    print_changes(
        [_plain_change(one) for one in changes(before, load_rules(file))], shown
    )
    if without_asking or shown.confirm("Apply it? Type yes:", "yes"):
        return revision
    return None


async def _put(client: AdminClient, document: RuleDocument, revision: int) -> Any:
    """Send the document; again, under the same id, when an answer is lost."""
    change_id = secrets.token_hex(12)
    lost: OutcomeUnknownError | None = None
    for _ in range(MOST_TRIES):
        try:
            return await client.send(
                "PUT",
                "rules",
                body=document.model_dump(mode="json"),
                edited_from_revision=revision,
                change_id=change_id,
            )
        except OutcomeUnknownError as error:
            lost = error
    assert lost is not None
    raise OutcomeUnknownError(
        f"{lost.message}; `gentianwharf rules history` lists change {change_id} if it"
        " took effect",
        step=lost.step,
        peer=lost.peer,
    )


def _print_applied(applied: dict[str, Any], shown: Terminal) -> None:
    if shown.as_json:
        shown.json(applied)
        return
    version = applied["version"]
    if applied["already"]:
        shown.line(f"in force already, as revision {version['revision']}")
        return
    shown.line(f"applied as revision {version['revision']}")
    if applied["read_back"]:
        shown.line("an answer was lost; the change was found by reading back")
    if applied["superseded"]:
        shown.line("others have changed the rules since: see `rules history`")
    for finding in applied["warnings"]:
        shown.line(
            f"{finding['severity']}: {finding['location']}: found {finding['found']};"
            f" expected {finding['expected']}"
        )


def _print_conflict(conflict: dict[str, Any], shown: Terminal) -> None:
    if shown.as_json:
        shown.json(conflict)
        return
    current = conflict["current"]
    shown.problem(
        f"{current['author']} was faster: nothing was applied. The store is at revision"
        f" {current['revision']}, this file was edited from"
        f" {conflict['edited_from_revision']}"
    )
    if not conflict["base_known"]:
        shown.line("what both began with is no longer kept: whole lists are shown")
    shown.line(f"--- what {current['author']} changed")
    print_changes(conflict["theirs"], shown)
    shown.line("--- what this file would have changed")
    print_changes(conflict["mine"], shown)
    shown.line("Next: `gentianwharf rules show`, make your change there, apply that.")


async def history(client: AdminClient, shown: Terminal) -> Exit:
    """Print the versions still kept, newest first."""
    versions = await client.get("rules", "history")
    if shown.as_json:
        shown.json(versions)
        return Exit.DONE
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
    return Exit.DONE


async def explain(
    client: AdminClient, shown: Terminal, *, request: dict[str, Any]
) -> Exit:
    """Print which rule decides a request, and why earlier ones do not."""
    answer = await client.send("POST", "explain", body=request)
    if shown.as_json:
        shown.json(answer)
        return Exit.DONE
    found, owner = answer["explanation"], answer["owner"]
    for one in found["passed_over"]:
        shown.line(f"rule {one['number']} ({one['rule_name']}) does not match:")
        for reason in one["reasons"]:
            shown.line(f"    {reason}")
    if found["number"] is None:
        shown.line("no rule matches: the request is refused as not run")
        return Exit.DONE
    shown.line(f"rule {found['number']} ({found['rule_name']}) decides:")
    for name in ("service", "site", "request_class", "key", "shard", "repeatable"):
        shown.line(f"    {name}: {found[name] if found[name] is not None else '-'}")
    if owner is not None:
        shown.line(
            f"    owner: {owner['server'] or 'none'} under token {owner['token']}"
        )
    return Exit.DONE


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
