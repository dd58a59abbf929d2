"""Run commands of the command-line tool against a fake daemon, without a socket."""

from collections.abc import Callable
from dataclasses import dataclass, field
from io import StringIO
from typing import Any

from treq.testing import StubTreq
from twisted.internet.defer import Deferred, ensureDeferred, fail

from gentianwharf.cli._client import AdminClient
from gentianwharf.cli._exit_codes import ExitCode
from gentianwharf.cli._session import Command, perform
from gentianwharf.cli._terminal import Terminal
from tests.builders_admin import TOKEN, FakeDaemon, admin_app
from tests.builders_rules import result_of


@dataclass
class LossyHttpClient:
    """Calls the admin port in memory; replaces answers by the errors in ``errors``.

    ``errors`` has an item for each of the next requests, None for one that succeeds.
    With ``delivered`` False a request with an error does not reach the daemon at all.
    """

    stub: StubTreq
    errors: list[Exception | None] = field(default_factory=list)
    delivered: bool = True

    def request(self, method: str, url: str, **options: Any) -> Deferred[Any]:
        """Send a request."""
        error = self.errors.pop(0) if self.errors else None
        if error is not None and not self.delivered:
            return fail(error)
        options.pop("timeout", None)
        client: Any = self.stub
        answer: Deferred[Any] = client.request(method, url, **options)
        self.stub.flush()
        return answer if error is None else fail(error)


@dataclass(frozen=True)
class CommandResult:
    """The output and the exit code of a command."""

    code: ExitCode
    out: str
    problems: str


def run(
    command: Command,
    daemon: FakeDaemon | None = None,
    *,
    token: str | None = TOKEN,
    as_json: bool = False,
    errors: list[Exception | None] | None = None,
    delivered: bool = True,
    prompt: Callable[[str], str] = lambda question: "",
) -> CommandResult:
    """Run a command against ``daemon``."""
    terminal = Terminal(
        out=StringIO(), problems=StringIO(), prompt=prompt, as_json=as_json
    )
    http = LossyHttpClient(
        stub=StubTreq(admin_app(daemon or FakeDaemon()).resource()),
        errors=errors or [],
        delivered=delivered,
    )
    client = AdminClient(
        http=http, url="http://127.0.0.1:8081", token=token, operator="amira"
    )
    code = result_of(ensureDeferred(_exit(command, client, terminal)))
    return CommandResult(
        code=code,
        out=terminal.out.getvalue(),  # type: ignore[attr-defined]
        problems=terminal.problems.getvalue(),  # type: ignore[attr-defined]
    )


async def _exit(command: Command, client: AdminClient, terminal: Terminal) -> ExitCode:
    return await perform(command, client, terminal)
