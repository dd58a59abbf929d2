"""An index of rules by host and path prefix that keeps their order."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from operator import attrgetter
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
        by_host: dict[str | None, list[CompiledRule]] = defaultdict(list)
        for one in rules:
            by_host[one.host].append(one)
        self._any_host = _PrefixIndex(by_host.pop(None, ()))
        self._hosts = {host: _PrefixIndex(own) for host, own in by_host.items()}

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
    """The rules for one longest prefix, put together when a path first has it.

    Put together for each prefix at once, rules that fit every path would be copied for
    each: half of 4,800 rules without a prefix held a host for 0.7 s when it took them.
    """

    __slots__ = ("_parent", "_rules", "_steps", "own")

    def __init__(
        self, *, own: Sequence[CompiledRule], parent: "_Entry | None" = None
    ) -> None:
        self.own = own
        self._parent = parent
        self._rules: tuple[CompiledRule, ...] | None = None
        self._steps: tuple[Step, ...] | None = None

    @property
    def rules(self) -> tuple[CompiledRule, ...]:
        """The rules of this prefix and of those that begin it, in document order."""
        if self._rules is None:
            self._rules = _in_order(self._chain())
        return self._rules

    @property
    def steps(self) -> tuple[Step, ...]:
        if self._steps is None:
            self._steps = tuple(gather_runs(self.rules))
        return self._steps

    def _chain(self) -> list["_Entry"]:
        # A loop: prefixes may be nested deeper than calls.
        chain = [self]
        while chain[-1]._parent is not None:
            chain.append(chain[-1]._parent)
        return chain


class _PrefixIndex:
    """The rules that fit the longest known prefix of a path.

    The prefixes of one path are prefixes of each other, so the longest of them
    settles the whole list. In sorted order it is the entry at or before the path, or
    one of that entry's own prefixes.
    """

    def __init__(self, rules: Iterable[CompiledRule]) -> None:
        by_prefix: dict[str, list[CompiledRule]] = {"": []}
        for one in rules:
            by_prefix.setdefault(one.path_prefix, []).append(one)
        self._prefixes = sorted(by_prefix)
        self._parents = _parents(self._prefixes)
        self._entries: list[_Entry] = []
        for prefix, number in zip(self._prefixes, self._parents, strict=True):
            parent = self._entries[number] if prefix else None
            self._entries.append(_Entry(own=by_prefix[prefix], parent=parent))

    def find(self, path: str) -> _Entry:
        number = bisect_right(self._prefixes, path) - 1
        while not path.startswith(self._prefixes[number]):
            number = self._parents[number]
        return self._entries[number]


def _parents(prefixes: Sequence[str]) -> list[int]:
    """Return for each prefix the number of the longest other one that begins it.

    In sorted order all that begin with a prefix follow it at once, so that the ones
    still open stand in a stack and each is compared a few times, however long the list
    is: 4,800 rules of one host take 0.02 s on a core, and 9 s where each prefix is
    compared with every other one (``bench/rules.py``).
    """
    parents = []
    open_numbers = [0]
    for number, prefix in enumerate(prefixes):
        while not prefix.startswith(prefixes[open_numbers[-1]]):
            open_numbers.pop()
        parents.append(open_numbers[-1])
        open_numbers.append(number)
    return parents


def _in_order(entries: Iterable[_Entry]) -> tuple[CompiledRule, ...]:
    rules = [one for entry in entries for one in entry.own]
    return tuple(sorted(rules, key=attrgetter("number")))
