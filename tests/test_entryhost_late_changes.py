"""Random outages of the store, of leaders and of links: no host is late."""

from collections.abc import Callable, Sequence
from functools import partial
from random import Random

import pytest

from tests.builders_late_changes import (
    LARGE_KEY,
    SMALL_KEY,
    LateFleet,
    LateHost,
)

HOSTS = 12
HOSTS_PER_DOMAIN = 3
EPISODES = 2
WRITE_EVERY_S = 1.2
LOSSES = (0.3, 0.7, 1.0)
OUTAGES = ("silent", "silent", "unreachable", "refusing")
TROUBLES = ("resign", "lost", "restart", "cut", "loss", "held", "loss")


class Play:
    """Episodes of trouble, each followed by changes in quick succession."""

    def __init__(
        self,
        fleet: LateFleet,
        rng: Random,
        *,
        outages: Sequence[str] = OUTAGES,
        troubles: Sequence[str] = TROUBLES,
    ) -> None:
        self.outages = outages
        self.troubles = troubles
        self.fleet = fleet
        self.rng = rng
        self._ends: list[tuple[float, Callable[[], object]]] = []

    def run(self) -> LateFleet:
        """Run the play."""
        fleet, rng = self.fleet, self.rng
        answer_s = rng.choice((0.004, 0.004, 0.2))
        fleet.note(f"answers after {answer_s}")
        for host in fleet.hosts:
            host.link.answer_s = answer_s
        fleet.run(3.0)
        for key in (SMALL_KEY, LARGE_KEY):
            fleet.write(key)
        fleet.run(4.0)
        for _ in range(EPISODES):
            self._episode()
        return fleet

    def _episode(self) -> None:
        fleet, rng = self.fleet, self.rng
        hosts = self._pick_hosts()
        kind = rng.choice(self.outages)
        outage_s = rng.uniform(1.0, 9.0)
        names = [fleet.hosts.index(host) for host in hosts]
        fleet.note(f"{kind} for {outage_s:.2f} s: {names}")
        end_s = fleet.clock.seconds() + outage_s
        for host in hosts:
            fleet.begin_outage(host, kind)
        for _ in range(rng.randrange(4)):
            self._run_to(end_s - rng.uniform(0.0, min(outage_s, 3.0)))
            self._disturb()
        is_write_in_outage = len(hosts) < HOSTS
        if is_write_in_outage:
            fleet.write(rng.choice((SMALL_KEY, LARGE_KEY)))
        self._run_to(end_s)
        lacks_history = rng.random() < 0.15
        for number in names:
            fleet.end_outage(fleet.hosts[number])
            fleet.hosts[number].link.history_is_gone = lacks_history
        fleet.note(f"outage over, history gone: {lacks_history}")
        for _ in range(5):
            fleet.write(rng.choice((SMALL_KEY, LARGE_KEY)))
            self._run_to(fleet.clock.seconds() + 0.06)
        self._run_to(fleet.clock.seconds() + rng.uniform(0.0, 0.5))
        for host in fleet.hosts:
            host.link.history_is_gone = False
        for _ in range(5):
            if rng.random() < 0.3:
                self._disturb()
            self._run_to(fleet.clock.seconds() + WRITE_EVERY_S)
            for _ in range(rng.choice((1, 1, 4))):
                fleet.write(rng.choice((SMALL_KEY, LARGE_KEY)))
        self._run_to(fleet.clock.seconds() + 3.0)

    def _pick_hosts(self) -> list[LateHost]:
        fleet, rng = self.fleet, self.rng
        scope = rng.choice(("all", "all", "domain", "leader", "some", "none"))
        leader = fleet.leader()
        if scope == "all":
            return list(fleet.hosts)
        if scope == "domain":
            first = rng.randrange(HOSTS // HOSTS_PER_DOMAIN) * HOSTS_PER_DOMAIN
            return fleet.hosts[first : first + HOSTS_PER_DOMAIN]
        if scope == "leader" and leader is not None:
            return [leader]
        if scope == "some":
            return rng.sample(fleet.hosts, rng.randint(1, HOSTS - 1))
        return []

    def _disturb(self) -> None:
        """Begin a trouble of links or of a leader, which ends some time later."""
        fleet, rng = self.fleet, self.rng
        leader = fleet.leader() or rng.choice(fleet.hosts)
        duration_s = rng.uniform(0.3, 5.0)
        kind = rng.choice(self.troubles)
        fleet.note(f"{kind} for {duration_s:.2f} s, leader {self._number(leader)}")
        if kind == "resign":
            leader.coordinator.resign(rng.choice((0.0, 4.0)))
        elif kind == "restart":
            fleet.restart(rng.choice(fleet.hosts))
        elif kind == "lost":
            number = self._number(leader)
            fleet.stop(leader)
            self._later(duration_s, lambda: self._come_back(number))
        elif kind == "cut":
            fleet.net.cut.add(leader.address)
            address = leader.address
            self._later(duration_s, lambda: fleet.net.cut.discard(address))
        else:
            first = rng.randrange(HOSTS // HOSTS_PER_DOMAIN) * HOSTS_PER_DOMAIN
            others = rng.choice(
                (
                    fleet.hosts[first : first + HOSTS_PER_DOMAIN],
                    rng.sample(fleet.hosts, rng.randint(1, HOSTS)),
                )
            )
            pairs = [frozenset({leader.address, host.address}) for host in others]
            share = rng.choice(LOSSES)
            delay_s = rng.uniform(0.2, 1.0)
            numbers = [self._number(host) for host in others]
            fleet.note(f"  with {numbers}, loss {share}, delay {delay_s:.2f} s")
            for pair in pairs:
                if kind == "loss":
                    fleet.net.losses[pair] = share
                    self._later(duration_s, partial(fleet.net.losses.pop, pair, 0))
                elif kind == "slow":
                    fleet.net.delays_s[pair] = delay_s
                    self._later(duration_s, partial(fleet.net.delays_s.pop, pair, 0))
                elif pair not in fleet.net.held:
                    fleet.net.hold(pair)
                    self._later(duration_s, partial(fleet.net.release, pair))

    def _come_back(self, number: int) -> None:
        fleet = self.fleet
        host = fleet.hosts[number]
        fleet.net.cut.discard(host.address)
        fleet.restart(host)

    def _number(self, host: LateHost) -> int:
        return self.fleet.hosts.index(host)

    def _later(self, delay_s: float, end: Callable[[], object]) -> None:
        self._ends.append((self.fleet.clock.seconds() + delay_s, end))

    def _run_to(self, until_s: float) -> None:
        fleet = self.fleet
        while (left_s := until_s - fleet.clock.seconds()) > 0.02:
            due = [end for end in self._ends if end[0] <= fleet.clock.seconds()]
            self._ends = [end for end in self._ends if end not in due]
            for _, end in due:
                end()
            fleet.run(min(0.05, left_s))


@pytest.mark.parametrize("seed", range(4))
def test_no_host_in_touch_is_late(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    """Guards against waits that add up to more than the time for new rules."""
    fleet = LateFleet(monkeypatch, hosts=HOSTS, seed=seed)
    Play(fleet, Random(seed)).run()
    assert not fleet.late, "\n".join([*fleet.log, str(fleet.late[-1])])


def test_late_updates_do_not_extend_the_time_without_a_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a host that takes late updates for recent ones.

    Its link to the leader is 0.8 s late, then loses everything: the host starts to
    watch the store only after the delay and the time for which updates are valid.
    """
    fleet = LateFleet(monkeypatch, hosts=3, seed=1)
    fleet.run(4.0)
    leader = fleet.leader()
    assert leader is not None
    other = next(host for host in fleet.hosts if host is not leader)
    pair = frozenset({leader.address, other.address})
    fleet.net.delays_s[pair] = 0.8
    fleet.run(4.0)
    fleet.write(SMALL_KEY)
    fleet.run(0.1)
    fleet.net.losses[pair] = 1.0
    fleet.write(SMALL_KEY)
    fleet.run(4.0)
    assert fleet.worst_s <= 2.0
