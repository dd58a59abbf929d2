"""Servers that may restart under their ids, and the leader that grants their shards."""

from typing import final

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.keyspace import Grant, GrantManager, Holder, Release, Span
from tests.builders_keyspace import TIMING, may_always_send, run_manager, table
from tests.builders_lives import Addresses, OrderSender

LONG_GRANT_S = 10.0
STEP_S = 0.05
SHARD = 5


def whole_span(holder: Holder, *, token: int, former: Holder | None = None) -> Span:
    """Return the span of all shards of these tests."""
    formers = (former,) if former is not None else ()
    return Span(first=0, last=9, holder=holder, token=token, former_holders=formers)


@final
class RestartingServers:
    """Two servers, a leader's grant manager, and the next leader's order sender."""

    def __init__(self, *, keeps_ids: bool = True) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.addresses = Addresses(self.clock)
        self.first, self.second = (
            self.addresses.start(
                f"s{number}", f"10.0.0.{number}:80", born_ms=int(keeps_ids)
            )
            for number in (1, 2)
        )
        self.sender = OrderSender(self.addresses)
        self.manager = GrantManager(
            orders=self.sender, timing=TIMING, now_s=self.clock.seconds
        )
        self.manager.take_over(self.clock.seconds(), held_s=0.0)
        self._next_leader = OrderSender(self.addresses)

    def follow(self, *spans: Span) -> None:
        """Let the leader follow a table."""
        highest_token = max(span.token for span in spans)
        self.manager.follow(table(*spans, highest_token=highest_token))

    def run(self, duration_s: float, *, store_contact: bool = True) -> None:
        """Run the leader's grant manager; check that no two servers hold the shard."""
        run_manager(
            self.manager,
            self.clock,
            duration_s,
            check=self.check,
            store_contact=store_contact,
        )
        self.check()

    def check(self) -> None:
        holders = self.addresses.holders(SHARD)
        assert len(holders) <= 1, holders

    def restart(self, holder: Holder) -> None:
        """Restart a server under its id."""
        self.addresses.end(holder.address)
        self.addresses.start(
            holder.server_id, holder.address, born_ms=holder.born_ms + 1
        )

    def run_with_next_leader(self, duration_s: float) -> None:
        """Let another host lead, which moves the shards to the second server.

        The connections of both leaders are closed at each step, and the first server
        restarts as soon as it has answered the release.
        """
        manager = GrantManager(
            orders=self._next_leader, timing=TIMING, now_s=self.clock.seconds
        )
        manager.take_over(self.clock.seconds())
        moved = whole_span(self.second, token=2, former=self.first)
        manager.follow(table(moved, highest_token=2))
        first = self.addresses.running[self.first.address]
        for _ in range(round(duration_s / STEP_S)):
            for sender in (self.sender, self._next_leader):
                sender.close_connections()
            manager.note_store_contact(self.clock.seconds())
            manager.tick()
            if first.grants.tokens.get(SHARD) == 2:
                self.restart(self.first)
                first = self.addresses.running[self.first.address]
            self.run(STEP_S, store_contact=False)

    def move_as_next_leader(self) -> None:
        """Release the shards at the first server and grant them to the second one."""
        release = Release(first=0, last=9, token=2)
        grant = Grant(first=0, last=9, token=2, duration_s=LONG_GRANT_S)
        sender, may_send = self._next_leader, may_always_send
        for order in (
            sender.release(self.first, release, timeout_s=1.0, may_send=may_send),
            sender.grant(self.second, grant, timeout_s=1.0, may_send=may_send),
        ):
            results: list[object] = []
            Deferred.fromCoroutine(order).addBoth(results.append)
            assert results in ([None], ["handover"])
