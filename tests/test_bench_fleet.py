"""How the runs of a fleet are judged."""

import subprocess
import sys

import msgspec
import pytest
from bench.fleet._judge import (
    QUARANTINE_REASON,
    Record,
    crashes,
    long_deadlines,
    missing_effects,
    read_server_lines,
    summary,
    violations,
)
from bench.fleet._orders import (
    AddressReassigned,
    HeldBytes,
    Order,
    RuleMove,
    ServerEnd,
)
from bench.fleet._sheet import CONTACT_S, MAX_ATTEMPTS, MAX_LATE_SENDS

from gentianwharf.platform.standin import Outage, Revoked, StoreOrder, StoreOrderReport

from .builders_fleet import (
    AGREEMENT,
    DEADLINE_MS,
    OTHER_SERVICE,
    arrival,
    crashed,
    repeated,
    run_at,
    sent,
    uploaded,
)

UNUSED_NET = 89
"""No store listens there."""

START_TIMEOUT_S = 30.0


@pytest.mark.parametrize(
    ("count", "is_broken"), [(260, False), (261, True)], ids=["allowed", "one-more"]
)
def test_repeats_are_bounded_by_the_requests_and_the_extra_ones(
    count: int, is_broken: bool
) -> None:
    assert bool(violations(repeated(count, at_s=1.0))) is is_broken


def test_repeats_count_at_the_service_that_gets_them() -> None:
    """Guards against repeats at an address that has passed on, which nobody counts."""
    (line,) = violations(repeated(209, at_s=1.0, service=OTHER_SERVICE))
    assert line.startswith(f"BUDGET: {OTHER_SERVICE} got 209 repeats")


def test_requests_that_run_on_too_many_servers_are_found() -> None:
    record = Record(agreement=AGREEMENT)
    for number in range(4):
        record.runs += [run_at(number, f"s-{run}") for run in range(MAX_ATTEMPTS + 1)]
    (line,) = violations(record)
    assert line == f"BUDGET: 4 requests ran on more than {MAX_ATTEMPTS} servers"


@pytest.mark.parametrize(
    ("deadline_ms", "count"),
    [
        pytest.param(DEADLINE_MS - 1_000, 0, id="what-is-left"),
        pytest.param(DEADLINE_MS, 1, id="as-long-again"),
        pytest.param(None, 1, id="none"),
    ],
)
def test_late_sends_with_more_time_than_is_left_are_found(
    deadline_ms: int | None, count: int
) -> None:
    record = Record(
        agreement=AGREEMENT, sent=[sent(1, at_s=0.0)], arrivals=[arrival(1, at_s=0.0)]
    )
    record.arrivals.append(arrival(1, at_s=1.0, deadline_ms=deadline_ms))
    assert long_deadlines(record).count == count


@pytest.mark.parametrize(
    ("arrived_s", "count"),
    [(9.0, 0), (8.5 + CONTACT_S, 1)],
    ids=["just-delivered", "later"],
)
def test_time_left_is_not_judged_of_what_a_link_has_held(
    arrived_s: float, count: int
) -> None:
    record = Record(
        agreement=AGREEMENT, sent=[sent(1, at_s=0.0)], arrivals=[arrival(1, at_s=0.0)]
    )
    record.arrivals.append(arrival(1, at_s=arrived_s))
    server = record.arrivals[0].server
    record.held.append(HeldBytes(server=server, delivered_at_s=8.5, pieces=1))
    assert long_deadlines(record).count == count


def test_partial_last_line_of_a_server_is_passed_over() -> None:
    record = Record(agreement=AGREEMENT)
    lines = [
        b"ready",
        b'{"server":"s","service":"seats","request_id":"r","arrived_s":1.0,'
        b'"deadline_ms":5}',
        b'{"server":"s","request_id":"r","shard":null,"begun_s":1.0,"ended_s":2.0,'
        b'"is_whole":true}',
        b'{"server":"s","request_id":"r","body_bytes":5,"received_bytes":5,'
        b'"has_ended":true,"changed_at_byte":null}',
        b'{"server":"s","requ',
    ]
    read_server_lines(lines, record)
    assert (len(record.arrivals), len(record.runs)) == (1, 1)
    assert len(record.bodies) == 1


