"""An index of rules by host and path prefix that preserves document order."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from operator import attrgetter
from typing import final

from ._compile import CompiledRule
from ._runs import Step, gather_runs


@final
class RuleIndex:
    """Finds the rules whose host and path prefix match a request.

    Only a few rules of a large document match the host and path of one request. As only
    these are tested, the cost of a match does not depend on the number of services in
    the document.
    """

    def __init__(self, rules: Sequence[CompiledRule]) -> None:
        by_host: dict[str | None, list[CompiledRule]] = defaultdict(list)
        for rule in rules:
            by_host[rule.host].append(rule)
        self._any_host = _PrefixIndex(by_host.pop(None, ()))
        self._hosts = {host: _PrefixIndex(group) for host, group in by_host.items()}

    def steps(self, host: str, path: str) -> Iterable[Step]:
        """Return the rules to test in document order, with runs grouped.

        Runs are not grouped if both rules for this host and rules for any host match:
        a rule of one kind may be in the middle of a run of the other kind.
        """
        any_host = self._any_host.find(path)
        host_index = self._hosts.get(host)
        if host_index is None:
            return any_host.steps
        same_host = host_index.find(path)
        if not same_host.rules:
            return any_host.steps
        if not any_host.rules:
            return same_host.steps
        return _merge(same_host.rules, any_host.rules)

    def candidates(self, host: str | None, path: str) -> Iterable[CompiledRule]:
        """Return the rules whose host and path prefix match, in document order."""
        any_host = self._any_host.find(path).rules
        if host is None or host not in self._hosts:
            return any_host
        return _merge(self._hosts[host].find(path).rules, any_host)


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
    """The rules for paths whose longest known prefix is this one.

    The list of rules is built when a path with this prefix is first matched. Building
    all lists up front copies rules without a prefix into each of them: with 4,800
    rules, half of them without a prefix, that blocked a host for 0.7 s.
    """

    __slots__ = ("_parent", "_rules", "_steps", "own_rules")

    def __init__(
        self, *, own_rules: Sequence[CompiledRule], parent: "_Entry | None" = None
    ) -> None:
        self.own_rules = own_rules
        self._parent = parent
        self._rules: tuple[CompiledRule, ...] | None = None
        self._steps: tuple[Step, ...] | None = None

    @property
    def rules(self) -> tuple[CompiledRule, ...]:
        """The rules of this prefix and of its own prefixes, in document order."""
        if self._rules is None:
            self._rules = _in_order(self._chain())
        return self._rules

    @property
    def steps(self) -> tuple[Step, ...]:
        if self._steps is None:
            self._steps = tuple(gather_runs(self.rules))
        return self._steps

    def _chain(self) -> list["_Entry"]:
        # Iterative, since prefixes can be nested deeper than the recursion limit.
        chain = [self]
        while chain[-1]._parent is not None:
            chain.append(chain[-1]._parent)
        return chain


class _PrefixIndex:
    """Finds the entry for the longest known prefix of a path.

    All prefixes of one path are prefixes of each other, so the longest one determines
    the list of rules. In sorted order it is the last entry that is not after the path,
    or a prefix of that entry.
    """

    def __init__(self, rules: Iterable[CompiledRule]) -> None:
        by_prefix: dict[str, list[CompiledRule]] = {"": []}
        for rule in rules:
            by_prefix.setdefault(rule.path_prefix, []).append(rule)
        self._prefixes = sorted(by_prefix)
        self._parents = _parent_indices(self._prefixes)
        self._entries: list[_Entry] = []
        for prefix, index in zip(self._prefixes, self._parents, strict=True):
            parent = self._entries[index] if prefix else None
            self._entries.append(_Entry(own_rules=by_prefix[prefix], parent=parent))

    def find(self, path: str) -> _Entry:
        index = bisect_right(self._prefixes, path) - 1
        while not path.startswith(self._prefixes[index]):
            index = self._parents[index]
        return self._entries[index]


def _parent_indices(prefixes: Sequence[str]) -> list[int]:
    """Return for each prefix the index of its longest proper prefix in the list.

    The empty prefix, which is always first, is its own parent. ``prefixes`` is sorted,
    so the strings that start with a prefix directly follow it, and a stack of the
    enclosing prefixes suffices: each prefix is compared only a few times. 4,800 rules
    of one host take 0.02 s on one core; comparing each prefix with every other one
    takes 9 s (``bench/rules.py``).
    """
    parents = []
    enclosing = [0]
    for index, prefix in enumerate(prefixes):
        while not prefix.startswith(prefixes[enclosing[-1]]):
            enclosing.pop()
        parents.append(enclosing[-1])
        enclosing.append(index)
    return parents


def _in_order(entries: Iterable[_Entry]) -> tuple[CompiledRule, ...]:
    rules = [rule for entry in entries for rule in entry.own_rules]
    return tuple(sorted(rules, key=attrgetter("number")))
