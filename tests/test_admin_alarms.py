"""Alarms: the condition of each alarm, and that transient states raise none."""

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

HEALTHY = replace(FakeDaemon().state(), alarms=())
SERVERS = [server_status("desk-1"), server_status("desk-2")]


def raised_alarms(
    state: DaemonState, servers: list[ServerStatus], *, after_s: float
) -> dict[str, str]:
    evaluator = AlarmEvaluator()
    evaluator.update(state, servers, now_s=100.0)
    evaluated = evaluator.update(state, servers, now_s=100.0 + after_s)
    return {alarm.name: alarm.detail for alarm in evaluated.alarms}


def with_server(**changed: Any) -> list[ServerStatus]:
    return [SERVERS[0], replace(SERVERS[1], **changed)]


CASES = [
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
        [replace(server, state="leaving", shards=0) for server in SERVERS],
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


@pytest.mark.parametrize(("name", "changed", "servers", "detail"), CASES)
def test_alarm_is_raised_after_its_delay_and_not_before(
    name: str, changed: dict[str, Any], servers: list[ServerStatus], detail: str
) -> None:
    state = replace(HEALTHY, **changed)
    after_s = next(rule.after_s for rule in ALARMS if rule.name == name)
    alarms = raised_alarms(state, servers, after_s=after_s)
    assert list(alarms) == [name]
    assert detail in alarms[name]
    assert raised_alarms(state, servers, after_s=after_s - 0.5) == {}


def test_every_alarm_has_a_case() -> None:
    assert {case.values[0] for case in CASES} == {rule.name for rule in ALARMS}


def test_healthy_daemon_raises_no_alarm() -> None:
    assert raised_alarms(HEALTHY, SERVERS, after_s=1000.0) == {}


def test_starting_daemon_raises_no_alarm_at_once() -> None:
    """Guards against a page to the operator at each start, before the rules arrive."""
    state = replace(HEALTHY, rules_revision=None, store_heard_ago_s=None, ready=False)
    assert raised_alarms(state, SERVERS, after_s=4.0) == {}


def test_stopping_daemon_raises_no_not_ready_alarm() -> None:
    state = replace(HEALTHY, ready=False, stopping=True)
    assert raised_alarms(state, SERVERS, after_s=1000.0) == {}


def test_interrupted_condition_restarts_its_delay() -> None:
    evaluator = AlarmEvaluator()
    unready = replace(HEALTHY, ready=False)
    for now_s, state in [
        (0.0, unready),
        (9.0, HEALTHY),
        (10.0, unready),
        (19.0, unready),
    ]:
        assert evaluator.update(state, SERVERS, now_s=now_s).alarms == ()
    (alarm,) = evaluator.update(unready, SERVERS, now_s=20.0).alarms
    assert (alarm.name, alarm.since_s) == ("not-ready", 10.0)
