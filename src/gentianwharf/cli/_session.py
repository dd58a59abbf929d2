"""From a command line to a client and a terminal, and back to an exit code."""

import getpass
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, final

from cyclopts import Parameter
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import react

from gentianwharf.admin import read_token
from gentianwharf.errors import GentianwharfError, InputError
from gentianwharf.settings import check_ip_url

from ._client import AdminClient, ProblemError, treq_http
from ._exit_codes import ExitCode, exit_code_of
from ._terminal import Terminal

DEFAULT_ADMIN = "http://127.0.0.1:8081"


@final
@Parameter(name="*")
@dataclass(frozen=True, kw_only=True)
class Common:
    """Options of every command that talks to a daemon.

    Parameters
    ----------
    admin
        Admin port of any daemon of the customer, http://IP:PORT.
    token_file
        File with the admin port's token; none on a loopback address.
    operator
        Your name, for the log and the rules' history; your login if not given.
    json
        Print JSON instead of tables.

    """

    admin: Annotated[str, Parameter(env_var="GENTIANWHARF_ADMIN")] = DEFAULT_ADMIN
    token_file: Annotated[Path | None, Parameter(env_var="GENTIANWHARF_TOKEN_FILE")] = (
        None
    )
    operator: Annotated[
        str | None, Parameter(name="--as", env_var="GENTIANWHARF_OPERATOR")
    ] = None
    json: Annotated[bool, Parameter(negative="")] = False


Command = Callable[[AdminClient, Terminal], Awaitable[ExitCode]]


def terminal(*, as_json: bool = False) -> Terminal:
    """Return the process's own terminal."""
    return Terminal(out=sys.stdout, problems=sys.stderr, ask=input, as_json=as_json)


async def perform(command: Command, client: AdminClient, shown: Terminal) -> ExitCode:
    """Run ``command``; an error becomes its message and exit code."""
    try:
        return await command(client, shown)
    except ProblemError as error:
        report_problem(error, shown)
        return ExitCode.CONFLICT if error.reply.kind == "conflict" else ExitCode.REFUSED
    except GentianwharfError as error:
        shown.problem(str(error))
        return exit_code_of(error)


def report_problem(error: ProblemError, shown: Terminal) -> None:
    """Print a problem, with its findings where it has any."""
    shown.problem(str(error))
    for finding in error.reply.member("findings") or ():
        shown.problem(
            f"{finding['severity']}: {finding['location']}: found {finding['found']};"
            f" expected {finding['expected']}"
        )


def run(common: Common, command: Command) -> int:
    """Run ``command`` against the daemon in ``common``; return its exit code."""
    shown = terminal(as_json=common.json)
    try:
        url = check_ip_url(common.admin)
        token = None if common.token_file is None else read_token(common.token_file)
    except (InputError, ValueError) as error:
        shown.problem(str(error))
        return ExitCode.USAGE
    codes = [ExitCode.FAULT]

    def begin(reactor: Any) -> Deferred[None]:
        client = AdminClient(
            http=treq_http(reactor),
            url=url,
            token=token,
            operator=common.operator or getpass.getuser(),
        )
        return ensureDeferred(_note(perform(command, client, shown), codes))

    try:
        react(begin, ())
    except SystemExit as ended:
        if ended.code not in (0, None):
            return ExitCode.FAULT
    return codes[0]


async def _note(performed: Awaitable[ExitCode], codes: list[ExitCode]) -> None:
    codes[0] = await performed
