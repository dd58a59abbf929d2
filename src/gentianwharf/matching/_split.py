"""Selects a service of a rule's traffic split for each request."""

from typing import final

from ._facts import RuleMatch


@final
class Splitter:
    """Distributes the requests of each rule by the weights of its split.

    Uses smooth weighted round robin: the service with the largest deficit against its
    weight is next. In any sequence of requests, the count of each service differs from
    its weight by less than one request, while random choice would be off by several in
    a hundred. Each host distributes its own requests, so the total is as even as each
    host's part.

    >>> from ._rule import DecodedCondition, DecodedRule, DecodedShare, DecodedTarget
    >>> parts = (DecodedShare(service="old", weight=3),
    ...          DecodedShare(service="new", weight=1))
    >>> rule = DecodedRule(name="moving", when=DecodedCondition(),
    ...                    then=DecodedTarget(service="old", split=parts))
    >>> match = RuleMatch(number=1, rule=rule, service="old", site=None,
    ...                   request_class="x", key=None, shard=None, repeatable=True)
    >>> splitter = Splitter()
    >>> [splitter.choose_service(match) for _ in range(4)]
    ['old', 'old', 'new', 'old']
    """

    def __init__(self) -> None:
        self._deficits: dict[str, dict[str, float]] = {}

    def choose_service(self, match: RuleMatch) -> str:
        """Return the service that the next request of this rule goes to."""
        split = match.rule.then.split
        if not split:
            return match.service
        deficits = self._deficits.setdefault(match.rule.name, {})
        if deficits.keys() != {part.service for part in split}:
            deficits.clear()
        total = 0.0
        for part in split:
            total += part.weight
            deficits[part.service] = deficits.get(part.service, 0.0) + part.weight
        chosen = max(split, key=lambda part: deficits[part.service])
        deficits[chosen.service] -= total
        return chosen.service

    def retain_rules(self, names: frozenset[str]) -> None:
        """Discard the state of rules not in ``names``, to bound memory use."""
        for name in self._deficits.keys() - names:
            del self._deficits[name]
