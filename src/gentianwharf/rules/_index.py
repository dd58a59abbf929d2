"""An index of rules by host and path prefix that keeps their order."""

from bisect import bisect_right
from collections.abc import Iterable, Iterator, Sequence
from typing import final

from ._compile import CompiledRule
from ._runs import Step, gather_runs


@final
class RuleIndex:
    """Finds the rules whose host and path prefix fit a request, in their order.

    Few of many rules fit one request's host and path. Comparing only these makes
    the cost of a match independent of how many services the document covers.
    """

    def __init__(self, rules: Sequence[CompiledRule]) -> None:
        self._any_host = _PrefixIndex(one for one in rules if one.host is None)
        hosts = {one.host for one in rules if one.host is not None}
        self._hosts = {
            host: _PrefixIndex(one for one in rules if one.host == host)
            for host in hosts
        }

    def steps(self, host: str, path: str) -> Iterable[Step]:
        """Return what to test, in document order, with runs put together.

        Rules for one host between those for any are not put together: a run may
        have one of them in its middle.
        """
        general = self._any_host.find(path)
        own_index = self._hosts.get(host)
        if own_index is None:
            return general.steps
        own = own_index.find(path)
        if not own.rules:
            return general.steps
        if not general.rules:
            return own.steps
        return _merge(own.rules, general.rules)

    def candidates(self, host: str | None, path: str) -> Iterable[CompiledRule]:
        """Return the rules whose host and path prefix fit, in document order."""
        general = self._any_host.find(path).rules
        if host is None or host not in self._hosts:
            return general
        return _merge(self._hosts[host].find(path).rules, general)


def _merge(
    left: Sequence[CompiledRule], right: Sequence[CompiledRule]
) -> Iterator[CompiledRule]:
    position = 0
    for rule in left:
        while position < len(right) and right[position].number < rule.number:
            yield right[position]
            position += 1
        yield rule
    yield from right[position:]


class _Entry:
    """The rules for one longest prefix; steps are gathered when first asked for."""

    __slots__ = ("_steps", "rules")

    def __init__(self, rules: tuple[CompiledRule, ...]) -> None:
        self.rules = rules
        self._steps: tuple[Step, ...] | None = None

    @property
    def steps(self) -> tuple[Step, ...]:
        if self._steps is None:
            self._steps = tuple(gather_runs(self.rules))
        return self._steps


class _PrefixIndex:
    """The rules that fit the longest known prefix of a path.

    The prefixes of one path are prefixes of each other, so the longest of them
    settles the whole list. In sorted order it is the entry at or before the path, or
    one of that entry's own prefixes.
    """

    def __init__(self, rules: Iterable[CompiledRule]) -> None:
        kept = tuple(rules)
        self._prefixes = sorted({"", *(one.path_prefix for one in kept)})
        self._parents = [self._parent(number) for number in range(len(self._prefixes))]
        self._entries = [
            _Entry(tuple(one for one in kept if prefix.startswith(one.path_prefix)))
            for prefix in self._prefixes
        ]

    def _parent(self, number: int) -> int:
        prefix = self._prefixes[number]
        for earlier in range(number - 1, -1, -1):
            if prefix.startswith(self._prefixes[earlier]):
                return earlier
        return 0

    def find(self, path: str) -> _Entry:
        number = bisect_right(self._prefixes, path) - 1
        while not path.startswith(self._prefixes[number]):
            number = self._parents[number]
        return self._entries[number]
