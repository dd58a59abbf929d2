"""The soak's draw of servers that start again beside leaders that are replaced."""

import signal
import subprocess
import sys
from pathlib import Path
from random import Random
from typing import Any, cast

import pytest
from soak import entry_host
from soak._deployment import MIN_DOWN_S
from soak._disruptions import link_of, standstill_of
from soak._evacuations import RETRY_INTERVAL_S, Evacuations
from soak._leader_troubles import SilencedLeaders
from soak._own_links import FIRST_PORT, OwnLinks
from soak._server_link import LinkCut
from soak._server_restarts import ServerRestarts
from twisted.internet.testing import StringTransport

from gentianwharf import links
from gentianwharf.errors import PeerUnavailableError
from gentianwharf.store import Change

from .builders_soak_drawn import Drawn
from .builders_soak_holds import hold

SEEDS = range(10)


class ChangedStore:
    """A store that fails until it answers."""

    def __init__(self) -> None:
        self.changes: list[Change] = []
        self.answers = False

    async def change(self, change: Change) -> int:
        self.changes.append(change)
        if not self.answers:
            raise PeerUnavailableError("hangs", step="change", peer="store")
        return len(self.changes)

    def evacuated(self) -> list[list[str]]:
        """Return the keys that each change puts."""
        return [[put.key for put in change.puts] for change in self.changes]


class Restarted(Drawn):
    """A deployment whose servers start again."""

    def __init__(self, tmp_path: Path, *, seed: int = 1) -> None:
        super().__init__(tmp_path, servers_restart=True)
        self.store = ChangedStore()
        self.store.answers = True
        rng = Random(seed)
        self.restarts = ServerRestarts(
            deployment=self.deployment,
            troubles=SilencedLeaders(
                deployment=self.deployment, schedule=self.schedule, rng=rng
            ),
            evacuations=Evacuations(reactor=self.clock, store=cast(Any, self.store)),
            schedule=self.schedule,
            rng=rng,
        )

    def play(self, duration_s: float) -> list[str]:
        """Let time pass, and return the servers that were killed."""
        killed = []
        for _ in range(round(duration_s / 0.01)):
            self.clock.advance(0.01)
            killed += self.end_killed()
        return killed


@pytest.mark.parametrize("seed", SEEDS)
def test_leader_is_cut_off_or_frozen_and_all_of_it_ends(
    tmp_path: Path, seed: int
) -> None:
    """Guards against runs without replaced leaders, and without a recovery."""
    drawn = Restarted(tmp_path, seed=seed)
    drawn.restarts.start()
    drawn.play(3.0)
    assert not drawn.disturbed()
    drawn.log("host-1", "leading")
    drawn.play(1.0)
    is_cut = drawn.deployment.disruptions.overlaps(link_of("host-1"), 0.0, 4.0)
    assert is_cut or drawn.disturbed() == ["host-1"]
    killed = drawn.play(3.0)
    assert {*killed} <= {*drawn.deployment.keyed_servers()}
    drawn.schedule.stop()
    drawn.restarts.restore()
    assert not drawn.deployment.disruptions.overlaps(link_of("host-1"), 8.0, 8.0)
    assert not drawn.store.changes[-1].puts
    assert len(drawn.store.changes[-1].removals) == 3


@pytest.mark.parametrize("seed", SEEDS)
def test_server_that_has_released_keys_is_killed(tmp_path: Path, seed: int) -> None:
    """Guards against runs in which no server forgets a release."""
    drawn = Restarted(tmp_path, seed=seed)
    drawn.restarts.start()
    drawn.log("host-1", "leading")
    drawn.play(2.1)
    names = drawn.deployment.keyed_servers()
    drawn.deployment.hold_changes += [
        hold(name, token=2, at_s=2.1, until_s=0.0) for name in names
    ]
    assert len({*drawn.play(4.0)}) == 2


def test_next_life_is_the_process_that_waits(tmp_path: Path) -> None:
    """Guards against servers that are away for the second that a start takes."""
    drawn = Restarted(tmp_path)
    first = drawn.programs["server-1"]
    drawn.deployment.restart_server("server-1", 0.0)
    assert first.signals == [signal.SIGKILL]
    drawn.clock.advance(1.0)
    assert drawn.end_killed() == ["server-1"]
    drawn.clock.advance(MIN_DOWN_S)
    second = drawn.programs["server-1"]
    assert second is not first
    assert second.lines == [b""]
    assert drawn.deployment.server_ends_s["server-1"] == [0.0, 1.0]


