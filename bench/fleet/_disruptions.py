"""What happens to a fleet while callers send."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any, final

from gentianwharf.platform.standin import Outage, Revoked, StoreOrder

from ._fleet import SERVER_PROCESSES, Fleet
from ._orders import Order
from ._sheet import host_store_address

CRASH_GAP_S = 1.5
LONG_LIST, VERY_LONG_LIST = 1_600, 3_200
"""Numbers of rules in a long list, and in one that uses most of the store's limit."""

SLOW_LINK_BYTES_PER_S = 5e6 / 8
SLOWDOWN = 50.0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """Something that happens ``at_s`` after callers began to send."""

    at_s: float
    act: Callable[[Fleet, Random], None]


def _order(order: Order) -> Callable[[Fleet, Random], None]:
    return lambda fleet, rng: fleet.order_servers(order)


def _pause_hosts(share: float) -> Callable[[Fleet, Random], None]:
    def act(fleet: Fleet, rng: Random) -> None:
        fleet.pause(f"host-{number}" for number in _some_hosts(fleet, rng, share))

    return act


def _pause_servers(parts: int) -> Callable[[Fleet, Random], None]:
    def act(fleet: Fleet, rng: Random) -> None:
        chosen = rng.sample(range(SERVER_PROCESSES), parts)
        fleet.pause(f"servers-{part}" for part in chosen)

    return act


def _pause_all(fleet: Fleet, rng: Random) -> None:
    _pause_hosts(1.0)(fleet, rng)
    _pause_servers(SERVER_PROCESSES)(fleet, rng)


def _resume(fleet: Fleet, rng: Random) -> None:
    fleet.resume()


def _restart_hosts(share: float) -> Callable[[Fleet, Random], None]:
    return lambda fleet, rng: fleet.restart_hosts(_some_hosts(fleet, rng, share))


def _kill_leader(fleet: Fleet, rng: Random) -> None:
    leader = fleet.leader()
    if leader is not None:
        fleet.restart_hosts([leader])


def _pause_store(fleet: Fleet, rng: Random) -> None:
    fleet.pause(["store"])


def _order_store(**fields: Any) -> Callable[[Fleet, Random], None]:
    return lambda fleet, rng: fleet.order_store(StoreOrder(**fields))


def _revoke(
    revoked: Revoked, *, outage: Outage | None = None
) -> Callable[[Fleet, Random], None]:
    """Take leases or items away from hosts that lead, in an outage for them alone."""

    def act(fleet: Fleet, rng: Random) -> None:
        addresses = tuple(
            host_store_address(fleet.net, leader) for leader in fleet.leaders()
        )
        if addresses:
            order = StoreOrder(revokes=revoked, outage=outage, addresses=addresses)
            fleet.order_store(order)

    return act


def _serve_hosts(fleet: Fleet, rng: Random) -> None:
    """End the outages for single hosts."""
    addresses = tuple(
        host_store_address(fleet.net, number) for number in range(fleet.host_count)
    )
    fleet.order_store(StoreOrder(outage=Outage.NONE, addresses=addresses))


def _some_hosts(fleet: Fleet, rng: Random, share: float) -> list[int]:
    return rng.sample(range(fleet.host_count), round(share * fleet.host_count))


def _lost(from_s: float, to_s: float, share: float = 0.9) -> Iterator[Step]:
    yield Step(at_s=from_s, act=_order(Order(lost_share=share)))
    yield Step(at_s=to_s, act=_order(Order(lost_share=0.0)))


def _pauses(
    act: Callable[[Fleet, Random], None], *starts_s: float, for_s: float
) -> Iterator[Step]:
    for start_s in starts_s:
        yield Step(at_s=start_s, act=act)
        yield Step(at_s=start_s + for_s, act=_resume)


def _held(share: float, *starts_s: float, for_s: float) -> Iterator[Step]:
    for start_s in starts_s:
        yield Step(at_s=start_s, act=_order(Order(held_share=share)))
        yield Step(at_s=start_s + for_s, act=_order(Order(held_share=0.0)))


