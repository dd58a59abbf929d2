"""Stored rules of other writers are applied, also beyond the limits of this release."""

import json
from collections.abc import Mapping
from typing import Any

import pytest
from pydantic import ValidationError
from twisted.internet.task import Clock

from gentianwharf.daemon._rules import RulesInForce
from gentianwharf.infra import VersionedValue
from gentianwharf.platform import decode_configuration
from gentianwharf.rules import (
    RuleChecker,
    RuleDocument,
    RuleSet,
    Severity,
)
from tests.builders_rules import SHARDS, document, facts, rule, scope, stored_rules
from tests.builders_users_platform import configuration, route

LONG_NAME = "n" * 200
PARTS = [{"service": f"part-{number}", "weight": 1} for number in range(40)]
DUPLICATE_SERVICE = [
    {"service": "seats", "weight": 1},
    {"service": "seats", "weight": 2},
]
ZERO_WEIGHTS = [{"service": "seats", "weight": 0}, {"service": "desk", "weight": 0}]


@pytest.mark.parametrize(
    ("name", "fields"),
    [
        pytest.param("odd", {"traffic-split": PARTS, "service": None}, id="40-parts"),
        pytest.param(
            "odd", {"traffic-split": DUPLICATE_SERVICE, "service": None}, id="twice"
        ),
        pytest.param(
            "odd", {"traffic-split": ZERO_WEIGHTS, "service": None}, id="nowhere"
        ),
        pytest.param(
            "odd", {"traffic-split": DUPLICATE_SERVICE, "service": "desk"}, id="other"
        ),
        pytest.param("odd", {"max-attempts": 17}, id="17-tries"),
        pytest.param("odd", {"timeout": "7200s"}, id="two-hours"),
        pytest.param("odd", {"target-latency": "7200s"}, id="late-target"),
        pytest.param("odd", {"priority": 1001}, id="low-priority"),
        pytest.param("odd", {"kind": "Safe reads"}, id="kind-in-words"),
        pytest.param("odd", {"prefix": "/séances/"}, id="prefix-in-french"),
        pytest.param("odd", {"prefix": "/" + "p" * 1100}, id="long-prefix"),
        pytest.param("odd", {"host": "h" * 300}, id="long-host"),
        pytest.param("odd", {"host": "schedule.example:8080"}, id="host-with-port"),
        pytest.param("odd", {"service": "Seats"}, id="service-in-capitals"),
        pytest.param("Odd route/1", {}, id="name-in-words"),
        pytest.param(LONG_NAME, {}, id="long-name"),
    ],
)
def test_route_beyond_a_limit_does_not_block_other_routes(
    name: str, fields: dict[str, Any]
) -> None:
    """After a change of some routes, callers of other routes get 404.

    The store accepts a configuration in which one route exceeds a limit of the host's
    rule model. Every host rejects this configuration and all later ones, and serves by
    older routes or, after a restart, by none. The limits are only for changes that
    operators apply, which can still be refused.
    """
    routes = {
        name: route(prefix="/odd/") | fields,
        "added": route(prefix="/added/", service="seats"),
    }
    decoded = decode_configuration(configuration(routes=routes))
    rules = RuleSet(document=decoded.document, revision=1, shards={})
    match = rules.match(facts("/added/1", host="schedule.example"))
    assert match is not None
    assert match.rule.name == "added"


