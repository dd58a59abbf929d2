"""The operators' rules on one host: which are in force, refused or reported."""

import json
from typing import Any

import logbook
import pytest
from twisted.internet.task import Clock

from gentianwharf.entryhost import EntryHost
from gentianwharf.entryhost._answer_log import AnswerLog
from gentianwharf.entryhost._metrics import HostMetrics
from gentianwharf.entryhost._rules import RulesInForce
from gentianwharf.platform import CONFIG_KEY, Configuration, decode_host_settings
from gentianwharf.relay import Problem, RunStatus
from gentianwharf.rules import RequestFacts
from gentianwharf.store import Item
from tests.builders_users_platform import SETTINGS, configuration, route


def item(value: bytes, *, revision: int = 1) -> Item:
    return Item(key=CONFIG_KEY, value=value, revision=revision, lease_id=0)


MAX_VALUE_BYTES = 1_048_576
"""Maximum size of a value in the users' store, the only limit on a configuration."""


def many_routes(count: int) -> bytes:
    routes = {
        f"r-{number}": route(prefix=f"/part{number}/", service="seats")
        for number in range(count)
    }
    return configuration(version="r11", routes=routes)


@pytest.mark.parametrize("count", [500, 501, 819, 4_800])
def test_as_many_rules_as_the_store_accepts_are_in_force(count: int) -> None:
    """Guards against a limit on the number of rules that the store does not have.

    Operators added 400 rules, and the store acknowledged the change. All twelve hosts
    refused it and all later versions: "Tuple should have at most 500 items after
    validation, not 819". Callers of the new rules received 404, and restarted hosts had
    no rules at all. The limit was meant for the check of a change, where it can be
    refused.
    """
    value = many_routes(count)
    assert len(value) <= MAX_VALUE_BYTES
    rules = RulesInForce(now_s=Clock().seconds)
    rules.note_item(item(configuration(version="r8")))
    rules.note_item(item(value, revision=2))
    assert rules.version == 11
    match = rules.match(facts(f"/part{count - 1}/1"))
    assert match is not None
    assert match.rule.name == f"r-{count - 1}"


def test_refused_configuration_is_reported_until_another_is_applied() -> None:
    """Guards against a host that serves by old rules without reporting it.

    Its metrics were those of a host that has not received a change, and for a minute
    operators could not see that their rules were not in force.
    """
    clock = Clock()
    rules = RulesInForce(now_s=clock.seconds)
    rules.note_item(item(configuration(version="r7")))
    assert rules.refused_s() == 0.0
    with logbook.TestHandler() as handler:
        rules.note_item(item(b"{}", revision=2))
    line = handler.records[0].extra
    clock.advance(3.0)
    rules.note_item(item(b"{", revision=3))
    assert rules.refused_s() == 3.0
    assert (line["version"], line["revision"]) == (7, 2)
    rules.note_item(item(configuration(version="r8"), revision=4))
    assert (rules.version, rules.refused_s()) == (8, 0.0)