def _store_faults(rules: int) -> Iterator[Step]:
    """Yield outages and slow links of the store, each with a list of ``rules``."""
    hang, end = _order_store(outage=Outage.HANG), _order_store(outage=Outage.NONE)
    drop = _order_store(drops_history=True)
    end_and_drop = _order_store(outage=Outage.NONE, drops_history=True)
    limit_links = _order_store(rate_bytes_per_s=SLOW_LINK_BYTES_PER_S)
    restore_links = _order_store(rate_bytes_per_s=0.0)
    slow, fast = _order_store(slowdown=SLOWDOWN), _order_store(slowdown=1.0)
    write_list = _order(Order(added_rules=rules))
    move, move_back = (_order(Order(moves_rule=moved)) for moved in (True, False))
    for at_s, act in (
        (6.0, write_list),
        (9.0, hang),
        (10.0, move),
        (15.0, end),
        (15.6, move_back),
        (21.0, drop),
        (21.0, write_list),
        (24.0, slow),
        (24.5, write_list),
        (27.5, fast),
        (28.0, limit_links),
        (28.5, write_list),
        (31.5, drop),
        (31.5, move),
        (34.0, hang),
        (35.0, write_list),
        (38.0, end_and_drop),
        (38.3, move_back),
        (43.5, restore_links),
    ):
        yield Step(at_s=at_s, act=act)


def _early_leases() -> Iterator[Step]:
    """Yield early ends of the leader's lease, with servers that end and rules."""
    move, move_back = (_order(Order(moves_rule=moved)) for moved in (True, False))
    end_servers = _order(Order(ended_share=1 / 12))
    for at_s, act in (
        (14.0, _revoke(Revoked.LEASES)),
        (16.0, _revoke(Revoked.ITEMS)),
        (17.0, move),
        (20.0, _revoke(Revoked.LEASES, outage=Outage.HANG)),
        (21.0, end_servers),
        (22.0, _revoke(Revoked.LEASES, outage=Outage.REFUSE)),
        (22.5, move_back),
        (25.0, _serve_hosts),
        (28.0, _revoke(Revoked.ITEMS, outage=Outage.HANG)),
        (28.7, end_servers),
        (33.0, _serve_hosts),
        (35.0, _revoke(Revoked.ITEMS, outage=Outage.REFUSE)),
        (35.5, move),
        (36.0, end_servers),
        (39.0, _serve_hosts),
    ):
        yield Step(at_s=at_s, act=act)


def _crashes(from_s: int, to_s: int) -> Iterator[Step]:
    """Yield ends of a twelfth of the servers, each 1.5 s."""
    for number in range(round((to_s - from_s) / CRASH_GAP_S)):
        at_s = from_s + number * CRASH_GAP_S
        yield Step(at_s=at_s, act=_order(Order(ended_share=1 / 12)))