@pytest.mark.parametrize(
    ("late_sends", "is_broken"),
    [(MAX_LATE_SENDS, False), (MAX_LATE_SENDS + 1, True)],
    ids=["allowed", "one-more"],
)
def test_late_sends_of_a_request_that_ends_its_servers_are_bounded(
    late_sends: int, is_broken: bool
) -> None:
    ends_s = (1.0, 2.0, 3.0)
    late_s = [3.2 + CONTACT_S + number for number in range(late_sends)]
    record = crashed(*ends_s, 3.1 + CONTACT_S, *late_s)
    found = crashes(record)
    assert found is not None
    assert (found.ended, found.late_sends) == (len(ends_s), late_sends)
    assert bool(violations(record)) is is_broken


def test_other_requests_that_are_refused_like_it_are_found() -> None:
    record = crashed(1.0)
    record.sent.append(sent(9, at_s=1.0, reason=f"{QUARANTINE_REASON} (suspected)"))
    assert violations(record) == ["DENIED: 1 requests refused as if they ended servers"]


def test_upload_of_which_a_part_is_missing_is_found() -> None:
    """Guards against bodies that end whole at a server and are shorter than sent."""
    record = uploaded(received_bytes=300)
    record.runs.append(run_at(1, "s"))
    assert violations(record) == [
        "UNASKED: request-1 at s got a body of 300 bytes for 500, and ran"
    ]


def test_end_of_an_upload_that_its_caller_left_is_found() -> None:
    (line,) = violations(uploaded(received_bytes=500, has_ended_body=False))
    assert line == (
        "UNASKED: request-1 at s got the end of a body of 500 bytes that its caller"
        " left"
    )


def test_whole_upload_is_allowed() -> None:
    record = uploaded(received_bytes=500)
    assert not violations(record)
    assert any(line.startswith("1 uploads, 0 not ended") for line in summary(record))


@pytest.mark.parametrize(
    ("order", "event"),
    [
        pytest.param(
            Order(reassigned_share=0.1),
            AddressReassigned(address="127.90.10.1:8400", reassigned_at_s=1.0),
            id="reassigned",
        ),
        pytest.param(
            Order(ended_share=0.1),
            ServerEnd(server="s", ended_at_s=1.0, by_request=False),
            id="ended",
        ),
        pytest.param(
            Order(held_share=0.1),
            HeldBytes(server="s", delivered_at_s=1.0, pieces=1),
            id="held",
        ),
    ],
)
def test_orders_without_an_effect_are_found(
    order: Order, event: AddressReassigned | HeldBytes | ServerEnd
) -> None:
    """Guards against a disruption that does nothing and passes for a borne one."""
    record = Record(agreement=AGREEMENT, orders=[order])
    assert missing_effects(record)
    read_server_lines([msgspec.json.encode(event)], record)
    assert not missing_effects(record)


@pytest.mark.parametrize(
    "order", [Order(moves_rule=True), Order(added_rules=9)], ids=["moved", "added"]
)
def test_rules_that_are_never_acknowledged_are_found(order: Order) -> None:
    """Guards against versions of the rules whose delay nobody has judged."""
    record = Record(agreement=AGREEMENT, orders=[order], begun_s=5.0)
    record.moves.append(RuleMove(moved=False, moved_at_s=4.0, version=2))
    assert missing_effects(record)
    record.moves.append(RuleMove(moved=True, moved_at_s=6.0, version=3))
    assert not missing_effects(record)


def test_orders_that_the_store_does_not_carry_out_are_found() -> None:
    """Guards against an outage that never began and passes for a borne one."""
    order = StoreOrder(outage=Outage.HANG)
    record = Record(agreement=AGREEMENT, store_orders=[order])
    assert missing_effects(record)
    record.store_reports.append(StoreOrderReport(order=order, carried_out_s=1.0))
    assert not missing_effects(record)


def test_revocations_without_an_effect_are_found() -> None:
    """Guards against leases that end early at no host that leads."""
    order = StoreOrder(revokes=Revoked.LEASES)
    record = Record(agreement=AGREEMENT, store_orders=[order])
    record.store_reports.append(StoreOrderReport(order=order, carried_out_s=1.0))
    assert missing_effects(record)
    record.store_reports[0].revoked_items = 1
    assert not missing_effects(record)


def test_server_process_that_fails_ends_with_an_error() -> None:
    """Guards against runs whose servers have carried out no order."""
    servers = subprocess.run(
        [
            sys.executable,
            "-m",
            "bench.fleet._servers",
            str(UNUSED_NET),
            "0",
            "1",
            "small",
        ],
        input=b"",
        capture_output=True,
        timeout=START_TIMEOUT_S,
        check=False,
    )
    assert servers.returncode == 1
    assert b"Traceback" in servers.stderr
