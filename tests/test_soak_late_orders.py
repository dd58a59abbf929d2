"""The soak's draw of late orders, lost writes and leaders that are ended or frozen."""

import json
import signal
from pathlib import Path
from random import Random
from typing import Any, cast

import msgspec
import pytest
from soak._deployment import RESTART_DELAY_S, Deployment
from soak._disruptions import STORE_WRITES
from soak._late_orders import LateOrders
from soak._schedule import Schedule
from twisted.internet.task import Clock

from gentianwharf.platform.standin import ServerOrder, StoreOrder

NET = 90


class FakeProgram:
    """A program that is never started."""

    def __init__(self) -> None:
        self.is_running = True
        self.is_end_requested = False
        self.signals: list[signal.Signals] = []
        self.lines: list[bytes] = []

    def send(self, number: signal.Signals) -> None:
        self.signals.append(number)
        self.is_end_requested |= number is signal.SIGTERM

    def write_line(self, line: bytes) -> None:
        self.lines.append(line)


class Drawn:
    """A deployment without processes, in which each host leads once it may."""

    def __init__(self, tmp_path: Path, *, seed: int) -> None:
        self.clock = Clock()
        self.deployment = Deployment(reactor=self.clock, net=NET, logs=tmp_path)
        names = ["store", *self.deployment.servers, *self.deployment.hosts]
        self.programs = {name: FakeProgram() for name in names}
        self.deployment.programs = cast(Any, self.programs)
        self.schedule = Schedule(reactor=self.clock)
        self.late_orders = LateOrders(
            deployment=self.deployment, schedule=self.schedule, rng=Random(seed)
        )

    def log(self, host: str, message: str) -> None:
        """Let a host write a line to its log."""
        line = {"at": "2030-01-01T00:00:00.000+00:00", "message": message}
        self.deployment.leaders.note_line(host, line)

    def disturbed(self) -> list[str]:
        """Return the hosts that were ended or frozen."""
        return [
            name
            for name in self.deployment.hosts
            if {signal.SIGTERM, signal.SIGSTOP} & {*self.programs[name].signals}
        ]

    def orders(self, name: str, order_type: type[Any]) -> list[Any]:
        """Return the orders to a stand-in."""
        lines = self.programs[name].lines
        return [msgspec.json.decode(line, type=order_type) for line in lines]


@pytest.mark.parametrize("seed", range(10))
def test_leaders_in_a_row_are_disturbed_and_others_are_not(
    tmp_path: Path, seed: int
) -> None:
    """Guards against faults that miss the leader, or hit one that stands still."""
    drawn = Drawn(tmp_path, seed=seed)
    drawn.late_orders.start()
    drawn.clock.pump([0.01] * 1100)
    assert not drawn.disturbed()
    drawn.log("host-1", "leading")
    drawn.clock.pump([0.01] * 10)
    assert drawn.disturbed() == ["host-1"]
    drawn.log("host-1", "no longer leading: resigned")
    drawn.log("host-2", "leading")
    drawn.clock.pump([0.01] * 200)
    assert drawn.disturbed() == ["host-1", "host-2"]


def test_servers_and_store_are_told_and_all_of_it_ends(tmp_path: Path) -> None:
    """Guards against runs without late orders, and with some while they recover."""
    drawn = Drawn(tmp_path, seed=1)
    drawn.late_orders.start()
    drawn.clock.pump([0.1] * 101)
    told = [
        name
        for name in drawn.deployment.keyed_servers()
        if any(order.late_share for order in drawn.orders(name, ServerOrder))
    ]
    assert told
    assert drawn.deployment.disruptions.overlaps(STORE_WRITES, 0.0, 10.0)
    drawn.schedule.stop()
    drawn.late_orders.restore()
    for name in told:
        assert drawn.orders(name, ServerOrder)[-1] == ServerOrder(
            carries_out_pending=True
        )
    assert drawn.orders("store", StoreOrder)[-1] == StoreOrder(
        unanswered_share=0.0, late_share=0.0, slowdown=1.0
    )
    assert not drawn.deployment.disruptions.overlaps(STORE_WRITES, 11.0, 11.0)


def test_records_of_servers_are_kept(tmp_path: Path) -> None:
    """Guards against a check of two holders that sees nothing."""
    drawn = Drawn(tmp_path, seed=1)
    line = (
        b'{"server":"server-0","service":"calendar","born_ms":1,"first":0,"last":9,'
        b'"token":3,"arrived_s":1.0,"carried_out_s":1.0,"until_s":0.0,"is_late":false}'
    )
    drawn.deployment._note_line(json.loads(line))
    (change,) = drawn.deployment.hold_changes
    assert (change.server, change.token, change.until_s) == ("server-0", 3, 0.0)
    drawn.clock.advance(2.0)
    drawn.deployment.send("server-0", signal.SIGKILL)
    assert drawn.deployment.server_ends_s == {"server-0": [2.0]}


def test_host_that_ends_slowly_is_started_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against hosts that stay away since they still ran as they were started."""
    drawn = Drawn(tmp_path, seed=1)
    started: list[str] = []
    monkeypatch.setattr(drawn.deployment, "_start_host", started.append)
    drawn.deployment.send("host-1", signal.SIGTERM)
    drawn.deployment.restart("host-1")
    drawn.clock.pump([RESTART_DELAY_S] * 4)
    assert drawn.programs["host-1"].signals == [signal.SIGTERM, signal.SIGKILL]
    assert not started
    drawn.programs["host-1"].is_running = False
    drawn.clock.pump([RESTART_DELAY_S] * 4)
    assert started == ["host-1"]
