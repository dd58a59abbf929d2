"""The soak's draw of leases that end early, and of items that go before their lease."""

from pathlib import Path
from random import Random
from typing import Any, cast

import pytest
from soak._disruptions import link_of
from soak._early_leases import AGAIN_WITHIN_S, REVOKE_AFTER_S, SPAN_S, EarlyLeases
from soak._late_orders import BETWEEN_LEADERS_S, LOOK_EVERY_S

from gentianwharf.platform.standin import (
    Outage,
    Revoked,
    StoreOrder,
    StoreOrderReport,
)

from .builders_soak_drawn import Drawn

MAX_BETWEEN_LEADERS_S = BETWEEN_LEADERS_S[-1][1]
SEEDS = range(40)
MAX_REVOKE_AFTER_S = REVOKE_AFTER_S[-1][1]


class EarlyEnds(Drawn):
    """A deployment whose leaders lose their leases."""

    def __init__(self, tmp_path: Path, *, seed: int) -> None:
        super().__init__(tmp_path, servers_restart=True)
        self.early_leases = EarlyLeases(
            deployment=self.deployment, schedule=self.schedule, rng=Random(seed)
        )

    def begin(self) -> float:
        """Begin a span of host-1, and return its duration."""
        self.log("host-1", "leading")
        return self.early_leases.begin("host-1")

    def play(self, duration_s: float) -> None:
        """Let time pass."""
        self.clock.pump([0.01] * round(duration_s / 0.01))

    def revoked(self) -> list[tuple[str, Revoked]]:
        """Return whose leases or items were revoked, and which of both."""
        hosts = {
            self.deployment.links.store_address(name): name
            for name in self.deployment.hosts
        }
        return [
            (hosts[order.addresses[0]], order.revokes)
            for order in self.orders("store", StoreOrder)
            if order.revokes is not None
        ]

    def report(self) -> None:
        """Let the store report all of its orders."""
        for order in self.orders("store", StoreOrder):
            report = StoreOrderReport(order=order, carried_out_s=0.0, revoked_items=1)
            self.deployment._note_store_line(cast(Any, as_line(report)))

    def is_in_touch(self, host: str, at_s: float) -> bool:
        """Whether a host was served by the store just then."""
        return self.deployment.disruptions.is_undisrupted(host, at_s + 3.0, at_s + 3.0)


def as_line(report: StoreOrderReport) -> dict[str, Any]:
    order = {"addresses": report.order.addresses}
    if report.order.outage is not None:
        order["outage"] = cast(Any, report.order.outage)
    return {"order": order, "revoked_items": report.revoked_items}


@pytest.mark.parametrize("seed", SEEDS)
def test_leader_alone_loses_its_lease_and_contact(tmp_path: Path, seed: int) -> None:
    """Guards against revocations that miss the leader, and troubles that stay."""
    drawn = EarlyEnds(tmp_path, seed=seed)
    assert SPAN_S[0] <= drawn.begin() <= SPAN_S[1]
    drawn.play(MAX_REVOKE_AFTER_S + AGAIN_WITHIN_S)
    assert 1 <= len(drawn.revoked()) <= 2
    assert {host for host, _ in drawn.revoked()} == {"host-1"}
    drawn.early_leases.end()
    drawn.report()
    assert drawn.deployment.revoked_items >= 1
    drawn.play(4.0)
    for host in drawn.deployment.hosts:
        assert drawn.is_in_touch(host, drawn.clock.seconds())
        assert host == "host-1" or drawn.is_in_touch(host, 0.5)


def test_every_kind_is_drawn(tmp_path: Path) -> None:
    """Guards against a kind that the long runs never play."""
    kinds = set()
    for seed in SEEDS:
        drawn = EarlyEnds(tmp_path, seed=seed)
        drawn.begin()
        record = drawn.schedule.records[-1]
        contact = record.partition(" is ")[2].partition(",")[0]
        kinds.add((contact, Revoked.ITEMS if "items" in record else Revoked.LEASES))
    contacts = {contact for contact, _ in kinds}
    assert contacts == {"in touch", "silent", "refused", "reset", "turned away"}
    assert len(kinds) == 2 * len(contacts)


def test_next_leader_loses_its_lease_as_well(tmp_path: Path) -> None:
    """Guards against spans in which only one leader is ever replaced early."""
    followed = 0
    for seed in SEEDS:
        drawn = EarlyEnds(tmp_path, seed=seed)
        drawn.begin()
        drawn.play(MAX_REVOKE_AFTER_S)
        drawn.log("host-1", "no longer leading: the lease has expired")
        drawn.log("host-2", "leading")
        drawn.play(MAX_BETWEEN_LEADERS_S + MAX_REVOKE_AFTER_S + LOOK_EVERY_S)
        hosts = [host for host, _ in drawn.revoked()]
        assert hosts[0] == "host-1"
        followed += hosts == ["host-1", "host-2"]
    assert len(SEEDS) / 5 < followed < len(SEEDS) / 2


def test_host_that_is_turned_away_is_disrupted_alone(tmp_path: Path) -> None:
    """Guards against bounds on a host that the store refuses, and none on others."""
    drawn = EarlyEnds(tmp_path, seed=1)
    drawn.deployment.turn_away("host-1")
    drawn.report()
    assert not drawn.is_in_touch("host-1", 1.0)
    assert drawn.is_in_touch("host-2", 1.0)
    drawn.deployment.links.clear("host-1")
    drawn.deployment.order_store(StoreOrder(outage=Outage.NONE))
    drawn.clock.advance(1.0)
    assert not drawn.is_in_touch("host-1", 1.0)
    drawn.deployment.end_turning_away()
    drawn.report()
    drawn.clock.advance(4.0)
    assert drawn.is_in_touch("host-1", 4.9)
    assert not drawn.deployment.disruptions.overlaps(link_of("host-1"), 0.0, 4.0)
