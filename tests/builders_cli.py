"""The operator's tool against a daemon of fakes, without a socket."""

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
class LossyHttp:
    """Calls the admin port in memory; answers listed in ``lost`` come to nothing.

    ``lost`` holds an error for each of the next calls, None for one that is well;
    ``reached`` False keeps a lost call from reaching the daemon at all.
    """

    stub: StubTreq
    lost: list[Exception | None] = field(default_factory=list)
    reached: bool = True

    def request(self, method: str, url: str, **options: Any) -> Deferred[Any]:
        """Send a request."""
        error = self.lost.pop(0) if self.lost else None
        if error is not None and not self.reached:
            return fail(error)
        options.pop("timeout", None)
        client: Any = self.stub
        answer: Deferred[Any] = client.request(method, url, **options)
        self.stub.flush()
        return answer if error is None else fail(error)


@dataclass(frozen=True)
class Ran:
    """What a command printed and exited with."""

    code: ExitCode
    out: str
    problems: str


def ran(
    command: Command,
    daemon: FakeDaemon | None = None,
    *,
    token: str | None = TOKEN,
    as_json: bool = False,
    lost: list[Exception | None] | None = None,
    reached: bool = True,
    ask: Callable[[str], str] = lambda question: "",
) -> Ran:
    """Run a command against ``daemon``."""
    terminal = Terminal(
        out=StringIO(), problems=StringIO(), prompt=ask, as_json=as_json
    )
    http = LossyHttp(
        stub=StubTreq(admin_app(daemon or FakeDaemon()).resource()),
        lost=lost or [],
        reached=reached,
    )
    client = AdminClient(
        http=http, url="http://127.0.0.1:8081", token=token, operator="amira"
    )
    code = result_of(ensureDeferred(_exit(command, client, terminal)))
    return Ran(
        code=code,
        out=terminal.out.getvalue(),  # type: ignore[attr-defined]
        problems=terminal.problems.getvalue(),  # type: ignore[attr-defined]
    )


async def _exit(command: Command, client: AdminClient, terminal: Terminal) -> ExitCode:
    return await perform(command, client, terminal)
