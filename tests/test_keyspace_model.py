"""No two servers hold a shard at one instant, in whatever order things and news come.

Hosts lead one after another; each may be deaf to the store, cut off from servers, or
start anew, and hears of servers' entries in any order, also of ended ones. Servers end,
pass their address on, are born again under their id, answer late or not at all. What a
life holds is looked at after every twentieth of a second, by its own clock.

Not drawn, since the platform rules it out: a life that begins within ``REBIRTH_S`` of
the end of the one before at its address.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from gentianwharf.keyspace import GrantManager, Holder, KeyTable, RemainingGrants, Span
from gentianwharf.keyspace._moves import done
from gentianwharf.keyspace._timing import LEADER_LEASE_S
from tests.builders_keyspace import SERVICE, TIMING
from tests.builders_lives import Addresses, Way

TICK_S = 0.05
REBIRTH_S = 1.0
HOSTS = 3
ADDRESSES = tuple(f"10.0.0.{number}:80" for number in range(1, 4))
SPANS = ((0, 4), (5, 9))
LONGEST_CALM_S = 20.0


@dataclass
class Host:
    """One host's manager, and what it has heard of servers' entries."""

    manager: GrantManager
    way: Way
    started_s: float
    heard_s: float = 0.0
    listed: dict[str, Holder] = field(default_factory=dict)


@dataclass
class Word:
    """What a leader leaves in the store for the next one: who it was."""

    number: int
    host: Host
    is_settled: bool = False
    held_s: float | None = None


class World:
    """Hosts and servers; each step is named by a method and two small numbers."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.clock.advance(1_000.0)
        self.addresses = Addresses(self.clock)
        self.empty_since_s: dict[str, float] = {}
        self.births = 0
        self.table = KeyTable(service=SERVICE)
        self.hosts = [self._host() for _ in range(HOSTS)]
        self.leader: int | None = 0
        self.lost_s = 0.0
        self.word: Word | None = None
        self.former: Word | None = None
        for number, address in enumerate(ADDRESSES):
            self.addresses.start(f"s{number}", address)
        first = self.addresses.entries[0]
        spans = tuple(Span(first=a, last=b, holder=first, token=1) for a, b in SPANS)
        self.table = KeyTable(service=SERVICE, highest_token=1, spans=spans)
        for host in self.hosts:
            host.listed.update({one.server_id: one for one in self.addresses.entries})
            host.manager.note_listed(host.listed.values())
        self.hosts[0].manager.take_over(self.clock.seconds(), held_s=0.0)
        self.hosts[0].manager.follow(self.table)
        self.word = Word(number=0, host=self.hosts[0])

    def _host(self) -> Host:
        way = Way(self.addresses)
        manager = GrantManager(orders=way, timing=TIMING, now_s=self.clock.seconds)
        return Host(manager=manager, way=way, started_s=self.clock.seconds())

    # Steps. Each does nothing where it does not fit.

    def wait(self, length: int, _: int) -> None:
        self.run((0.1, 0.2, 0.4, 1.0, 3.0, 6.0)[length])

    def hear_entry(self, host: int, entry: int) -> None:
        """Let a host hear of an entry, perhaps of a life that has ended long ago."""
        entries = self.addresses.entries
        one = entries[-1 - entry % len(entries)]
        listed = self.hosts[host % HOSTS].listed
        listed.pop(one.server_id, None)
        listed[one.server_id] = one
        self.hosts[host % HOSTS].manager.note_listed(listed.values())

    def hear_lapse(self, host: int, entry: int) -> None:
        one = self.hosts[host % HOSTS]
        if one.listed:
            one.listed.pop(sorted(one.listed)[entry % len(one.listed)])
            one.manager.note_listed(one.listed.values())

    def end_server(self, address: int, _: int) -> None:
        where = ADDRESSES[address % len(ADDRESSES)]
        if where in self.addresses.living:
            self.addresses.end(where)
            self.empty_since_s[where] = self.clock.seconds()

    def start_server(self, address: int, kind: int) -> None:
        """Begin a life: of a new id, or of the one before with or without a birth."""
        where = ADDRESSES[address % len(ADDRESSES)]
        since_s = self.empty_since_s.get(where, 0.0)
        is_free = self.clock.seconds() > since_s + REBIRTH_S - TICK_S
        if where in self.addresses.living or not is_free:
            return
        self.births += 1
        lived = [one for one in self.addresses.entries if one.address == where]
        server_id = lived[-1].server_id if kind % 3 else f"n{self.births}"
        born_ms = self.births if kind % 3 == 2 else 0
        self.addresses.start(server_id, where, born_ms=born_ms)

    def replace_server(self, address: int, kind: int) -> None:
        """Let another life follow at an address, and all hosts hear of it."""
        self.end_server(address, 0)
        self.run(REBIRTH_S)
        self.start_server(address, kind)
        for host in range(HOSTS):
            self.hear_entry(host, 0)

    def cut(self, host: int, address: int) -> None:
        self.hosts[host % HOSTS].way.cut.add(ADDRESSES[address % len(ADDRESSES)])

    def heal(self, host: int, _: int) -> None:
        self.hosts[host % HOSTS].way.cut.clear()

    def slow_server(self, address: int, kind: int) -> None:
        server = self.addresses.living.get(ADDRESSES[address % len(ADDRESSES)])
        if server is not None:
            server.is_silent = kind % 5 == 0
            server.late_s = (0.0, 2.0, 6.0)[kind % 3]
            server.release_takes_s = (0.0, 0.3, 1.5)[kind % 3]

    def move(self, span: int, entry: int) -> None:
        """Let the leader write a table, as long as its lease holds."""
        if self.leader is None:
            return
        host = self.hosts[self.leader]
        if not host.listed or self.clock.seconds() >= host.heard_s + LEADER_LEASE_S:
            return
        lost = host.manager.holders.unreachable()
        holder = list(host.listed.values())[-1 - entry % len(host.listed)]
        table = done(self.table, host.manager.moved(SERVICE)) or self.table
        chosen = table.spans[span % len(table.spans)]
        if holder in lost or holder == chosen.holder:
            return
        token = table.highest_token + 1
        former = tuple(dict.fromkeys((*chosen.former, chosen.holder)))
        moved = Span(
            first=chosen.first,
            last=chosen.last,
            holder=holder,
            token=token,
            former=tuple(one for one in former if one != holder),
        )
        spans = tuple(moved if one is chosen else one for one in table.spans)
        self.table = KeyTable(service=SERVICE, highest_token=token, spans=spans)
        host.manager.follow(self.table)

    def lose_store(self, _: int, __: int) -> None:
        """Let the leader hear the store no more, nor that it is replaced."""
        if self.leader is not None:
            self.lost_s = self.hosts[self.leader].heard_s + LEADER_LEASE_S
            self.leader = None

    def resign(self, _: int, __: int) -> None:
        if self.leader is not None:
            manager = self.hosts[self.leader].manager
            assert self.word is not None
            self.word.held_s, self.word.is_settled = manager.holders.held_s(), True
            manager.stop()
            self.lost_s = self.clock.seconds()
            self.leader = None

    def restart(self, host: int, _: int) -> None:
        """Let a host begin anew without any memory."""
        number = host % HOSTS
        if number == self.leader:
            self.lose_store(0, 0)
        former = self.hosts[number]
        former.manager.stop()
        self.hosts[number] = self._host()

    def lead(self, host: int, _: int) -> None:
        """Let a host take the lead once the lease of the one before is over."""
        if self.leader is None and self.clock.seconds() >= self.lost_s:
            self._take_over(host % HOSTS)

    def ask_former(self, _: int, __: int) -> None:
        """Let the leader ask the one before, or who runs in its place now."""
        word = self.former
        if self.leader is None or word is None or word.held_s is not None:
            return
        manager, asked = self.hosts[self.leader].manager, self.hosts[word.number]
        if asked is word.host:
            asked.manager.stop()
            manager.holders.note_remaining_grants(
                asked.manager.holders.remaining_grants()
            )
        elif word.is_settled:
            ended_s = self.clock.seconds() - asked.started_s
            left_s = TIMING.ended_until_s(ended_s=0.0) - ended_s
            manager.holders.note_remaining_grants(
                RemainingGrants(others_s=max(0.0, left_s))
            )
        self.former = None

    def _take_over(self, number: int) -> None:
        self.leader = number
        host = self.hosts[number]
        self.former, self.word = self.word, Word(number=number, host=host)
        assert self.former is not None
        held_s = self.former.held_s
        host.manager.stop()
        own = host.manager.holders.remaining_grants()
        host.heard_s = self.clock.seconds()
        host.manager.take_over(host.heard_s, held_s=held_s)
        if self.former.host is host and held_s is None:
            host.manager.holders.note_remaining_grants(own)
            self.former = None
        host.manager.follow(self.table)

    def run(self, duration_s: float) -> None:
        """Let everybody work, and look at every tick."""
        for _ in range(round(duration_s / TICK_S)):
            for number, host in enumerate(self.hosts):
                if number == self.leader:
                    host.heard_s = self.clock.seconds()
                    host.manager.note_store_contact(host.heard_s)
                    assert self.word is not None
                    self.word.is_settled |= (
                        host.manager.holders.earlier_grants_expired()
                    )
                host.manager.tick()
            self.clock.advance(TICK_S)
            self.look()

    def look(self) -> None:
        """Check the promise."""
        for first, _ in SPANS:
            holders = self.addresses.holders(first)
            assert len(holders) <= 1, f"shard {first}: {holders}"