def test_connection_of_one_life_does_not_reach_the_next_one(tmp_path: Path) -> None:
    """Guards against orders that only the soak has sent to another life."""
    drawn = Restarted(tmp_path)
    proxy, host = drawn.deployment.links.proxies["server-1"], StringTransport()
    cast(Any, proxy.buildProtocol(None)).makeConnection(host)
    drawn.deployment.restart_server("server-1", 0.0)
    assert proxy._port is None
    drawn.end_killed()
    assert host.disconnecting or host.disconnected
    assert drawn.clock.tcpClients[0][2].buildProtocol(None) is None
    drawn.clock.advance(MIN_DOWN_S)
    assert proxy._port is not None


def test_kill_of_a_server_that_stands_still_is_no_thaw(tmp_path: Path) -> None:
    """Guards against grants to a new life that count as those of a thawed one."""
    drawn = Restarted(tmp_path)
    thaws = drawn.deployment.disruptions
    name = standstill_of("server-1")
    drawn.deployment.send("server-1", signal.SIGSTOP)
    drawn.deployment.restart_server("server-1", 0.0)
    drawn.end_killed()
    drawn.clock.advance(1.0)
    drawn.deployment.send("server-1", signal.SIGCONT)
    assert not thaws.ended_within(name, 1.0, 5.0)
    drawn.deployment.send("server-1", signal.SIGSTOP)
    drawn.clock.advance(1.0)
    drawn.deployment.send("server-1", signal.SIGCONT)
    assert thaws.ended_within(name, 2.0, 5.0)


def test_cut_links_are_those_from_and_to_a_host(tmp_path: Path) -> None:
    """Guards against cuts that leave a way, or take that of others."""
    hosts = ("host-0", "host-1", "host-2")
    links_of = OwnLinks(
        reactor=Drawn(tmp_path).clock,
        hosts=hosts,
        addresses={host: f"127.90.1.{host[-1]}:7200" for host in hosts},
    )
    assert links_of.ports("host-1") == {
        "127.90.1.0:7200": FIRST_PORT + 1,
        "127.90.1.2:7200": FIRST_PORT + 1,
    }
    links_of.cut("host-1", LinkCut.REFUSE_NEW)
    listening = {
        ends for ends, link in links_of._links.items() if link._proxy._port is not None
    }
    assert listening == {("host-0", "host-2"), ("host-2", "host-0")}
    links_of.restore()
    assert all(link._proxy._port is not None for link in links_of._links.values())


def test_evacuation_is_repeated_until_it_is_stored_or_replaced(tmp_path: Path) -> None:
    """Guards against a domain that stays evacuated after the faults."""
    drawn = Drawn(tmp_path)
    store = ChangedStore()
    evacuations = Evacuations(reactor=drawn.clock, store=cast(Any, store))
    evacuations.change("a")
    evacuations.change(None)
    drawn.clock.pump([RETRY_INTERVAL_S] * 2)
    assert store.evacuated() == [["op/evacuate/a"], [], [], []]
    store.answers = True
    drawn.clock.pump([RETRY_INTERVAL_S] * 5)
    assert store.evacuated() == [["op/evacuate/a"], [], [], [], []]
    assert "op/evacuate/a" in store.changes[-1].removals


def test_messages_to_other_hosts_use_the_hosts_own_links(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """Guards against hosts that are cut off and still hear of the next leader."""
    dialled: list[str] = []
    monkeypatch.setattr(links, "dial", dialled.append)
    entry_host.use_own_links(Drawn(tmp_path).clock, {"127.1.1.2:7200": 8500})
    for address in ("127.1.1.2:7200", "127.1.1.2:7201"):
        links.dial(address)
    assert dialled == ["127.1.1.2:8500", "127.1.1.2:7201"]


@pytest.mark.parametrize(("line", "begins"), [(b"", False), (b"\n", True)])
def test_standby_begins_once_it_reads_a_line(line: bytes, begins: bool) -> None:
    result = subprocess.run(
        [sys.executable, "-m", "soak.standby_server", "--version"],
        input=line,
        capture_output=True,
        timeout=30.0,
        check=True,
    )
    assert bool(result.stdout) is begins
