"""When hosts of a fleet must have versions of the rules in force."""

from math import inf

import pytest
from bench.fleet._judge import Record, summary, violations
from bench.fleet._orders import RuleMove
from bench.fleet._rules_in_force import (
    HostRules,
    Span,
    due_s,
    read_host_lines,
    store_outages_s,
)

from gentianwharf.platform.standin import Outage, StoreOrder, StoreOrderReport

from .builders_fleet import AGREEMENT

ACKNOWLEDGED_S = 10.0


def record_of(*hosts: HostRules, store_pauses_s: tuple[Span, ...] = ()) -> Record:
    """Return a record with a version 5 that was acknowledged."""
    move = RuleMove(moved=True, moved_at_s=ACKNOWLEDGED_S, version=5)
    return Record(
        agreement=AGREEMENT,
        moves=[move],
        hosts=list(hosts),
        store_pauses_s=list(store_pauses_s),
    )


def host_with(version: int, *, at_s: float, name: str = "host-0") -> HostRules:
    return HostRules(name=name, in_force=[(1.0, 4), (at_s, version)])


@pytest.mark.parametrize(
    ("troubles_s", "expected_s"),
    [
        pytest.param([], 12.0, id="none"),
        pytest.param([(2.0, 8.9)], 12.0, id="long-over"),
        pytest.param([(2.0, 9.8)], 12.8, id="over-shortly-before"),
        pytest.param([(11.0, 14.0)], 17.0, id="begins-before-the-bound"),
        pytest.param([(12.1, 14.0)], 12.0, id="begins-after-the-bound"),
        pytest.param([(2.0, 9.8), (12.5, 13.0)], 16.0, id="begins-before-in-touch"),
        pytest.param([(11.0, inf)], inf, id="lasts"),
    ],
)
def test_hosts_are_due_once_they_are_in_touch(
    troubles_s: list[Span], expected_s: float
) -> None:
    assert due_s(ACKNOWLEDGED_S, troubles_s) == pytest.approx(expected_s)


def test_host_in_touch_that_is_late_is_found() -> None:
    """Guards against figures of delays that nobody compares with what is promised."""
    record = record_of(host_with(5, at_s=12.0), host_with(5, at_s=12.4, name="host-1"))
    (line,) = violations(record)
    assert line == (
        "CONFIG: version 5, acknowledged at 10.000 s, was late on 1 hosts in touch,"
        " most on host-1, by 0.400 s more than 2.0 s"
    )
    assert summary(record)[-1] == (
        "version 5, acknowledged at 10.000 s: in force after 2.200 s at the median"
        " host, 2.400 s at the last"
    )


def test_host_that_never_has_a_version_is_late() -> None:
    (line,) = violations(record_of(host_with(4, at_s=11.0)))
    assert "by inf s" in line


def test_newer_version_stands_for_an_older_one() -> None:
    assert not violations(record_of(host_with(7, at_s=11.0)))


def test_host_that_knew_a_version_before_its_acknowledgement_has_no_delay() -> None:
    (delay_s,) = [
        host.in_force_s(5, from_s=ACKNOWLEDGED_S) - ACKNOWLEDGED_S
        for host in [host_with(5, at_s=9.9)]
    ]
    assert delay_s == 0.0


def test_paused_store_excuses_hosts_until_they_are_in_touch() -> None:
    host = host_with(5, at_s=13.9)
    assert not violations(record_of(host, store_pauses_s=((9.0, 11.0),)))
    assert violations(record_of(host, store_pauses_s=((8.0, 10.5),)))


def test_restart_is_a_trouble_until_the_next_start() -> None:
    host = host_with(5, at_s=18.0)
    host.started_s += [0.5, 15.2]
    assert violations(record_of(host))
    host.add_restart(11.0)
    assert host.downtimes_s == [(11.0, 15.2)]
    assert not violations(record_of(host))


def test_versions_before_the_callers_are_not_judged() -> None:
    record = record_of(host_with(4, at_s=11.0))
    record.begun_s = ACKNOWLEDGED_S + 0.1
    assert not violations(record)


def test_lines_of_a_host_are_read_on_the_clock_of_the_others() -> None:
    lines = [
        b'{"at":"1970-01-01T00:01:40.500+00:00","message":"started"}',
        b"Traceback",
        b'{"at":"1970-01-01T00:01:41.250+00:00","message":"configuration in force",'
        b'"version":3,"revision":9}',
    ]
    rules = read_host_lines("host-0", lines, clock_offset_s=100.0)
    assert rules.started_s == [0.5]
    assert rules.in_force == [(1.25, 3)]


def test_outages_last_until_the_store_ends_them() -> None:
    orders = [
        (1.0, StoreOrder(outage=Outage.HANG)),
        (2.0, StoreOrder(drops_history=True)),
        (3.0, StoreOrder(outage=Outage.NONE)),
        (4.0, StoreOrder(outage=Outage.NONE)),
        (5.0, StoreOrder(outage=Outage.REFUSE)),
    ]
    reports = [
        StoreOrderReport(order=order, carried_out_s=at_s) for at_s, order in orders
    ]
    assert store_outages_s(reports) == [(1.0, 3.0), (5.0, inf)]


def test_outages_of_single_hosts_are_theirs() -> None:
    """Guards against rules that may be late on all hosts since one is turned away."""
    orders = [
        (1.0, StoreOrder(outage=Outage.REFUSE, addresses=("a",))),
        (2.0, StoreOrder(outage=Outage.HANG)),
        (3.0, StoreOrder(outage=Outage.NONE, addresses=("a", "b"))),
        (4.0, StoreOrder(outage=Outage.NONE)),
    ]
    reports = [
        StoreOrderReport(order=order, carried_out_s=at_s) for at_s, order in orders
    ]
    assert store_outages_s(reports) == [(2.0, 4.0)]
    assert store_outages_s(reports, "a") == [(1.0, 3.0)]
    assert not store_outages_s(reports, "b")