THEN = {"service": "ledger"}
ODD_RULES = [
    ("name", {"name": "Odd rule", "then": THEN}),
    ("when.host", {"name": "odd", "when": {"host": "h:80"}, "then": THEN}),
    ("when.host", {"name": "odd", "when": {"host": "Desk.example"}, "then": THEN}),
    ("when.host", {"name": "odd", "when": {"host": ""}, "then": THEN}),
    ("when.host", {"name": "odd", "when": {"host": "h" * 254}, "then": THEN}),
    ("when.path_prefix", {"name": "odd", "when": {"path_prefix": "/é"}, "then": THEN}),
    ("when.methods", {"name": "odd", "when": {"methods": ["get"]}, "then": THEN}),
    ("when.methods", {"name": "odd", "when": {"methods": ["A"] * 17}, "then": THEN}),
    ("when.headers", {"name": "odd", "when": {"headers": {"X-A": "1"}}, "then": THEN}),
    (
        "when.headers",
        {"name": "odd", "when": {"headers": {"x-a": "1" * 1025}}, "then": THEN},
    ),
    (
        "when.headers",
        {
            "name": "odd",
            "when": {"headers": {f"x-{n}": "1" for n in range(17)}},
            "then": THEN,
        },
    ),
    ("when.key", {"name": "odd", "when": {"key": "k" * 513}, "then": THEN}),
    ("when.key", {"name": "odd", "when": {"key": ""}, "then": THEN}),
    (
        "when.key",
        {
            "name": "odd",
            "when": {"key": "7" * 5000},
            "then": {
                "service": "desk",
                "key": {"place": "header", "name": "shard", "is_shard": True},
            },
        },
    ),
    ("then.site", {"name": "odd", "then": {**THEN, "site": "Old"}}),
    ("then.request_class", {"name": "odd", "then": {**THEN, "request_class": "A b"}}),
    ("then.deadline_ms", {"name": "odd", "then": {**THEN, "deadline_ms": 3_600_001}}),
    ("then.most_tries", {"name": "odd", "then": {**THEN, "most_tries": 17}}),
    (
        "then.target_latency_ms",
        {"name": "odd", "then": {**THEN, "target_latency_ms": 3_600_001}},
    ),
    ("then.priority", {"name": "odd", "then": {**THEN, "priority": 1001}}),
    ("then.split", {"name": "odd", "then": {"service": "part-1", "split": PARTS}}),
    (
        "then.split",
        {"name": "odd", "then": {"service": "seats", "split": DUPLICATE_SERVICE}},
    ),
    (
        "then.split",
        {"name": "odd", "then": {"service": "seats", "split": ZERO_WEIGHTS}},
    ),
    ("then.split", {"name": "odd", "then": {**THEN, "split": ZERO_WEIGHTS}}),
    (
        "then.split",
        {
            "name": "odd",
            "then": {
                "service": "a",
                "split": [{"service": "a", "weight": 1}, {"service": "B", "weight": 1}],
            },
        },
    ),
]


def record(odd: Mapping[str, Any]) -> bytes:
    """Return a record in the store with the rule ``odd`` and another rule."""
    other = rule(name="added", when={"path_prefix": "/added/"})
    data = json.loads(stored_rules(document(other), number=2))
    data["document"]["rules"].insert(0, odd)
    return json.dumps(data).encode()


@pytest.mark.parametrize("odd", [odd for _, odd in ODD_RULES])
def test_record_of_another_release_is_applied(odd: dict[str, Any]) -> None:
    """Hosts of different releases permanently serve by different rules.

    A later release raises a limit and an operator makes use of it. Hosts of this
    release reject the whole record, although they can match each of its rules.
    """
    rules = RulesInForce(shards=SHARDS, now_s=Clock().seconds)
    rules.apply_value(VersionedValue(key="rules", value=record(odd), revision=6))
    assert rules.current is not None
    assert rules.current.revision == 6
    match = rules.match(facts("/added/1"))
    assert match is not None


@pytest.mark.parametrize(("location", "odd"), ODD_RULES)
def test_checker_refuses_values_beyond_limits(
    location: str, odd: dict[str, Any]
) -> None:
    findings = RuleChecker(scope=scope()).check(
        RuleDocument.model_validate({"rules": [odd]})
    )
    errors = {item.location for item in findings if item.severity is Severity.ERROR}
    assert any(error.startswith(f"rules.0.{location}") for error in errors), errors


@pytest.mark.parametrize(
    ("field", "odd"),
    [
        ("path_prefix", {"name": "odd", "when": {"path_prefix": "desk"}, "then": THEN}),
        ("priority", {"name": "odd", "then": {**THEN, "priority": -1}}),
        ("most_tries", {"name": "odd", "then": {**THEN, "most_tries": 0}}),
        ("season", {"name": "odd", "when": {"season": "winter"}, "then": THEN}),
    ],
)
def test_model_rejects_invalid_rules(field: str, odd: dict[str, Any]) -> None:
    with pytest.raises(ValidationError, match=field):
        RuleDocument.model_validate({"rules": [odd]})
