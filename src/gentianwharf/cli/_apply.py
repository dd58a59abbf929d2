"""``gentianwharf rules apply``: put a file in force, and see it in force everywhere."""

import re
import secrets
from pathlib import Path
from typing import Any

from gentianwharf.errors import OutcomeUnknownError
from gentianwharf.rules import RuleDocument
from gentianwharf.settings import load_rules

from ._client import AdminClient, ProblemError
from ._everywhere import wait_everywhere
from ._exit_codes import ExitCode
from ._rules import changes_against, print_changes
from ._terminal import Terminal

MOST_TRIES = 3
"""A change keeps its id when it is sent again, so that it can't be made twice."""

REVISION_LINE = re.compile(r"^// edited_from_revision: (\d{1,18})\s*$", re.MULTILINE)


async def apply(
    client: AdminClient,
    shown: Terminal,
    *,
    file: Path,
    edited_from: int | None,
    without_asking: bool,
    wait_s: int,
) -> ExitCode:
    """Put a rule file in force, unless another operator was faster.

    Then wait up to ``wait_s`` until every listed host matches with it; 0 for no wait.
    """
    document = load_rules(file)
    revision = edited_from if edited_from is not None else _written_revision(file)
    if revision is None:
        revision = await _confirmed_revision(client, shown, file, without_asking)
    if revision is None:
        shown.problem("nothing was applied")
        return ExitCode.REFUSED
    try:
        applied = await _put(client, document, revision)
    except ProblemError as error:
        conflict = error.reply.member("conflict")
        if conflict is None:
            raise
        _print_conflict(conflict, shown)
        return ExitCode.CONFLICT
    everywhere = None
    if wait_s:
        revision = applied["version"]["revision"]
        everywhere = await wait_everywhere(client, revision=revision, wait_s=wait_s)
        applied["in_force"] = everywhere.found
    _print_applied(applied, shown)
    return ExitCode.DONE if everywhere is None else everywhere.tell(shown)


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
    print_changes(changes_against(version, load_rules(file)), shown)
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
