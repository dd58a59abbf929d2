"""The soak's draw of late orders, lost writes and leaders that are ended or frozen."""

import json
import signal
from pathlib import Path
from random import Random

import pytest
from soak._deployment import RESTART_DELAY_S
from soak._disruptions import STORE_WRITES
from soak._late_orders import LateOrders

from gentianwharf.platform.standin import ServerOrder, StoreOrder

from .builders_soak_drawn import Drawn


def late_orders_of(drawn: Drawn, *, seed: int) -> LateOrders:
    return LateOrders(
        deployment=drawn.deployment, schedule=drawn.schedule, rng=Random(seed)
    )


@pytest.mark.parametrize("seed", range(10))
def test_leaders_in_a_row_are_disturbed_and_others_are_not(
    tmp_path: Path, seed: int
) -> None:
    """Guards against faults that miss the leader, or hit one that stands still."""
    drawn = Drawn(tmp_path)
    late_orders_of(drawn, seed=seed).start()
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
    drawn = Drawn(tmp_path)
    late_orders = late_orders_of(drawn, seed=1)
    late_orders.start()
    drawn.clock.pump([0.1] * 101)
    told = [
        name
        for name in drawn.deployment.keyed_servers()
        if any(order.late_share for order in drawn.orders(name, ServerOrder))
    ]
    assert told
    assert drawn.deployment.disruptions.overlaps(STORE_WRITES, 0.0, 10.0)
    drawn.schedule.stop()
    late_orders.restore()
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
    drawn = Drawn(tmp_path)
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
    drawn = Drawn(tmp_path)
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
