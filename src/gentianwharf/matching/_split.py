"""Which service of a rule's split a request goes to."""

from typing import final

from ._facts import RuleMatch


@final
class Splitter:
    """Deals each rule's requests out by the weights of its split.

    Smooth weighted round robin: whoever is furthest behind its weight is next. Over
    any run of requests each service's part differs from its weight by less than one
    request, while random choice would be off by several in a hundred. Each host deals
    out its own requests; their sum is as even as each part.

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
        self._behind: dict[str, dict[str, float]] = {}

    def choose_service(self, match: RuleMatch) -> str:
        """Return the service that the next request of this rule goes to."""
        split = match.rule.then.split
        if not split:
            return match.service
        behind = self._behind.setdefault(match.rule.name, {})
        if behind.keys() != {part.service for part in split}:
            behind.clear()
        total = 0.0
        for part in split:
            total += part.weight
            behind[part.service] = behind.get(part.service, 0.0) + part.weight
        chosen = max(split, key=lambda part: behind[part.service])
        behind[chosen.service] -= total
        return chosen.service

    def retain_rules(self, names: frozenset[str]) -> None:
        """Forget the rules that are gone, so that the table stays bounded."""
        for name in self._behind.keys() - names:
            del self._behind[name]
