"""What rules cost: one match by shape of the list, and the check of a large one.

``python -m bench.rules`` prints one JSON line a figure.
"""

import json
import platform
import random
import time
from collections.abc import Callable, Iterator

from gentianwharf.rules import (
    MOST_RULES,
    RequestFacts,
    Rule,
    RuleChecker,
    RuleDocument,
    RuleScope,
    RuleSet,
)

SEED = 1
SHARDS = 65_536
RULES = 200
MATCHES = 20_000
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


def _match_us(rules: RuleSet, requests: Requests) -> float:
    match = rules.match
    begin = time.perf_counter()
    for facts in requests:
        match(facts)
    return (time.perf_counter() - begin) / len(requests) * 1e6


def _line(figure: str, value: float, **more: object) -> str:
    machine = f"{platform.machine()} {platform.python_version()}"
    return json.dumps(
        {"figure": figure, "value": round(value, 3), **more}
        | {"seed": SEED, "machine": machine}
    )


def lines() -> Iterator[str]:
    """Return the figures as JSON lines."""
    for name, shape in SHAPES.items():
        for size in SIZES:
            document = RuleDocument(
                rules=tuple(_rule(number, shape(number)) for number in range(size))
            )
            rules = RuleSet(document=document, revision=1, shards={"desk": SHARDS})
            requests = _requests(random.Random(SEED), shape=name, rules=size)
            value = min(_match_us(rules, requests) for _ in range(3))
            yield _line("rules_match_us", value, rules=size, shape=name)
    yield from _checks()


def _checks() -> Iterator[str]:
    """Measure the worst list for the check: many shares, and no rule covers another."""
    scope = RuleScope(
        shards={"desk": SHARDS},
        sites={"desk": frozenset({"old"})},
        classes=frozenset({"consultation"}),
    )
    for size in SIZES:
        rules = tuple(
            _rule(
                number,
                {
                    "methods": ["GET"],
                    "headers": {"x-part": str(number)},
                    "shard_share": (number + 1) / size,
                },
            )
            for number in range(size)
        )
        document = RuleDocument(rules=rules)
        begin = time.perf_counter()
        RuleChecker(scope=scope).check(document)
        checked = time.perf_counter()
        RuleSet(document=document, revision=1, shards={"desk": SHARDS})
        compiled = time.perf_counter()
        yield _line("rules_check_ms", (checked - begin) * 1e3, rules=size)
        yield _line("rules_compile_ms", (compiled - checked) * 1e3, rules=size)


if __name__ == "__main__":
    for line in lines():
        print(line)
