"""What putting a list of rules in force costs a host, as the list grows."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from gentianwharf.matching import CompiledRule, RuleIndex, _index, compile_rules
from tests.builders_counting import MOST_GROWTH, CountedText
from tests.builders_rules import document, rule

Shape = Callable[[int], dict[str, Any]]

SHAPES: dict[str, Shape] = {
    "one-host": lambda number: {"host": "a.example", "path_prefix": f"/p{number}/"},
    "own-hosts": lambda number: {"host": f"h{number}.example", "path_prefix": "/p/"},
    "nested": lambda number: {"path_prefix": f"/p{number // 8}/" + "x/" * (number % 8)},
}


def compiled(shape: Shape, count: int) -> list[CompiledRule]:
    rules = [rule(name=f"r-{n}", when=shape(n)) for n in range(count)]
    return [
        replace(
            one,
            host=CountedText(one.host) if one.host is not None else None,
            path_prefix=CountedText(one.path_prefix),
        )
        for one in compile_rules(document(*rules), {})
    ]


def comparisons(shape: Shape, count: int) -> int:
    rules = compiled(shape, count)
    CountedText.compared.clear()
    RuleIndex(rules)
    return CountedText.compared.total()


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
def test_twice_as_many_rules_cost_twice_as_much(shape: Shape) -> None:
    """A host stands still while it takes new rules, and its callers wait.

    Each rule was compared with every other one: 4,800 rules, as many as the store
    takes, held a host's only thread for 9 s. A leader lost its lease meanwhile, and
    the grants of its servers ran out.
    """
    few, many = comparisons(shape, 500), comparisons(shape, 1000)
    assert many <= few * MOST_GROWTH


# The last ones are in sorted order behind prefixes that don't begin them.
PATHS = ["/", "/p/x/y/1", "/p/x/", "/px/3", "/o", "/p", "/q/x/", "/p/z", "/p/x/yz"]


def test_index_finds_what_a_look_at_each_rule_finds() -> None:
    """A request meets a rule that isn't the first that holds, and a wrong service."""
    rng = Random(7)
    hosts = [None, "a.example", "b.example"]
    prefixes = [None, "/", "/p/", "/p/x/", "/p/x/y/", "/px/", "/q/", "/p/x/z/"]
    rules = [
        rule(name=f"r-{n}", when={"host": rng.choice(hosts), "path_prefix": prefix})
        for n, prefix in enumerate(rng.choices(prefixes, k=60))
    ]
    index = RuleIndex(compile_rules(document(*rules), {}))
    for host in ("a.example", "b.example", "c.example"):
        for path in PATHS:
            found = [one.rule.name for one in index.candidates(host, path)]
            assert found == [
                one.name
                for one in rules
                if one.when.host in (None, host)
                and path.startswith(one.when.path_prefix or "")
            ], (host, path)


def copied(monkeypatch: pytest.MonkeyPatch, count: int) -> int:
    """Return how many rules are put into lists while an index is built.

    Half of the rules fit every path, the others have a prefix each.
    """
    wheres = [
        {} if n < count // 2 else {"path_prefix": f"/p{n}/"} for n in range(count)
    ]
    rules = [rule(name=f"r-{n}", when=where) for n, where in enumerate(wheres)]
    sizes: list[int] = []
    in_order: Callable[..., Sequence[CompiledRule]] = _index._in_order

    def counted(*parts: Iterable[Any]) -> Sequence[CompiledRule]:
        found = in_order(*parts)
        sizes.append(len(found))
        return found

    with monkeypatch.context() as patched:
        patched.setattr(_index, "_in_order", counted)
        RuleIndex(compile_rules(document(*rules), {}))
    return sum(sizes)


def test_rules_for_every_path_are_not_copied_for_each_prefix(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A host stands still while it takes new rules, and keeps a copy for each prefix.

    Rules without a prefix were put into the list of every prefix at once: 4,800 rules,
    half of them without, held a host's only thread for 0.7 s and took 46 MB in lists.
    """
    few, many = copied(monkeypatch, 200), copied(monkeypatch, 400)
    assert many <= max(few, 200) * MOST_GROWTH


def test_prefixes_nested_a_thousand_deep_are_found() -> None:
    depth = 1_200
    rules = [
        rule(name=f"r-{n}", when={"path_prefix": "/" * n}) for n in range(1, depth)
    ]
    index = RuleIndex(compile_rules(document(*rules), {}))
    assert len(list(index.candidates("a.example", "/" * depth))) == depth - 1
