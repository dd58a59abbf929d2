"""Run a command against a daemon and return its exit code."""

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

from ._client import AdminClient, ProblemError, treq_client
from ._exit_codes import ExitCode, exit_code_of
from ._terminal import Terminal

DEFAULT_ADMIN = "http://127.0.0.1:8081"


@final
@Parameter(name="*")
@dataclass(frozen=True, kw_only=True)
class CommonOptions:
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


def standard_terminal(*, as_json: bool = False) -> Terminal:
    """Return a terminal on the process's standard streams."""
    return Terminal(out=sys.stdout, problems=sys.stderr, prompt=input, as_json=as_json)


async def perform(
    command: Command, client: AdminClient, terminal: Terminal
) -> ExitCode:
    """Run ``command``; print an error's message and return its exit code."""
    try:
        return await command(client, terminal)
    except ProblemError as error:
        report_problem(error, terminal)
        return ExitCode.CONFLICT if error.reply.kind == "conflict" else ExitCode.REFUSED
    except GentianwharfError as error:
        terminal.problem(str(error))
        return exit_code_of(error)


def report_problem(error: ProblemError, terminal: Terminal) -> None:
    """Print a problem and its findings, if any."""
    terminal.problem(str(error))
    for finding in error.reply.extension_member("findings") or ():
        terminal.problem(
            f"{finding['severity']}: {finding['location']}: found {finding['found']};"
            f" expected {finding['expected']}"
        )


def run(common: CommonOptions, command: Command) -> int:
    """Run ``command`` against the daemon named in ``common``; return its exit code."""
    terminal = standard_terminal(as_json=common.json)
    try:
        url = check_ip_url(common.admin)
        token = None if common.token_file is None else read_token(common.token_file)
    except (InputError, ValueError) as error:
        terminal.problem(str(error))
        return ExitCode.USAGE
    exit_codes = [ExitCode.FAULT]

    def start(reactor: Any) -> Deferred[None]:
        client = AdminClient(
            http=treq_client(reactor),
            url=url,
            token=token,
            operator=common.operator or getpass.getuser(),
        )
        return ensureDeferred(
            _store_exit_code(perform(command, client, terminal), exit_codes)
        )

    try:
        react(start, ())
    except SystemExit as exit_request:
        if exit_request.code not in (0, None):
            return ExitCode.FAULT
    return exit_codes[0]


async def _store_exit_code(
    command_run: Awaitable[ExitCode], exit_codes: list[ExitCode]
) -> None:
    exit_codes[0] = await command_run
