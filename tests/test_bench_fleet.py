"""How the runs of a fleet are judged."""

import pytest
from bench.fleet._judge import Record, long_deadlines, read_server_lines, violations
from bench.fleet._sheet import AGREEMENT, MAX_ATTEMPTS

from .builders_fleet import (
    DEADLINE_MS,
    OTHER_SERVICE,
    arrival,
    repeated,
    run_at,
    sent,
)


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


def test_partial_last_line_of_a_server_is_passed_over() -> None:
    record = Record(agreement=AGREEMENT)
    lines = [
        b"ready",
        b'{"server":"s","service":"seats","request_id":"r","arrived_s":1.0,'
        b'"deadline_ms":5}',
        b'{"server":"s","request_id":"r","shard":null,"begun_s":1.0,"ended_s":2.0,'
        b'"is_whole":true}',
        b'{"server":"s","requ',
    ]
    read_server_lines(lines, record)
    assert (len(record.arrivals), len(record.runs)) == (1, 1)
