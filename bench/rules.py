"""Cost of matching, compiling and checking rule lists of several shapes and sizes.

The check is measured up to the longest list that operators may apply. Hosts also
accept longer lists that are already committed: up to 4,800 rules, as many as fit into
a store value of 1 MiB.
"""

import gc
import os
import random
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from gentianwharf.rules import (
    MAX_RULES,
    RequestFacts,
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
SIZES = (25, 50, 100, 200, MAX_RULES)
COMMITTED_SIZES = (819, 1219, 2400, 4800)
NESTED = 8
MEGABYTE = 1_000_000
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

Fields = dict[str, Any]
Requests = list[RequestFacts]
Shape = Callable[[int], Fields]


def _rule(number: int, when: Fields, **fields: Any) -> Fields:
    then = {
        "service": "desk",
        "site": "old",
        "key": {"place": "path_segment", "name": "1"},
        **fields,
    }
    return {"name": f"r-{number}", "when": when, "then": then}


def _nested(number: int) -> Fields:
    inner = "inner/" * (number % NESTED)
    return _rule(number, {"path_prefix": f"/part{number // NESTED}/{inner}"})


def _split(number: int) -> Fields:
    parts = [{"service": "desk", "weight": 9}, {"service": "annex", "weight": 1}]
    return _rule(number, {"path_prefix": f"/part{number}/"}, split=parts)


SHAPES: dict[str, Shape] = {
    "own_prefix_each": lambda n: _rule(n, {"path_prefix": f"/part{n}/"}),
    "own_host_each": lambda n: _rule(n, {"host": f"h{n}.example"}),
    "own_service_each": lambda n: _rule(
        n, {"path_prefix": f"/part{n}/"}, service=f"s{n}"
    ),
    "own_split_each": _split,
    "nested_prefixes": _nested,
    "one_prefix_own_header_each": lambda n: _rule(
        n, {"path_prefix": "/desk/", "headers": {"x-part": str(n)}}
    ),
    "one_prefix_own_key_each": lambda n: _rule(
        n, {"path_prefix": "/desk/", "key": f"club-{n}"}
    ),
    "one_prefix_own_shard_each": lambda n: _rule(
        n,
        {"path_prefix": "/desk/", "shard_range": {"first": n * 8, "last": n * 8 + 7}},
    ),
}

DESK_SHAPES = tuple(name for name in SHAPES if name.startswith("one_prefix"))


def _requests(random_numbers: random.Random, *, shape: str, rules: int) -> Requests:
    """Return requests, each of which matches a random rule of the list."""
    requests = []
    for _ in range(MATCHES):
        number = random_numbers.randrange(rules)
        part = number // NESTED if shape == "nested_prefixes" else number
        first = "desk" if shape in DESK_SHAPES else f"part{part}"
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
    """Yield the cost of a match by shape and size, then that of processing lists."""
    for name, shape in SHAPES.items():
        for size in (*SIZES, *COMMITTED_SIZES):
            yield from _list_figures(name, shape, size)
    yield from _worst_case_figures()
    yield from _memory_figures()


def _list_figures(name: str, shape: Shape, size: int) -> Iterator[Figure]:
    document = _document(shape, size)
    shards = {rule.then.service: SHARDS for rule in document.rules}
    compile_rules = partial(RuleSet, document=document, revision=1, shards=shards)
    sizes = {"rules": size, "shards": SHARDS}
    yield Figure(
        name=f"rules_take_{name}",
        value=time_us(compile_rules, times=1) / 1000,
        unit="ms",
        size=sizes,
    )
    requests = _requests(random.Random(SEED), shape=name, rules=size)
    yield Figure(
        name=f"rules_match_{name}",
        value=_match_us(compile_rules(), requests),
        unit="us",
        size=sizes,
        seed=SEED,
    )


def _document(shape: Shape, size: int) -> RuleDocument:
    rules = [shape(number) for number in range(size)]
    return RuleDocument.model_validate({"rules": rules})


def _match_us(rules: RuleSet, requests: Requests) -> float:
    match = rules.match

    def match_all() -> None:
        for facts in requests:
            match(facts)

    return time_us(match_all, times=1) / len(requests)


def _worst_case_figures() -> Iterator[Figure]:
    """Yield the time to check and to compile the most expensive list.

    Each rule has a different share, and no rule covers another one, so that the
    checker has to compare every pair.
    """
    scope = RuleScope(
        shards={"desk": SHARDS},
        sites={"desk": frozenset({"old"})},
        classes=frozenset({"consultation"}),
    )
    checker = RuleChecker(scope=scope)
    for size in SIZES:
        document = _document(partial(_worst_case_rule, size), size)
        for name, operation in (
            ("rules_check", partial(checker.check, document)),
            ("rules_compile", partial(_compile, document)),
        ):
            yield Figure(
                name=name,
                value=time_us(operation, times=1) / 1000,
                unit="ms",
                size={"rules": size, "shards": SHARDS},
            )


def _worst_case_rule(size: int, number: int) -> Fields:
    when = {
        "methods": ["GET"],
        "headers": {"x-part": str(number)},
        "shard_share": (number + 1) / size,
    }
    return _rule(number, when)


def _compile(document: RuleDocument) -> RuleSet:
    return RuleSet(document=document, revision=1, shards={"desk": SHARDS})


def _memory_figures() -> Iterator[Figure]:
    """Yield the resident memory that lists add, each measured in a new process."""
    for size in (MAX_RULES, *COMMITTED_SIZES):
        value = _document(_split, size).model_dump_json(exclude_none=True)
        for versions in (1, 2):
            with ProcessPoolExecutor(1, mp_context=get_context("spawn")) as pool:
                added_bytes = pool.submit(_added_bytes, value, versions).result()
            yield Figure(
                name="rules_resident",
                value=added_bytes / MEGABYTE,
                unit="MB",
                size={"rules": size, "versions": versions},
            )


def _added_bytes(value: str, versions: int) -> int:
    """Return the resident memory that ``versions`` parsed and compiled lists add.

    A small list is compiled first, so that one-time initialization is not counted.
    """
    _compile(_document(_split, 1))
    RuleDocument.model_validate_json('{"rules": []}')
    gc.collect()
    before_bytes = _resident_bytes()
    rule_sets = [
        _compile(RuleDocument.model_validate_json(value)) for _ in range(versions)
    ]
    gc.collect()
    added_bytes = _resident_bytes() - before_bytes
    assert len(rule_sets) == versions
    return added_bytes


def _resident_bytes() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES
