"""Rollout of the rules to the hosts, for ``rules status`` and ``rules apply``."""

from dataclasses import dataclass
from typing import Any, final

from gentianwharf.admin import HostRulesStatus
from gentianwharf.errors import GentianwharfError

from ._client import READ_TIMEOUT_S, AdminClient
from ._exit_codes import ExitCode
from ._terminal import Terminal

IN_FORCE = HostRulesStatus.IN_FORCE.value


async def status(client: AdminClient, terminal: Terminal) -> ExitCode:
    """Print which revision each listed host has in force."""
    rollout = await client.get("rules", "hosts")
    if terminal.as_json:
        terminal.json(rollout)
    else:
        _print_hosts(rollout, terminal)
    return ExitCode.DONE if rollout["everywhere"] else ExitCode.INCOMPLETE


def _print_hosts(rollout: dict[str, Any], terminal: Terminal) -> None:
    terminal.line(f"newest revision: {rollout['revision'] or 'none'}")
    terminal.table(
        ["host", "domain", "in force", "standing", "reason"],
        [
            [
                host["host"],
                host["domain"],
                host["in_force_revision"],
                host["standing"],
                host["reason"] or None,
            ]
            for host in rollout["hosts"]
        ],
    )


@final
@dataclass(frozen=True, kw_only=True)
class RolloutResult:
    """Result of waiting for a rollout: its status, or why that is not known."""

    status: dict[str, Any] | None
    problem: str = ""

    def report(self, terminal: Terminal) -> ExitCode:
        """Print the result as text and return the exit code."""
        if self.status is None:
            terminal.problem(
                f"the rules are applied, but where they are in force is not known:"
                f" {self.problem}. Ask another daemon: `gentianwharf rules status`"
            )
            return ExitCode.INCOMPLETE
        hosts = self.status["hosts"]
        late = [host for host in hosts if host["standing"] != IN_FORCE]
        terminal.note(
            f"in force on {len(hosts) - len(late)} of {len(hosts)} listed hosts"
        )
        if not late:
            return ExitCode.DONE
        for host in late:
            terminal.problem(f"not yet in force on {_describe_host(host)}")
        terminal.problem(
            "the rules are applied and reach these hosts as soon as they can be"
            " reached; see `gentianwharf rules status`"
        )
        return ExitCode.INCOMPLETE


def _describe_host(host: dict[str, Any]) -> str:
    name = f"{host['host']} ({host['domain']}): {host['standing']}"
    if host["reason"]:
        return f"{name}, {host['reason']}"
    return f"{name}, matches with revision {host['in_force_revision'] or 'none'}"


async def wait_for_rollout(
    client: AdminClient, *, revision: int, wait_s: int
) -> RolloutResult:
    """Wait until every listed host has ``revision`` in force, up to ``wait_s``.

    An error is returned in the result: raised, it would look like a failure of the
    change, which has already taken effect.
    """
    try:
        rollout = await client.get(
            "rules",
            "hosts",
            timeout_s=wait_s + READ_TIMEOUT_S,
            revision=revision,
            wait_s=wait_s,
        )
    except GentianwharfError as error:
        return RolloutResult(status=None, problem=str(error))
    return RolloutResult(status=rollout)
