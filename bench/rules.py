"""What rules cost: one match by shape of the list, and the check of a large one."""

import random
from collections.abc import Callable, Iterator
from functools import partial

from gentianwharf.rules import (
    MOST_RULES,
    RequestFacts,
    Rule,
    RuleChecker,
    RuleDocument,
    RuleScope,
    RuleSet,
)

from ._figure import Figure
from ._timing import time_us

SEED = 1
SHARDS = 65_536
MATCHES = 5_000
SIZES = (25, 50, 100, 200, MOST_RULES)


def _rule(number: int, when: dict[str, object]) -> Rule:
    then = {
        "service": "desk",
        "site": "old",
        "key": {"place": "path_segment", "name": "1"},
    }
    return Rule.model_validate({"name": f"r-{number}", "when": when, "then": then})


Requests = list[RequestFacts]
Shape = Callable[[int], dict[str, object]]

SHAPES: dict[str, Shape] = {
    "own_prefix_each": lambda number: {"path_prefix": f"/part{number}/"},
    "own_host_each": lambda number: {"host": f"h{number}.example"},
    "one_prefix_own_header_each": lambda number: {
        "path_prefix": "/desk/",
        "headers": {"x-part": str(number)},
    },
    "one_prefix_own_key_each": lambda number: {
        "path_prefix": "/desk/",
        "key": f"club-{number}",
    },
    "one_prefix_own_shard_each": lambda number: {
        "path_prefix": "/desk/",
        "shard_range": {"first": number * 64, "last": number * 64 + 63},
    },
}


def _requests(random_numbers: random.Random, *, shape: str, rules: int) -> Requests:
    """Return requests of which each is decided by a random rule of the list."""
    requests = []
    for _ in range(MATCHES):
        number = random_numbers.randrange(rules)
        first = f"part{number}" if shape == "own_prefix_each" else "desk"
        requests.append(
            RequestFacts(
                method="GET",
                host=f"h{number}.example",
                path=f"/{first}/club-{number}/calendar",
                headers={"x-part": str(number), "accept": "*/*"},
            )
        )
    return requests


def figures() -> Iterator[Figure]:
    """Yield the cost of a match by shape and size, then that of a whole list."""
    for name, shape in SHAPES.items():
        for size in SIZES:
            rules = RuleSet(
                document=_document(shape, size), revision=1, shards={"desk": SHARDS}
            )
            requests = _requests(random.Random(SEED), shape=name, rules=size)
            yield Figure(
                name=f"rules_match_{name}",
                value=_match_us(rules, requests),
                unit="us",
                size={"rules": size, "shards": SHARDS},
                seed=SEED,
            )
    yield from _whole_lists()


def _document(shape: Shape, size: int) -> RuleDocument:
    rules = tuple(_rule(number, shape(number)) for number in range(size))
    return RuleDocument(rules=rules)


def _match_us(rules: RuleSet, requests: Requests) -> float:
    match = rules.match

    def match_all() -> None:
        for facts in requests:
            match(facts)

    return time_us(match_all, times=1) / len(requests)


def _whole_lists() -> Iterator[Figure]:
    """Yield the check and the compiling of the worst list.

    Many shares, and no rule covers another: every pair has to be compared.
    """
    scope = RuleScope(
        shards={"desk": SHARDS},
        sites={"desk": frozenset({"old"})},
        classes=frozenset({"consultation"}),
    )
    checker = RuleChecker(scope=scope)
    for size in SIZES:
        document = _document(partial(_worst, size), size)
        for name, work in (
            ("rules_check", partial(checker.check, document)),
            ("rules_compile", partial(_compile, document)),
        ):
            yield Figure(
                name=name,
                value=time_us(work, times=1) / 1000,
                unit="ms",
                size={"rules": size, "shards": SHARDS},
            )


def _worst(size: int, number: int) -> dict[str, object]:
    return {
        "methods": ["GET"],
        "headers": {"x-part": str(number)},
        "shard_share": (number + 1) / size,
    }


def _compile(document: RuleDocument) -> RuleSet:
    return RuleSet(document=document, revision=1, shards={"desk": SHARDS})
