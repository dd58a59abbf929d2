"""Run stand-ins of the users' platform: ``python -m gentianwharf.platform.standin``."""

import os
import sys
import time
from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import Any

import msgspec
from cyclopts import App
from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import Deferred
from twisted.internet.stdio import StandardIO
from twisted.web.server import Request

from gentianwharf import logs
from gentianwharf.entryhost import EntryHost
from gentianwharf.lifecycle import use_monotonic_time
from gentianwharf.store import Change

from .._settings import decode_host_settings
from .._store import PlatformStore
from . import (
    EXIT_CRASHED,
    KEYED,
    LOOK_UPS,
    UNKEYED,
    Arrival,
    BodyReport,
    HoldChange,
    Items,
    OrderReader,
    Rejections,
    RequestRun,
    ServerOrder,
    ServerSpec,
    StandInServer,
    StandInStore,
    StoreFaults,
    StoreOrder,
    StoreOrderReport,
    configuration,
)
from ._settings import CALLERS_PORT, settings_text
from ._store import EXPIRY_INTERVAL_S
from ._store_orders import carry_out

DEMO_STORE, DEMO_OPERATORS = "127.0.0.1:8384", "127.0.0.1:8385"
DEMO_SERVERS = 6
DEMO_HOSTS = 3

END_DELAY_S = 0.01

app = App(name="stand-in", help="Stand-ins of the users' platform, for trials.")
reactor: Any = installed_reactor


def _listen(address: str, site: Any) -> None:
    ip, _, port = address.rpartition(":")
    reactor.listenTCP(int(port), site, interface=ip)


def _read_orders(order_type: type[Any], on_order: Callable[[Any], None]) -> None:
    reader = OrderReader(order_type=order_type, on_order=on_order)
    StandardIO(reader, reactor=reactor)


def _serve_store(
    *addresses: str,
    operators: str,
    added_paths: Iterable[str] = (),
    takes_orders: bool = False,
) -> None:
    items = Items(now_s=reactor.seconds)
    faults = StoreFaults(items=items)
    links = {}
    for address in (*addresses, operators):
        store = StandInStore(
            items=items,
            reactor=reactor,
            allow_reserved=address == operators,
            faults=faults,
        )
        _listen(address, store.site())
        if address != operators:
            links[address] = store.link

    def carry_out_and_report(order: StoreOrder) -> None:
        revoked_items = carry_out(order, faults=faults, links=links)
        _print_line(
            StoreOrderReport(
                order=order,
                carried_out_s=reactor.seconds(),
                revoked_items=revoked_items,
            )
        )

    if takes_orders:
        _read_orders(StoreOrder, carry_out_and_report)

    def expire() -> None:
        items.expire()
        reactor.callLater(EXPIRY_INTERVAL_S, expire)

    expire()
    items.change(Change(puts=(configuration(1, added_paths=added_paths),)))


def _serve_backend(spec: ServerSpec, store: str, seed: int) -> StandInServer:
    server = StandInServer(spec=spec, reactor=reactor, rng=Random(seed))
    _listen(spec.address, server.site())
    client = PlatformStore(reactor=reactor, address=store)
    Deferred.fromCoroutine(server.maintain_entry(client))
    return server


def _end_on(part: bytes, request: Request) -> None:
    if part in request.uri:
        reactor.callLater(END_DELAY_S, os._exit, EXIT_CRASHED)


def _print_line(
    event: RequestRun | Arrival | BodyReport | HoldChange | StoreOrderReport,
) -> None:
    print(msgspec.json.encode(event).decode(), flush=True)


@app.command
def store(
    address: str,
    operators: str,
    *,
    added_paths: tuple[str, ...] = (),
    host_addresses: tuple[str, ...] = (),
    takes_orders: bool = False,
) -> None:
    """Serve the store to hosts on ADDRESS, to operators and servers on OPERATORS.

    Parameters
    ----------
    address
        Where hosts reach it.
    operators
        Where operators and servers reach it.
    added_paths
        Paths of repeatable requests that the first configuration serves as well.
    host_addresses
        Further addresses, each for one host that reaches the store by its own link.
    takes_orders
        Begin and end faults by orders on standard input, and print a line for each.

    """
    use_monotonic_time(reactor)
    _serve_store(
        address,
        *host_addresses,
        operators=operators,
        added_paths=added_paths,
        takes_orders=takes_orders,
    )
    print("ready", flush=True)
    reactor.run()


