"""Simulated backend servers for the tests of ownership."""

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, final

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from gentianwharf.errors import PeerUnavailableError
from gentianwharf.infra import Grant, GrantOutcome, ServerReport
from gentianwharf.standin._grants import GrantTable
from gentianwharf.topology import BackendServer
from tests.builders_ownership_store import HostClock

if TYPE_CHECKING:
    from tests.builders_ownership import World

ONE_WAY_S = 0.0005
RUN_S = 0.002
SERVICE = "calendrier"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A request that was sent to a server."""

    host: str
    shard: int
    token: int
    deadline_s: float
    key: str | None = None


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """A request that a server executed."""

    shard: int
    token: int
    server: str
    start_s: float


@final
class FakeServer:
    """A backend server: its grants, running requests and buffered messages."""

    def __init__(self, world: "World", entity: BackendServer, offset_s: float) -> None:
        self._world = world
        self.entity = entity
        self._offset_s = offset_s
        self.frozen = False
        self.lost = False
        self.draining = False
        self.buffer: list[Callable[[], None]] = []
        self.requests: list[Request] = []
        self._running: dict[int, int] = defaultdict(int)
        self.cold_start()

    def now_s(self) -> float:
        """Return the time of the server's clock."""
        return self._world.clock.seconds() + self._offset_s

    def cold_start(self) -> None:
        """Restart without any state."""
        self.lost = False
        self.buffer.clear()
        self.requests.clear()
        self._running.clear()
        self.table = GrantTable(
            started_s=self.now_s(),
            knows_validity=self.entity.knows_validity,
            gives_stamp=self.entity.gives_stamp,
        )

    def arrive(self, act: Callable[[], None]) -> None:
        """Handle an arriving message, or buffer it while frozen."""
        if self.lost:
            return
        if self.frozen:
            self.buffer.append(act)
        else:
            act()

    def thaw(self) -> None:
        """Continue after a freeze, and handle the buffered messages."""
        self.frozen = False
        buffer, self.buffer = self.buffer, []
        for act in buffer:
            act()

    def run(self, request: Request) -> None:
        """Execute a request, or refuse it if this server is not the owner."""
        if request not in self.requests:
            return
        self.requests.remove(request)
        world = self._world
        now_s = world.clock.seconds()
        accepted = now_s <= request.deadline_s and self.table.would_run(
            shard=request.shard, token=request.token, now_s=self.now_s()
        )
        if not accepted:
            world.refusals += 1
            world.reply(
                request.host,
                lambda system: system.refused_not_owner(
                    SERVICE, request.shard, request.token
                ),
            )
            return
        world.note_run(
            Run(
                shard=request.shard,
                token=request.token,
                server=self.entity.id,
                start_s=now_s,
            )
        )
        self._running[request.shard] += 1
        world.clock.callLater(RUN_S, self._end, request)

    def _end(self, request: Request) -> None:
        if self._running[request.shard] > 0:
            self._running[request.shard] -= 1
        server = self.entity.id
        self._world.reply(
            request.host,
            lambda system: system.answered(server, ok=True, busy_s=self._world.busy_s),
        )

    def is_running(self, shards: Sequence[int]) -> bool:
        """Whether any request of these shards is running."""
        return any(self._running[shard] for shard in shards)


@final
class ServersClient:
    """One host's client of the backend servers."""

    def __init__(self, world: "World", host: str, clock: HostClock) -> None:
        self._world = world
        self._host = host
        self._clock = clock

    async def _order(
        self, server: BackendServer, act: Callable[[FakeServer], Any], *, faulty: bool
    ) -> Any:
        world = self._world
        answer: Deferred[Any] = Deferred()
        found = world.servers[server.id]

        def arrive() -> None:
            if world.is_cut(self._host, server.id):
                return
            result = act(found)
            self._clock.callLater(ONE_WAY_S, reply, result)

        def reply(result: Any) -> None:
            if not world.is_cut(self._host, server.id) and not answer.called:
                answer.callback(result)

        for delay_s in world.delays(faulty=faulty):
            world.clock.callLater(delay_s, found.arrive, arrive)
        return await answer

    async def grant(self, server: BackendServer, grant: Grant) -> GrantOutcome:
        """Send a grant over the simulated network."""
        return await self._order(
            server,
            lambda target: target.table.grant(grant, now_s=target.now_s()),
            faulty=True,
        )

    async def release(
        self, server: BackendServer, service: str, tokens: dict[int, int]
    ) -> GrantOutcome:
        """Release shards; answers once their running requests are complete."""
        outcome = await self._order(
            server, lambda target: target.table.release(tokens), faulty=True
        )
        found = self._world.servers[server.id]
        while found.is_running(list(tokens)):
            await deferLater(self._world.clock, RUN_S / 2)
        return outcome

    async def report(self, server: BackendServer) -> ServerReport:
        """Return the server's report."""
        return await self._order(server, self._report, faulty=False)

    @staticmethod
    def _report(server: FakeServer) -> ServerReport:
        return ServerReport(
            server=server.entity.id,
            stamp_s=server.now_s(),
            healthy=True,
            draining=server.draining,
            cold=False,
            load=0.0,
            held=server.table.held(now_s=server.now_s()),
        )

    async def drain(self, server: BackendServer) -> None:
        """Raise, since these tests do not use it."""
        raise PeerUnavailableError("not used", step="drain", peer=server.id)
