"""Which services the operators' configuration makes dispatched ones.

Dispatchers decide whose request comes first. They are of use where requests of several
priorities compete for the same servers, and where there are so many hosts that one host
knows only a small part of a server's requests. Operators ask for them by giving some
route the highest priority; without such a route, each host weighs priorities alone.
"""

from collections.abc import Iterator

from gentianwharf.dispatch import MIN_DISPATCHED_HOSTS
from gentianwharf.matching import DecodedTarget
from gentianwharf.platform import Configuration

HIGHEST_PRIORITY = 0

MIN_PRIORITIES = 2

MIN_SHARE = 0.5
"""Part of a route's traffic from which the route counts towards a service. A service
that gets less, such as the new version in a trial, is used by few requests."""


def dispatched_services(
    configuration: Configuration, *, host_count: int
) -> frozenset[str]:
    """Return the names of the services whose slots dispatchers grant."""
    rules = configuration.document.rules
    is_wanted = any(rule.then.priority == HIGHEST_PRIORITY for rule in rules)
    if host_count < MIN_DISPATCHED_HOSTS or not is_wanted:
        return frozenset()
    priorities: dict[str, set[int]] = {name: set() for name in configuration.services}
    for rule in rules:
        if rule.name in configuration.unread_rules:
            continue
        for service in _main_services(rule.then):
            if service in priorities:
                priorities[service].add(rule.then.priority)
    return frozenset(
        name for name, ranks in priorities.items() if len(ranks) >= MIN_PRIORITIES
    )


def _main_services(target: DecodedTarget) -> Iterator[str]:
    """Yield the services that get at least ``MIN_SHARE`` of a route's traffic."""
    if not target.split:
        yield target.service
        return
    weights: dict[str, float] = {}
    for part in target.split:
        weights[part.service] = weights.get(part.service, 0.0) + part.weight
    total = sum(weights.values())
    if not total:
        # The traffic then goes to the first service.
        yield target.split[0].service
        return
    for service, weight in weights.items():
        if weight >= total * MIN_SHARE:
            yield service
