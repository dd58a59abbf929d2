"""Alarms: what raises each, and that passing states raise none."""

from dataclasses import replace
from typing import Any

import pytest

from gentianwharf.admin import (
    ALARMS,
    AlarmEvaluator,
    DaemonState,
    Measures,
    ServerStatus,
)
from tests.builders_admin import FakeDaemon, server_status

WELL = replace(FakeDaemon().state(), alarms=())
SERVERS = [server_status("desk-1"), server_status("desk-2")]


def raised(
    state: DaemonState, servers: list[ServerStatus], *, after_s: float
) -> dict[str, str]:
    watch = AlarmEvaluator()
    watch.update(state, servers, now_s=100.0)
    found = watch.update(state, servers, now_s=100.0 + after_s)
    return {one.name: one.detail for one in found.alarms}


def with_server(**changed: Any) -> list[ServerStatus]:
    return [SERVERS[0], replace(SERVERS[1], **changed)]


TABLE = [
    pytest.param("no-rules", {"rules_revision": None}, SERVERS, "no rules", id="rules"),
    pytest.param(
        "store-silent", {"store_heard_ago_s": 11.0}, SERVERS, "11 s", id="store"
    ),
    pytest.param(
        "store-silent", {"store_heard_ago_s": None}, SERVERS, "started", id="never"
    ),
    pytest.param("not-ready", {"ready": False}, SERVERS, "/readyz", id="not-ready"),
    pytest.param(
        "no-right-to-send",
        {"right_to_send": {"lac": False}},
        SERVERS,
        "lac",
        id="right",
    ),
    pytest.param(
        "no-control-holder",
        {"control_holders": {"desk": None}},
        SERVERS,
        "desk",
        id="holder",
    ),
    pytest.param(
        "server-suspect", {}, with_server(state="suspect"), "desk-2", id="suspect"
    ),
    pytest.param(
        "no-server",
        {},
        [replace(one, state="leaving", shards=0) for one in SERVERS],
        "desk",
        id="no-server",
    ),
    pytest.param(
        "leaving-owns-shards",
        {},
        with_server(state="leaving", shards=3),
        "desk-2",
        id="leaving",
    ),
    pytest.param(
        "imbalance",
        {
            "measures": Measures(
                window_s=60, imbalance={"desk": 1.8}, churn={}, unavailable_s={}
            )
        },
        SERVERS,
        "desk 1.80",
        id="imbalance",
    ),
]


@pytest.mark.parametrize(("name", "changed", "servers", "detail"), TABLE)
def test_alarm_is_raised_after_its_time_and_not_before(
    name: str, changed: dict[str, Any], servers: list[ServerStatus], detail: str
) -> None:
    state = replace(WELL, **changed)
    after_s = next(one.after_s for one in ALARMS if one.name == name)
    found = raised(state, servers, after_s=after_s)
    assert list(found) == [name]
    assert detail in found[name]
    assert raised(state, servers, after_s=after_s - 0.5) == {}


def test_every_alarm_has_a_case() -> None:
    assert {one.values[0] for one in TABLE} == {one.name for one in ALARMS}


def test_well_daemon_raises_nothing() -> None:
    assert raised(WELL, SERVERS, after_s=1000.0) == {}


def test_daemon_that_starts_raises_nothing_while_it_has_still_to_hear() -> None:
    """Each start of a daemon woke somebody: it has no rules for its first moments."""
    state = replace(WELL, rules_revision=None, store_heard_ago_s=None, ready=False)
    assert raised(state, SERVERS, after_s=4.0) == {}


def test_stop_raises_no_alarm_of_readiness() -> None:
    state = replace(WELL, ready=False, stopping=True)
    assert raised(state, SERVERS, after_s=1000.0) == {}


def test_interrupted_state_starts_anew() -> None:
    watch = AlarmEvaluator()
    unready = replace(WELL, ready=False)
    for now_s, state in [(0.0, unready), (9.0, WELL), (10.0, unready), (19.0, unready)]:
        assert watch.update(state, SERVERS, now_s=now_s).alarms == ()
    (alarm,) = watch.update(unready, SERVERS, now_s=20.0).alarms
    assert (alarm.name, alarm.since_s) == ("not-ready", 10.0)