Step = Callable[[World, int, int], None]

STEPS: tuple[Step, ...] = (
    World.wait,
    World.wait,
    World.wait,
    World.hear_entry,
    World.hear_lapse,
    World.hear_entry,
    World.end_server,
    World.start_server,
    World.replace_server,
    World.replace_server,
    World.cut,
    World.heal,
    World.slow_server,
    World.move,
    World.move,
    World.move,
    World.lose_store,
    World.resign,
    World.restart,
    World.lead,
    World.lead,
    World.ask_former,
    World.ask_former,
)

numbers = st.integers(min_value=0, max_value=5)
steps = st.lists(
    st.tuples(st.sampled_from(STEPS), numbers, numbers), min_size=30, max_size=60
)


@pytest.mark.parametrize("number", range(8))
def test_no_shard_has_two_holders_in_any_order_of_things_and_news(number: int) -> None:
    """Two interpreters travel to one courtroom: both servers ran the booking."""

    @seed(number)
    @settings(max_examples=150, deadline=None, database=None)
    @given(steps)
    def check(drawn: list[tuple[Step, int, int]]) -> None:
        world = World()
        for step, one, other in drawn:
            step(world, one, other)
        world.run(2.0)

    check()


def test_shards_are_served_again_after_the_longest_hold() -> None:
    """A leader and a server are lost together, and their keys are served again."""
    world = World()
    world.run(1.0)
    world.lose_store(0, 0)
    world.end_server(0, 0)
    world.run(1.5)
    world.lead(1, 0)
    world.move(0, 0)
    world.move(1, 1)
    world.run(LONGEST_CALM_S)
    for first, _ in SPANS:
        assert world.addresses.holders(first)
