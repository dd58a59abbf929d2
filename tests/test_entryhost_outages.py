"""Random outages of the store and of links: all reachable hosts have every change."""

from random import Random

import pytest

from tests.builders_entryhost import Fleet, Host

HOSTS = 6
ROUNDS = 5
SETTLED_S = 6.0
"""Time for a lease to expire, for an election, and for sending missing changes."""

IN_FORCE_S = 2.0
"""A change is in force at every reachable host this long after the store accepted
it."""

STABLE_S = 3.0
"""Maximum time for a host to reconnect to a store that was unavailable."""

LEADER_WITHOUT_HOSTS = (102, 123, 132, 203, 208, 225, 430, 432, 443, 513, 553, 572)
"""Seeds that failed when a restarted host led before it had the list of hosts."""


class Outages:
    """Random outages of a fleet, and the state that hosts must have despite them."""

    def __init__(self, fleet: Fleet, rng: Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.listed = 0

    def change(self) -> None:
        """Add a server, and remove an older one at random."""
        self.listed += 1
        self.fleet.list_server(f"i-{self.listed}")
        if self.listed > 3 and self.rng.random() < 0.5:
            self.fleet.remove_server(f"i-{self.listed - 3}")

    def begin(self) -> None:
        """Replace the current outages by random ones."""
        self.end()
        rng, fleet = self.rng, self.fleet
        for host in fleet.hosts:
            kind = rng.choice(("", "", "refuses_calls", "is_silent"))
            if kind:
                setattr(host.store, kind, True)
            if rng.random() < 0.2:
                fleet.net.cut.add(host.address)
        event = rng.choice(("resign", "restart", "history", ""))
        host = rng.choice(fleet.hosts)
        if event == "resign":
            host.coordinator.resign(1.0)
        elif event == "restart":
            fleet.restart(host, refuses_calls=rng.random() < 0.5)
        elif event == "history":
            host.store.history_is_gone = True
            fleet.run(0.5)
            host.store.history_is_gone = False

    def end(self) -> None:
        """End all outages."""
        self.fleet.net.cut.clear()
        for host in self.fleet.hosts:
            host.store.refuses_calls = host.store.is_silent = False

    def reachable(self) -> list[Host]:
        """Return the hosts that reach the store, or a leader that does."""
        available = [host for host in self.fleet.hosts if is_store_available(host)]
        leads = any(
            host.coordinator.leadership.holds_lease() and not self.is_cut(host)
            for host in available
        )
        connected = [
            host for host in self.fleet.hosts if leads and not self.is_cut(host)
        ]
        return [
            *available,
            *(host for host in connected if not is_store_available(host)),
        ]

    def is_cut(self, host: Host) -> bool:
        """Whether a host is cut off from all others."""
        return host.address in self.fleet.net.cut

    def expected(self) -> list[str]:
        """Return the servers that the store lists."""
        items = self.fleet.items.with_prefix("servers/")
        return sorted(item.key.removeprefix("servers/") for item in items)


def is_store_available(host: Host) -> bool:
    """Whether the store answers a host."""
    return not host.store.refuses_calls and not host.store.is_silent


@pytest.mark.parametrize("seed", [*range(30), *LEADER_WITHOUT_HOSTS])
def test_hosts_reached_by_the_store_or_a_leader_have_all_changes(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    rng = Random(seed)
    outages = Outages(Fleet(monkeypatch, hosts=HOSTS), rng)
    fleet = outages.fleet
    fleet.run(4)
    for _ in range(ROUNDS):
        outages.begin()
        outages.change()
        fleet.run(SETTLED_S)
        outages.change()
        fleet.run(IN_FORCE_S)
        actual = {host.address: host.servers() for host in outages.reachable()}
        assert actual == dict.fromkeys(actual, outages.expected())
    outages.end()
    fleet.run(STABLE_S)
    outages.change()
    fleet.run(IN_FORCE_S)
    assert [host.servers() for host in fleet.hosts] == [outages.expected()] * HOSTS
