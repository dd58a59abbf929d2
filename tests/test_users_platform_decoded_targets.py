"""Targets of routes that are reused in later versions of the configuration."""

import json
from random import Random
from typing import Any

import pytest

from gentianwharf.errors import InputError
from gentianwharf.platform import DecodedTargets, decode_configuration
from tests.builders_users_platform import configuration, route

SERVICES = {
    name: {"max-connections": 130, "sharded": sharded}
    for name, sharded in [("calendar", True), ("seats", False)]
}


def changed(routes: dict[str, dict[str, Any]], rng: Random) -> None:
    """Add, change, rename, break or remove a route."""
    name = f"r{rng.randrange(12)}"
    fields = {
        "prefix": f"/p{rng.randrange(4)}/",
        "service": rng.choice(["calendar", "seats", "unknown"]),
        "kind": rng.choice(["safe", "write"]),
        "priority": rng.choice([0, 1, -1]),
        "target-latency": rng.choice(["300ms", "100ms", "never"]),
    }
    if rng.random() < 0.3:
        routes.pop(name, None)
    else:
        routes[name] = route(**fields)


@pytest.mark.parametrize("seed", range(20))
def test_reuse_changes_no_decoded_configuration(seed: int) -> None:
    """Guards against a route that is matched as in an earlier version."""
    rng, targets = Random(seed), DecodedTargets()
    routes: dict[str, dict[str, Any]] = {}
    for _ in range(60):
        changed(routes, rng)
        services = json.loads(json.dumps(SERVICES))
        if rng.random() < 0.3:
            services["seats"]["sharded"] = True
        if rng.random() < 0.2:
            del services["calendar"]
        if rng.random() < 0.1:
            with pytest.raises(InputError):
                decode_configuration(b"{}", targets=targets)
        value = configuration(routes=routes, services=services)
        assert decode_configuration(value, targets=targets) == decode_configuration(
            value
        )


def test_unchanged_routes_are_not_decoded_again() -> None:
    """Guards against hosts that are busy with a long list at each small change."""
    targets = DecodedTargets()
    routes = {f"r{number}": route(prefix=f"/{number}/") for number in range(50)}
    first = decode_configuration(configuration(routes=routes), targets=targets)
    routes["r7"] = route(prefix="/7/", priority=1)
    second = decode_configuration(configuration(routes=routes), targets=targets)
    known = {rule.name: rule.then for rule in first.document.rules}
    again = [
        rule.name for rule in second.document.rules if rule.then is not known[rule.name]
    ]
    assert again == ["r7"]