DISRUPTIONS: Mapping[str, tuple[Step, ...]] = {
    "none": (),
    "lost-answers": tuple(_lost(14, 40)),
    "lost-from-the-start": tuple(_lost(0, 40, 0.6)),
    "server-pauses": (
        *_lost(14, 40, 0.6),
        *_pauses(_pause_servers(4), 16, for_s=3.0),
        *_pauses(_pause_servers(2), 24, 32, for_s=3.0),
    ),
    "hedges": (
        *_lost(14, 40, 0.8),
        *_pauses(_pause_servers(1), 15, 21, 27, 33, for_s=4.0),
    ),
    "host-pauses": (
        *_lost(14, 40),
        *_pauses(_pause_hosts(0.3), 15, 21, 27, 33, for_s=3.0),
    ),
    "host-stalls": (
        *_lost(14, 40),
        *_pauses(_pause_hosts(1.0), 14.5, 20.5, 26.5, 32.5, for_s=3.0),
    ),
    "long-host-stalls": (
        *_lost(14, 40, 0.6),
        *_pauses(_pause_hosts(1.0), 14, for_s=6.0),
    ),
    "short-host-stalls": (
        *_lost(14, 40, 0.6),
        *_pauses(_pause_hosts(1.0), 12, 26, for_s=2.0),
    ),
    "all-stalls": (
        *_lost(14, 40),
        *_pauses(_pause_all, 15, 21, 27, 33, for_s=3.0),
    ),
    "held-links": (*_lost(14, 40, 0.5), *_held(1.0, 18, for_s=9.0)),
    "held-links-briefly": (*_lost(14, 40, 0.5), *_held(1.0, 16, 24, 32, for_s=4.0)),
    "held-links-partly": (*_lost(14, 40, 0.5), *_held(0.6, 16, 30, for_s=9.0)),
    "held-links-restarts": (
        *_lost(14, 40, 0.5),
        *_held(0.6, 16, 30, for_s=9.0),
        *(Step(at_s=at_s, act=_restart_hosts(0.55)) for at_s in (20, 34)),
    ),
    "held-links-alone": (*_held(1.0, 14, 26, for_s=5.0),),
    "reassigned-addresses": (
        *_lost(14, 40, 0.6),
        *(
            Step(at_s=at_s, act=_order(Order(reassigned_share=0.15)))
            for at_s in (16, 22, 28, 34)
        ),
    ),
    "rules": (
        *_lost(14, 40, 0.8),
        *(
            Step(at_s=at_s, act=_order(Order(moves_rule=number % 2 == 0)))
            for number, at_s in enumerate((16, 20, 24, 28, 32, 36))
        ),
    ),
    "restarts": (
        *_lost(14, 40),
        *(Step(at_s=at_s, act=_restart_hosts(0.55)) for at_s in (15, 20, 25, 33)),
    ),
    "leader-kills": tuple(
        Step(at_s=at_s, act=_kill_leader) for at_s in (15.15, 16.5, 22.0)
    ),
    "leases-end-early": tuple(_early_leases()),
    "store-troubles": tuple(_store_faults(LONG_LIST)),
    "store-troubles-very-long": tuple(_store_faults(VERY_LONG_LIST)),
    "store-down": tuple(_pauses(_pause_store, 14.0, for_s=20.0)),
    "host-pauses-alone": tuple(_pauses(_pause_hosts(0.3), 14.8, 19, 24, 29, for_s=3.0)),
    "release": (Step(at_s=14.0, act=_order(Order(ended_share=0.5, is_rolling=True))),),
    "mass-crashes": tuple(
        Step(at_s=at_s, act=_order(Order(ended_share=1 / 7)))
        for at_s in (14.5, 15.5, 17.0, 18.5, 24.0, 30.0)
    ),
    "steady-crashes": tuple(_crashes(14, 46)),
    "steady-crashes-lost": (*_lost(14, 44, 0.5), *_crashes(14, 46)),
    "steady-crashes-stalls": (
        *_crashes(14, 46),
        *_pauses(_pause_hosts(0.4), *range(15, 45, 3), for_s=2.0),
    ),
    "steady-crashes-restarts": (
        *_crashes(14, 46),
        *(Step(at_s=at_s, act=_restart_hosts(0.25)) for at_s in range(15, 44, 4)),
    ),
    "crash-all": (
        *_lost(14, 40, 0.3),
        *(
            Step(at_s=at_s, act=_order(Order(ended_share=1 / 7)))
            for at_s in (15.5, 18.5, 30.0)
        ),
        Step(at_s=16.5, act=_kill_leader),
        Step(at_s=20.0, act=_order(Order(reassigned_share=0.05))),
        *_pauses(_pause_hosts(0.3), 22.0, for_s=3.0),
        *_pauses(_pause_store, 27.0, for_s=5.0),
    ),
    "rests": (
        Step(at_s=14, act=_order(Order(rest_s=3.0))),
        Step(at_s=30, act=_order(Order(rest_s=0.0))),
    ),
    "all": (
        *_lost(14, 40, 0.8),
        *(
            Step(at_s=at_s, act=_order(Order(reassigned_share=0.1)))
            for at_s in (16, 30)
        ),
        *_pauses(_pause_hosts(0.3), 18, 34, for_s=3.0),
        *_pauses(_pause_servers(2), 22, for_s=3.0),
        *(Step(at_s=at_s, act=_restart_hosts(0.3)) for at_s in (26, 31)),
    ),
}
"""Disruptions by name. Callers send for some time before, so that budgets are full."""
