"""``gentianwharf rules apply``: apply a rule file and wait for its rollout."""

import re
import secrets
from pathlib import Path
from typing import Any

from gentianwharf.errors import OutcomeUnknownError
from gentianwharf.rules import RuleDocument
from gentianwharf.settings import load_rules

from ._client import AdminClient, ProblemError
from ._exit_codes import ExitCode
from ._rollout import wait_for_rollout
from ._rules import changes_from_version, print_changes
from ._terminal import Terminal

MAX_ATTEMPTS = 3
"""Every attempt sends the same change id, so that the change is made only once."""

REVISION_LINE = re.compile(r"^// edited_from_revision: (\d{1,18})\s*$", re.MULTILINE)


async def apply(
    client: AdminClient,
    terminal: Terminal,
    *,
    file: Path,
    edited_from: int | None,
    assume_yes: bool,
    wait_s: int,
) -> ExitCode:
    """Put a rule file in force, unless the rules have changed since it was edited.

    Then wait up to ``wait_s`` seconds until every listed host matches requests with
    it; 0 means no wait.
    """
    document = load_rules(file)
    revision = edited_from if edited_from is not None else _revision_in_file(file)
    if revision is None:
        revision = await _confirmed_revision(client, terminal, file, assume_yes)
    if revision is None:
        terminal.problem("nothing was applied")
        return ExitCode.REFUSED
    try:
        applied = await _put(client, document, revision)
    except ProblemError as error:
        conflict = error.reply.extension_member("conflict")
        if conflict is None:
            raise
        _print_conflict(conflict, terminal)
        return ExitCode.CONFLICT
    rollout = None
    if wait_s:
        revision = applied["version"]["revision"]
        rollout = await wait_for_rollout(client, revision=revision, wait_s=wait_s)
        applied["in_force"] = rollout.status
    _print_applied(applied, terminal)
    return ExitCode.DONE if rollout is None else rollout.report(terminal)


def _revision_in_file(file: Path) -> int | None:
    match = REVISION_LINE.search(file.read_text(encoding="utf-8"))
    return int(match.group(1)) if match is not None else None


async def _confirmed_revision(
    client: AdminClient, terminal: Terminal, file: Path, assume_yes: bool
) -> int | None:
    """Show the changes against the rules in the store and ask for confirmation.

    Applying a file that does not name the revision it was edited from may undo another
    operator's change without a conflict, so the changes are shown first.
    """
    version = await client.get("rules")
    revision = int(version["revision"]) if version else 0
    terminal.note(f"{file} does not say which revision it was edited from.")
    terminal.note(f"Against revision {revision}:")
    print_changes(changes_from_version(version, load_rules(file)), terminal)
    if assume_yes or terminal.confirm("Apply it? Type yes:", "yes"):
        return revision
    return None


async def _put(client: AdminClient, document: RuleDocument, revision: int) -> Any:
    """Send the document; retry with the same change id when an answer is lost."""
    change_id = secrets.token_hex(12)
    last_error: OutcomeUnknownError | None = None
    for _ in range(MAX_ATTEMPTS):
        try:
            return await client.send(
                "PUT",
                "rules",
                body=document.model_dump(mode="json"),
                edited_from_revision=revision,
                change_id=change_id,
            )
        except OutcomeUnknownError as error:
            last_error = error
    assert last_error is not None
    raise OutcomeUnknownError(
        f"{last_error.message}; `gentianwharf rules history` lists change {change_id}"
        " if it took effect",
        step=last_error.step,
        peer=last_error.peer,
    )


def _print_applied(applied: dict[str, Any], terminal: Terminal) -> None:
    if terminal.as_json:
        terminal.json(applied)
        return
    version = applied["version"]
    if applied["already"]:
        terminal.line(f"in force already, as revision {version['revision']}")
        return
    terminal.line(f"applied as revision {version['revision']}")
    if applied["read_back"]:
        terminal.line("an answer was lost; the change was found by reading back")
    if applied["superseded"]:
        terminal.line("others have changed the rules since: see `rules history`")
    for finding in applied["warnings"]:
        terminal.line(
            f"{finding['severity']}: {finding['location']}: found {finding['found']};"
            f" expected {finding['expected']}"
        )


def _print_conflict(conflict: dict[str, Any], terminal: Terminal) -> None:
    if terminal.as_json:
        terminal.json(conflict)
        return
    current = conflict["current"]
    terminal.problem(
        f"{current['author']} was faster: nothing was applied. The store is at revision"
        f" {current['revision']}, this file was edited from"
        f" {conflict['edited_from_revision']}"
    )
    if not conflict["base_known"]:
        terminal.line(
            "the common base revision is no longer kept: all rules are listed"
        )
    terminal.line(f"--- what {current['author']} changed")
    print_changes(conflict["theirs"], terminal)
    terminal.line("--- what this file would have changed")
    print_changes(conflict["mine"], terminal)
    terminal.line(
        "Next: `gentianwharf rules show`, make your change there, apply that."
    )
