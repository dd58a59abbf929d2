"""The cost of building a rule index, as the number of rules grows."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from gentianwharf.matching import CompiledRule, RuleIndex, _index, compile_rules
from tests.builders_counting import MAX_GROWTH, CountedText
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
            item,
            host=CountedText(item.host) if item.host is not None else None,
            path_prefix=CountedText(item.path_prefix),
        )
        for item in compile_rules(document(*rules), {})
    ]


def comparisons(shape: Shape, count: int) -> int:
    rules = compiled(shape, count)
    CountedText.comparisons.clear()
    RuleIndex(rules)
    return CountedText.comparisons.total()


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
def test_index_cost_is_linear_in_the_number_of_rules(shape: Shape) -> None:
    """A host is blocked while it applies new rules, and its callers wait.

    Each rule was compared with every other one: 4,800 rules, the most that the store
    accepts, blocked a host's only thread for 9 s. Meanwhile a leader lost its lease and
    the grants of its servers expired.
    """
    few, many = comparisons(shape, 500), comparisons(shape, 1000)
    assert many <= few * MAX_GROWTH


# In sorted order, the last paths follow prefixes that are not theirs.
PATHS = ["/", "/p/x/y/1", "/p/x/", "/px/3", "/o", "/p", "/q/x/", "/p/z", "/p/x/yz"]


def test_index_agrees_with_testing_each_rule() -> None:
    """An incomplete index would select a later rule, and thus a wrong service."""
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
            found = [item.rule.name for item in index.candidates(host, path)]
            assert found == [
                item.name
                for item in rules
                if item.when.host in (None, host)
                and path.startswith(item.when.path_prefix or "")
            ], (host, path)


def count_copied_rules(monkeypatch: pytest.MonkeyPatch, count: int) -> int:
    """Return the number of rules that are copied to lists while an index is built.

    Half of the rules match every path, and each of the others has its own prefix.
    """
    conditions = [
        {} if n < count // 2 else {"path_prefix": f"/p{n}/"} for n in range(count)
    ]
    rules = [rule(name=f"r-{n}", when=when) for n, when in enumerate(conditions)]
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
    """A host is blocked while it applies new rules, and stores a copy per prefix.

    Rules without a prefix were copied to the list of every prefix: 4,800 rules, half of
    them without a prefix, blocked a host's only thread for 0.7 s and took 46 MB.
    """
    few, many = (
        count_copied_rules(monkeypatch, 200),
        count_copied_rules(monkeypatch, 400),
    )
    assert many <= max(few, 200) * MAX_GROWTH


def test_prefixes_nested_a_thousand_deep_are_found() -> None:
    depth = 1_200
    rules = [
        rule(name=f"r-{n}", when={"path_prefix": "/" * n}) for n in range(1, depth)
    ]
    index = RuleIndex(compile_rules(document(*rules), {}))
    assert len(list(index.candidates("a.example", "/" * depth))) == depth - 1