def test_error_while_applying_rules_is_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a host that reports rules as in force after an error."""
    clock = Clock()
    rules = RulesInForce(now_s=clock.seconds)

    def fail_to_apply(configuration: Configuration) -> None:
        raise KeyError("seats")

    monkeypatch.setattr(rules, "on_change", fail_to_apply)
    with pytest.raises(KeyError):
        rules.note_item(item(configuration()))
    clock.advance(2.0)
    assert rules.refused_s() == 2.0


def test_refusal_without_a_matching_rule_logs_request_and_version() -> None:
    """Guards against a 404 whose log line has neither the path nor the version.

    A wrong rule, a rule that is not in force yet and a wrong address look the same
    then.
    """
    observer = AnswerLog(
        metrics=HostMetrics(), rules_version=lambda: 8, view_age_s=lambda: 1.5
    )
    problem = Problem(
        status=404, title="no rule matches", run=RunStatus.NOT_RUN, detail="GET desk/a/"
    )
    with logbook.TestHandler() as handler:
        observer.record_refusal("a1", problem)
    line = handler.records[0].extra
    assert (line["detail"], line["version"]) == ("GET desk/a/", 8)


def facts(path: str) -> RequestFacts:
    return RequestFacts(method="GET", host="schedule.example", path=path, headers={})


@pytest.mark.parametrize(
    ("unreadable", "services", "unread"),
    [
        pytest.param(route(timeout="soon"), {}, 1, id="time"),
        pytest.param(route(timeout="9" * 400 + "s"), {}, 1, id="time-without-end"),
        pytest.param(route(timeout="0ms"), {}, 1, id="no-time"),
        pytest.param(route(priority="high"), {}, 1, id="type"),
        pytest.param(route(kind=None), {}, 1, id="field-missing"),
        pytest.param(route(service=None), {}, 1, id="nowhere"),
        pytest.param(route(service="unheard-of"), {}, 1, id="service-not-listed"),
        pytest.param(route(service="odd"), {"odd": {"sharded": 7}}, 2, id="service"),
    ],
)
def test_unreadable_rule_does_not_block_other_rules(
    unreadable: dict[str, Any], services: dict[str, Any], unread: int
) -> None:
    """Guards against one unreadable rule that keeps all other rules from being used.

    A host of an older release receives a rule with an unknown field. It refused the
    whole version and kept the former one, and had no rules after a restart. Requests
    that match the rule must neither fall through to a wider rule, and so to another
    service, nor be refused permanently.
    """
    usual = json.loads(configuration())["services"]
    value = configuration(
        version="r8",
        routes={
            "wide": route(prefix="/", service="seats"),
            "new": route(prefix="/new/", service="seats"),
            "odd": unreadable | {"prefix": "/odd/"},
        },
        services=usual | services,
    )
    rules = RulesInForce(now_s=Clock().seconds)
    rules.note_item(item(configuration(version="r7")))
    with logbook.TestHandler() as handler:
        rules.note_item(item(value, revision=2))
    assert (rules.version, rules.unread()) == (8, unread)
    assert any("routes.odd" in (record.message or "") for record in handler.records)
    match = rules.match(facts("/new/1"))
    assert match is not None
    assert match.rule.name == "new"
    with pytest.raises(Problem) as caught:
        rules.match(facts("/odd/1"))
    problem = caught.value
    assert (problem.status, problem.run) == (503, RunStatus.NOT_RUN)
    assert problem.retry_after_s is not None
    corrected = configuration(version="r9", routes={"odd": route(prefix="/odd/")})
    rules.note_item(item(corrected, revision=3))
    assert rules.unread() == 0
    match = rules.match(facts("/odd/1"))
    assert match is not None
    assert match.rule.name == "odd"


def test_unreadable_limits_do_not_block_rules() -> None:
    """Guards against limits in an unknown form that keep new rules from being used."""
    rules = RulesInForce(now_s=Clock().seconds)
    rules.note_item(item(configuration(version="r7", limits={})))
    assert (rules.version, rules.unread()) == (7, 1)
    assert rules.configuration is not None
    assert rules.configuration.limits is None


def test_unreadable_limits_leave_the_current_ones_in_force() -> None:
    """Guards against cutting off callers while operators correct a misspelled limit."""
    clock: Any = Clock()
    host = EntryHost(
        settings=decode_host_settings(SETTINGS, peer="test"), reactor=clock
    )
    host._coordinator.rules.note_item(item(configuration(version="r7")))
    limits = host._site.limits
    assert limits.idle_timeout_s == 15.0
    unread = item(configuration(version="r8", limits={}), revision=2)
    host._coordinator.rules.note_item(unread)
    assert host._coordinator.rules.version == 8
    assert host._site.limits is limits


@pytest.mark.parametrize("warm_up", ["1m", 3, None])
def test_unreadable_warm_up_leaves_its_service_in_force(warm_up: Any) -> None:
    """Guards against refusing a service for an invalid time that is only for moves."""
    services = json.loads(configuration())["services"]
    services["calendar"]["warm-up"] = warm_up
    rules = RulesInForce(now_s=Clock().seconds)
    rules.note_item(item(configuration(version="r7", services=services)))
    assert (rules.version, rules.unread()) == (7, 1)
    assert rules.match(facts("/visits/1")) is not None


def test_rule_without_a_prefix_is_refused_with_its_version() -> None:
    """Guards against requests sent to a wrong service.

    Without a prefix it is unknown which requests the rule is for.
    """
    rules = RulesInForce(now_s=Clock().seconds)
    rules.note_item(item(configuration(version="r7")))
    routes = {"odd": route(prefix=None), "new": route(prefix="/new/")}
    rules.note_item(item(configuration(version="r8", routes=routes), revision=2))
    assert rules.version == 7
