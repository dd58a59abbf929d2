"""Which hosts have which rules in force: ``rules status`` and the wait of ``apply``."""

from dataclasses import dataclass
from typing import Any, final

from gentianwharf.admin import HostRulesStatus
from gentianwharf.errors import GentianwharfError

from ._client import READ_TIMEOUT_S, AdminClient
from ._exit_codes import ExitCode
from ._terminal import Terminal

IN_FORCE = HostRulesStatus.IN_FORCE.value


async def status(client: AdminClient, shown: Terminal) -> ExitCode:
    """Print which revision each listed host has in force."""
    found = await client.get("rules", "hosts")
    if shown.as_json:
        shown.json(found)
    else:
        _print_hosts(found, shown)
    return ExitCode.DONE if found["everywhere"] else ExitCode.INCOMPLETE


def _print_hosts(found: dict[str, Any], shown: Terminal) -> None:
    shown.line(f"newest revision: {found['revision'] or 'none'}")
    shown.table(
        ["host", "domain", "in force", "standing", "reason"],
        [
            [
                one["host"],
                one["domain"],
                one["in_force_revision"],
                one["standing"],
                one["reason"] or None,
            ]
            for one in found["hosts"]
        ],
    )


@final
@dataclass(frozen=True, kw_only=True)
class Everywhere:
    """What became of a wait: the daemon's answer, or why there is none."""

    found: dict[str, Any] | None
    problem: str = ""

    def tell(self, shown: Terminal) -> ExitCode:
        """Print the outcome for people; return the exit code."""
        if self.found is None:
            shown.problem(
                f"the rules are applied, but where they are in force is not known:"
                f" {self.problem}. Ask another daemon: `gentianwharf rules status`"
            )
            return ExitCode.INCOMPLETE
        hosts = self.found["hosts"]
        late = [one for one in hosts if one["standing"] != IN_FORCE]
        shown.note(f"in force on {len(hosts) - len(late)} of {len(hosts)} listed hosts")
        if not late:
            return ExitCode.DONE
        for one in late:
            shown.problem(f"not yet in force on {_late(one)}")
        shown.problem(
            "the rules are applied and reach these hosts as soon as they can be"
            " reached; see `gentianwharf rules status`"
        )
        return ExitCode.INCOMPLETE


def _late(one: dict[str, Any]) -> str:
    name = f"{one['host']} ({one['domain']}): {one['standing']}"
    if one["reason"]:
        return f"{name}, {one['reason']}"
    return f"{name}, matches with revision {one['in_force_revision'] or 'none'}"


async def wait_everywhere(
    client: AdminClient, *, revision: int, wait_s: int
) -> Everywhere:
    """Wait until every listed host has ``revision`` in force, up to ``wait_s``.

    An error here must not look like one of the change itself, which has taken effect.
    """
    try:
        found = await client.get(
            "rules",
            "hosts",
            timeout_s=wait_s + READ_TIMEOUT_S,
            revision=revision,
            wait_s=wait_s,
        )
    except GentianwharfError as error:
        return Everywhere(found=None, problem=str(error))
    return Everywhere(found=found)