@app.command
def backend(
    server_id: str,
    service: str,
    address: str,
    *,
    domain: str = "a",
    slots: int = 4,
    work_ms: float = 20.0,
    store: str = DEMO_OPERATORS,
    listed_as: str | None = None,
    reports_slowdown: bool = False,
    cold_ms: float = 0.0,
    limit_per_s: float | None = None,
    announces_leaving: bool = False,
    rest_s: float | None = None,
    lost_share: float = 0.0,
    early_share: float = 0.0,
    reports_arrivals: bool = False,
    ends_on: str = "",
    refused_share: float = 0.0,
    failed_share: float = 0.0,
    reports_holds: bool = False,
    takes_orders: bool = False,
) -> None:
    """Serve one backend server, and print a line for each request that it ran.

    Parameters
    ----------
    server_id
        Its id in the store.
    service
        What it serves.
    address
        Where it listens.
    domain
        Its failure domain.
    slots
        How many requests it runs at a time.
    work_ms
        How long each takes on the average.
    store
        Where operators and servers reach the store.
    listed_as
        The address in its entry, where a proxy stands before it.
    reports_slowdown
        Whether it answers queries for its load at once.
    cold_ms
        How long it is cold after its start.
    limit_per_s
        The requests per second that its answers name as its limit.
    announces_leaving
        Whether its answers state that it leaves.
    rest_s
        The seconds for which it refuses every request and asks for rest.
    lost_share
        The probability that the answer of a request that it ran is lost.
    early_share
        The probability that it answers an upload before its end, in most cases with
        a refusal.
    reports_arrivals
        Whether it also prints a line for each request that reaches it, and one for the
        body of each upload.
    ends_on
        Part of a target; the process ends soon after it begins to run a request with
        it. Empty for none.
    refused_share
        The probability that it refuses such a request without running it.
    failed_share
        The probability that it answers such a request with 500 without running it.
    reports_holds
        Whether it also prints a line for each grant and release that it carries out.
    takes_orders
        Begin and end faults by orders on standard input.

    """
    use_monotonic_time(reactor)
    spec = ServerSpec(
        id=server_id,
        service=service,
        address=address,
        domain=domain,
        slots=slots,
        work_s=work_ms / 1000,
        born_ms=int(time.time() * 1000),
        reports_slowdown=reports_slowdown,
        cold_s=cold_ms / 1000,
        lost_share=lost_share,
        early_share=early_share,
    )
    server = _serve_backend(spec, store, seed=spec.born_ms)
    server.listed_as = listed_as or address
    server.max_requests_per_s = limit_per_s
    server.announces_leaving = announces_leaving
    server.rest_s = rest_s
    server.on_run = _print_line
    if reports_arrivals:
        server.on_arrival = server.on_body = _print_line
    if reports_holds:
        server.on_hold_change = _print_line
    if takes_orders:
        _read_orders(ServerOrder, server.late_orders.change)
    if ends_on:
        part, rng = ends_on.encode(), Random(spec.born_ms)
        server.on_begin = partial(_end_on, part)
        server.rejection = Rejections(
            part=part, rng=rng, refused_share=refused_share, failed_share=failed_share
        ).status
    print("ready", flush=True)
    reactor.run()


@app.command
def demo() -> None:
    """Serve a store, some servers and some entry hosts in one process."""
    use_monotonic_time(reactor)
    logs.configure(stream=sys.stderr, level="WARNING")
    _serve_store(DEMO_STORE, operators=DEMO_OPERATORS)
    for number in range(DEMO_SERVERS):
        spec = ServerSpec(
            id=f"s{number}",
            service=(KEYED, UNKEYED)[number % 2],
            address=f"127.0.0.1:{8400 + number}",
            domain="abc"[number % 3],
            slots=4,
            work_s=0.02,
            born_ms=1,
            reports_slowdown=True,
        )
        _serve_backend(spec, DEMO_OPERATORS, seed=number)
    for number in range(DEMO_HOSTS):
        text = settings_text(
            name=f"host-{number}",
            ip=f"127.0.0.{number + 2}",
            domain="abc"[number],
            store=DEMO_STORE,
        )
        EntryHost(
            settings=decode_host_settings(text, peer="demo"), reactor=reactor
        ).start()
    print(
        "Ready in a moment. First request:\n"
        f"  curl -i -H 'Host: {LOOK_UPS}' -H 'Attempt-Id: 1' -H 'Shard-Key: 7'"
        f" http://127.0.0.2:{CALLERS_PORT}/\n"
        "Stop: Ctrl-C",
        flush=True,
    )
    reactor.run()


if __name__ == "__main__":
    app()
