"""Fake store and host clocks of the simulated world for ownership tests."""

from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, final

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.internet.task import Clock, deferLater
from zope.interface import implementer

from gentianwharf.errors import ConflictError, OutcomeUnknownError, RefusedError
from gentianwharf.infra import StoreLease, VersionedValue

if TYPE_CHECKING:
    from tests.builders_ownership import World

STORE_ONE_WAY_S = 0.002
STORE = "store"


@final
@implementer(IReactorTime)
class HostClock:
    """A host's monotonic clock derived from the world's; queues calls while paused."""

    def __init__(self, true: Clock, *, rate: float, offset_s: float) -> None:
        self._true = true
        self.rate = rate
        self._offset_s = offset_s
        self._queued: list[Callable[[], None]] = []
        self.paused = False
        self.stopped = False

    def seconds(self) -> float:
        """Return the host's monotonic time."""
        return self._offset_s + self._true.seconds() * self.rate

    def callLater(  # noqa: N802
        self,
        delay: float,
        callable: Callable[..., Any],  # noqa: A002
        *args: object,
        **kwargs: object,
    ) -> IDelayedCall:
        """Schedule a call after ``delay`` seconds of this host's clock."""

        def run() -> None:
            if self.paused:
                self._queued.append(lambda: callable(*args, **kwargs))
            else:
                callable(*args, **kwargs)

        return self._true.callLater(delay / self.rate, run)

    def getDelayedCalls(self) -> Sequence[IDelayedCall]:  # noqa: N802
        """Return the calls of the whole world."""
        return self._true.getDelayedCalls()

    def resume(self) -> None:
        """Resume the host and run the calls that were queued while it was paused."""
        self.paused = False
        queued, self._queued = self._queued, []
        for call in queued:
            call()


@final
class FakeStore:
    """A fake of the platform's store, with outages and lost answers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.values: dict[str, VersionedValue] = {}
        self.down = False
        self.lose_answers = 0
        self.revision = 0
        self.calls: dict[str, int] = defaultdict(int)
        self._leases: dict[str, tuple[float, float]] = {}
        self._lease_of: dict[str, str] = {}
        self._watches: list[Callable[[], None]] = []

    def expire(self) -> None:
        """Delete keys whose lease has expired."""
        now_s = self._clock.seconds()
        for key, lease in list(self._lease_of.items()):
            if lease not in self._leases or self._leases[lease][1] < now_s:
                del self._lease_of[key]
                self.values.pop(key, None)

    def swap(
        self, key: str, value: bytes, expected_revision: int, lease_id: str | None
    ) -> VersionedValue:
        """Compare and swap without delay."""
        self.expire()
        found = self.values.get(key)
        if (found.revision if found else 0) != expected_revision:
            raise ConflictError("another revision", step="swap", peer=key)
        self.revision += 1
        written = VersionedValue(key=key, value=value, revision=self.revision)
        self.values[key] = written
        if lease_id is not None:
            self._lease_of[key] = lease_id
        watches, self._watches = self._watches, []
        for wake in watches:
            wake()
        return written

    def grant(self, ttl_s: float) -> StoreLease:
        """Grant a lease without delay."""
        self.revision += 1
        lease = StoreLease(id=f"lease-{self.revision}", ttl_s=ttl_s)
        self._leases[lease.id] = (ttl_s, self._clock.seconds() + ttl_s)
        return lease

    def renew(self, lease_id: str) -> None:
        """Renew a lease without delay."""
        ttl_s, end_s = self._leases.get(lease_id, (0.0, 0.0))
        if end_s < self._clock.seconds():
            raise RefusedError("lapsed", step="renew", peer=lease_id)
        self._leases[lease_id] = (ttl_s, self._clock.seconds() + ttl_s)

    def revoke(self, lease_id: str) -> None:
        """Revoke a lease without delay."""
        self._leases.pop(lease_id, None)
        self.expire()

    def newer(self, prefix: str, revision: int) -> list[VersionedValue]:
        """Return the newer values below a prefix."""
        self.expire()
        return [
            value
            for key, value in self.values.items()
            if key.startswith(prefix) and value.revision > revision
        ]

    def changed(self) -> Deferred[None]:
        """Return a Deferred that fires at the next write."""
        waiting: Deferred[None] = Deferred()

        def wake() -> None:
            if not waiting.called:
                waiting.callback(None)

        self._watches.append(wake)
        return waiting


@final
class StoreClient:
    """One host's client of the fake store, with latency and network cuts."""

    def __init__(self, world: "World", host: str, clock: HostClock) -> None:
        self._world = world
        self._host = host
        self._clock = clock

    async def _call(self, name: str, act: Callable[[], Any]) -> Any:
        world, store = self._world, self._world.store
        if name != "watch":
            store.calls[name] += 1
        await deferLater(world.clock, STORE_ONE_WAY_S)
        if store.down or world.is_cut(self._host, STORE):
            await Deferred()
        lost = name != "watch" and store.lose_answers > 0 and name == "swap"
        result = act()
        if lost:
            store.lose_answers -= 1
        await deferLater(self._clock, STORE_ONE_WAY_S)
        if store.down or world.is_cut(self._host, STORE):
            await Deferred()
        if lost:
            raise OutcomeUnknownError("lost", step=name, peer=STORE)
        return result

    async def get(self, key: str) -> VersionedValue | None:
        """Read one value."""

        def act() -> VersionedValue | None:
            self._world.store.expire()
            return self._world.store.values.get(key)

        return await self._call("get", act)

    async def get_many(self, prefix: str) -> list[VersionedValue]:
        """Read all values below a prefix."""
        return await self._call("get_many", lambda: self._world.store.newer(prefix, 0))

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> VersionedValue:
        """Write if the revision is the expected one."""
        store = self._world.store
        return await self._call(
            "swap", lambda: store.swap(key, value, expected_revision, lease_id)
        )

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> list[VersionedValue]:
        """Wait for newer values."""
        store = self._world.store
        store.calls["watch"] += 1
        end_s = self._world.clock.seconds() + wait_s
        while not store.newer(prefix, after_revision):
            left_s = end_s - self._world.clock.seconds()
            if left_s <= 0:
                return []
            changed = store.changed()
            changed.addTimeout(left_s, self._world.clock, lambda *_: None)
            await changed
        return await self._call("watch", lambda: store.newer(prefix, after_revision))

    async def lease_grant(self, *, ttl_s: float) -> StoreLease:
        """Grant a lease."""
        return await self._call("grant", lambda: self._world.store.grant(ttl_s))

    async def lease_renew(self, lease_id: str) -> None:
        """Renew a lease."""
        await self._call("renew", lambda: self._world.store.renew(lease_id))

    async def lease_revoke(self, lease_id: str) -> None:
        """Revoke a lease."""
        await self._call("revoke", lambda: self._world.store.revoke(lease_id))
