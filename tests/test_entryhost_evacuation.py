"""Evacuation of a failure domain: its servers get no work, and their keys move."""

from collections.abc import Callable
from typing import Any

import pytest

from gentianwharf.entryhost import _coordinator
from gentianwharf.keyspace import Grant, Holder, MaySend, Release, decode_table
from gentianwharf.store import Change
from tests.builders_entryhost import Fleet
from tests.builders_users_platform import server_entry

SERVICE = "calendar"
LAC, CHARGUIA = "lac", "charguia"
SERVERS = {"i-1": LAC, "i-2": LAC, "i-3": CHARGUIA, "i-4": CHARGUIA}


class AcceptedOrders:
    """Servers that accept each order, and hand over what they release."""

    def __init__(self, *, reactor: Any) -> None:
        self.handovers: dict[int, str | None] = {}
        self.on_release: Callable[[Release], None] = lambda release: None

    async def grant(
        self, holder: Holder, grant: Grant, *, timeout_s: float, may_send: MaySend
    ) -> None:
        self.handovers[grant.first] = grant.handover

    async def release(
        self, holder: Holder, release: Release, *, timeout_s: float, may_send: MaySend
    ) -> str | None:
        self.on_release(release)
        return f"{holder.server_id}-{release.first}"


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Fleet:
    monkeypatch.setattr(_coordinator, "ServerOrders", AcceptedOrders)
    fleet = Fleet(monkeypatch, hosts=3)
    for host in fleet.hosts:
        host.coordinator.set_keyed_services({SERVICE: 5.0})
        host.coordinator.directory.on_change = host.coordinator.note_servers
    for number, (name, zone) in enumerate(SERVERS.items()):
        address = f"10.128.0.{number + 1}:80"
        fleet.write(f"servers/{name}", server_entry(zone=zone, address=address))
    fleet.run(6)
    return fleet


def holders(fleet: Fleet) -> set[str]:
    (item,) = fleet.items.with_prefix(f"gentianwharf/keys/{SERVICE}")
    table = decode_table(item.value, peer=item.key)
    return {span.holder.server_id for span in table.spans}


def usable(fleet: Fleet) -> list[list[str]]:
    return [
        sorted(entry.id for entry in host.coordinator.directory.usable(SERVICE))
        for host in fleet.hosts
    ]


def test_evacuated_servers_lose_their_keys_with_a_handover(fleet: Fleet) -> None:
    """Guards against an evacuation that no host reads from the store."""
    assert holders(fleet) == set(SERVERS)
    fleet.write(f"op/evacuate/{LAC}", b"{}")
    fleet.run(0.5)
    assert usable(fleet) == [["i-3", "i-4"]] * 3
    assert holders(fleet) == {"i-3", "i-4"}
    orders: Any = fleet.leader().coordinator._grant_manager._orders
    moved = [value for value in orders.handovers.values() if value]
    assert moved and all(value.startswith(("i-1", "i-2")) for value in moved)


def test_all_hosts_know_a_move_before_its_release(fleet: Fleet) -> None:
    """Guards against requests that reach a server after it has released their keys.

    The leader ordered a release as soon as it had written the table, and the other
    hosts received the table up to 0.1 s later.
    """
    leader = fleet.leader().coordinator
    known: list[bool] = []

    def check(release: Release) -> None:
        known.extend(
            host.coordinator.keys._tables[SERVICE].highest_token >= release.token
            for host in fleet.hosts
        )

    orders: Any = leader._grant_manager._orders
    orders.on_release = check
    fleet.write(f"op/evacuate/{LAC}", b"{}")
    fleet.run(1)
    assert known
    assert all(known)


def test_servers_are_used_again_after_an_evacuation(fleet: Fleet) -> None:
    fleet.write(f"op/evacuate/{LAC}", b"{}")
    fleet.run(2)
    fleet.items.change(Change(removals=(f"op/evacuate/{LAC}",)))
    fleet.run(2)
    assert usable(fleet) == [sorted(SERVERS)] * 3
    assert holders(fleet) == set(SERVERS)


def test_new_leader_keeps_an_evacuation(fleet: Fleet) -> None:
    """Guards against losing an evacuation with the leader that received it."""
    fleet.write(f"op/evacuate/{LAC}", b"{}")
    fleet.run(0.5)
    fleet.restart(fleet.leader(), refuses_calls=True)
    fleet.run(15)
    assert holders(fleet) == {"i-3", "i-4"}
