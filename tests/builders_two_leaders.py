"""Leaders whose lease or item ends early, beside late watches and cut links."""

from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from typing import final

from gentianwharf.entryhost._store_keys import LEADER_KEY
from gentianwharf.store import Change
from tests.builders_late_changes import SMALL_KEY, LateFleet, LateHost
from tests.builders_store_link import STEP_S

HOSTS = 6
EPISODES = 4
STORE_TROUBLES = ("", "silent", "unreachable", "late", "late", "late")
LINK_TROUBLES = ("", "others", "some", "loss", "held")


def end_lease(fleet: LateFleet) -> None:
    """Let the store end the lease of the leader that it knows, before its time."""
    item = fleet.items.get(LEADER_KEY)
    if item is not None:
        fleet.items.end_lease(item.lease_id)


def remove_item(fleet: LateFleet) -> None:
    """Let the store remove the leader's item, whose lease can still be renewed."""
    if fleet.items.get(LEADER_KEY) is not None:
        fleet.items.change(Change(removals=(LEADER_KEY,)))


@final
class TwoLeaders:
    """A random play in which leaders are replaced without knowing it."""

    def __init__(self, fleet: LateFleet, rng: Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._ends: list[tuple[float, Callable[[], object]]] = []
        self.both_led_s = 0.0
        """For how long two hosts considered themselves the leader."""

    def run(self) -> None:
        """Run the play."""
        fleet, rng = self._fleet, self._rng
        answer_s = rng.choice((0.004, 0.004, 0.1, 0.2))
        fleet.note(f"answers after {answer_s} s")
        for host in fleet.hosts:
            host.link.answer_s = answer_s
        self._run_for(3.0)
        fleet.write(SMALL_KEY)
        self._run_for(3.0)
        for _ in range(EPISODES):
            for _ in range(rng.choice((1, 2, 3))):
                self._replace_leader()
                self._write_for(rng.uniform(0.05, 2.5))
            self._write_for(3.0)

    def _replace_leader(self) -> None:
        fleet, rng = self._fleet, self._rng
        leader = fleet.leader()
        if leader is None:
            return
        duration_s = rng.uniform(0.3, 3.0)
        delay_s = rng.uniform(0.0, 0.3)
        troubles = [
            partial(self._disturb_store, leader, duration_s),
            partial(self._disturb_links, leader, duration_s),
            partial(rng.choice((end_lease, remove_item)), fleet),
        ]
        rng.shuffle(troubles)
        for trouble in troubles:
            trouble()
            self._write_for(rng.choice((0.0, delay_s)))

    def _disturb_store(self, leader: LateHost, duration_s: float) -> None:
        kind = self._rng.choice(STORE_TROUBLES)
        self._note(f"store: {kind or 'fine'} for {duration_s:.2f} s", leader)
        if kind == "late":
            leader.link.watch_delay_s = self._rng.uniform(0.2, 1.1)
            leader.is_in_trouble = True
        elif kind:
            self._fleet.begin_outage(leader, kind)
        if kind:
            self._later(duration_s, partial(self._end_outage, leader))

    def _end_outage(self, host: LateHost) -> None:
        host.link.watch_delay_s = 0.0
        self._fleet.end_outage(host)

    def _disturb_links(self, leader: LateHost, duration_s: float) -> None:
        net, rng = self._fleet.net, self._rng
        kind = rng.choice(LINK_TROUBLES)
        others = [host for host in self._fleet.hosts if host is not leader]
        if kind != "others":
            others = rng.sample(others, rng.randint(1, len(others)))
        names = [self._fleet.hosts.index(host) for host in others]
        self._note(f"links to {names}: {kind or 'fine'}", leader)
        for host in others:
            pair = frozenset({leader.address, host.address})
            if kind == "held" and pair not in net.held:
                net.hold(pair)
                self._later(duration_s, partial(net.release, pair))
            elif kind in ("others", "some", "loss"):
                net.losses[pair] = 0.5 if kind == "loss" else 1.0
                self._later(duration_s, partial(net.losses.pop, pair, 0.0))

    def _note(self, text: str, leader: LateHost) -> None:
        self._fleet.note(f"leader {self._fleet.hosts.index(leader)}, {text}")

    def _later(self, delay_s: float, end: Callable[[], object]) -> None:
        self._ends.append((self._fleet.clock.seconds() + delay_s, end))

    def _write_for(self, duration_s: float) -> None:
        """Run while rules change in groups, each some time after the one before."""
        fleet, rng = self._fleet, self._rng
        until_s = fleet.clock.seconds() + duration_s
        while (left_s := until_s - fleet.clock.seconds()) > STEP_S:
            for _ in range(rng.choice((1, 2, 3))):
                fleet.write(SMALL_KEY)
                self._run_for(min(left_s, rng.choice((0.025, 0.05))))
            self._run_for(min(left_s, rng.uniform(0.05, 2.0)))

    def _run_for(self, duration_s: float) -> None:
        fleet = self._fleet
        until_s = fleet.clock.seconds() + duration_s
        while until_s - fleet.clock.seconds() > STEP_S / 2:
            due = [end for end in self._ends if end[0] <= fleet.clock.seconds()]
            self._ends = [end for end in self._ends if end not in due]
            for _, end in due:
                end()
            fleet.run(STEP_S)
            if len(leaders(fleet.hosts)) > 1:
                self.both_led_s += STEP_S


def leaders(hosts: Sequence[LateHost]) -> list[LateHost]:
    """Return the hosts that consider themselves the leader."""
    return [host for host in hosts if host.coordinator.leadership.leads]
