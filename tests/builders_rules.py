"""Builders of rules, documents and requests for the services of the tests.

``desk`` is keyed, ``ledger`` is not.
"""

from dataclasses import dataclass, field
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from gentianwharf.infra import Fault, FaultyStore, KeyValueStore, MemoryStore
from gentianwharf.rules import (
    ApplyResult,
    RequestFacts,
    Rule,
    RuleBook,
    RuleChecker,
    RuleDocument,
    RulesApplied,
    RuleScope,
    RuleVersion,
    StoredRules,
    encode_rules,
)

SHARDS = {"desk": 100}


def rule(*, name: str = "one", when: dict[str, Any] | None = None, **then: Any) -> Rule:
    """Return a rule for ``ledger``, unless ``then`` names another service."""
    target = {"service": "ledger", **then}
    return Rule.model_validate({"name": name, "when": when or {}, "then": target})


def keyed_rule(
    *,
    name: str = "one",
    site: str | None = None,
    when: dict[str, Any] | None = None,
    **then: Any,
) -> Rule:
    """Return a rule for the keyed service ``desk``; the key is path segment 1."""
    target = {
        "service": "desk",
        "site": site,
        "key": {"place": "path_segment", "name": "1"},
        **then,
    }
    return rule(name=name, when={"path_prefix": "/desk/", **(when or {})}, **target)


def document(*rules: Rule) -> RuleDocument:
    """Return a document with ``rules``, in this order."""
    return RuleDocument(rules=rules)


def stored_rules(source: RuleDocument, *, number: int = 1) -> bytes:
    """Return the record of a document in the store."""
    return encode_rules(
        StoredRules(
            format=1,
            number=number,
            edited_from_revision=number - 1,
            author="amira",
            recent_change_ids=(f"change-{number}",),
            document=source,
        )
    )


def facts(
    path: str = "/desk/sciences",
    *,
    method: str = "GET",
    host: str = "gateway.example",
    query: str = "",
    **headers: str,
) -> RequestFacts:
    """Return the facts of a request; underscores in header names become hyphens."""
    return RequestFacts(
        method=method,
        host=host,
        path=path,
        query=query,
        headers={name.replace("_", "-"): value for name, value in headers.items()},
    )


def scope(**deadline_caps_ms: int) -> RuleScope:
    """Return a scope with ``desk`` at the sites old and new, and ``ledger`` at old."""
    return RuleScope(
        shards={"desk": SHARDS["desk"], "ledger": 0},
        sites={"desk": frozenset({"old", "new"}), "ledger": frozenset({"old"})},
        classes=frozenset({"consultation", "posting"}),
        deadline_caps_ms=deadline_caps_ms,
    )


def migration(share: float) -> RuleDocument:
    """Return rules that place a share of the keys at the new site."""
    return document(
        keyed_rule(name="desk-new", site="new", when={"shard_share": share}),
        keyed_rule(name="desk-old", site="old"),
        rule(name="ledger", when={"path_prefix": "/ledger/"}),
    )


def result_of(awaitable: Any) -> Any:
    """Return the result of a coroutine or Deferred, which must be available."""
    deferred = (
        awaitable if isinstance(awaitable, Deferred) else ensureDeferred(awaitable)
    )
    results: list[Any] = []
    deferred.addBoth(results.append)
    assert results, "no result yet"
    if isinstance(results[0], Failure):
        results[0].raiseException()
    return results[0]


def result_within(clock: Clock, awaitable: Any, *, timeout_s: float = 60.0) -> Any:
    """Return a coroutine's result, advancing ``clock`` by at most ``timeout_s``."""
    deferred = ensureDeferred(awaitable)
    step_s = 0.05
    for _ in range(int(timeout_s / step_s)):
        if deferred.called:
            break
        clock.advance(step_s)
    return result_of(deferred)


@dataclass
class OperatorBooks:
    """The rule books of two operators on two hosts that share a store.

    ``mine`` accesses the store with the given faults, ``theirs`` without faults.
    """

    clock: Clock = field(default_factory=Clock)
    faults: list[Fault] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.store = MemoryStore(clock=self.clock)
        self.faulty = FaultyStore(
            store=self.store, clock=self.clock, rng=Random(1), faults=self.faults
        )
        self.mine = self._book(self.faulty, seed=1)
        self.theirs = self._book(self.store, seed=2)

    def _book(self, store: KeyValueStore, *, seed: int) -> RuleBook:
        return RuleBook(
            store=store,
            prefix="gentianwharf/tunis/",
            checker=RuleChecker(scope=scope()),
            clock=self.clock,
            rng=Random(seed),
        )

    def apply(
        self,
        book: RuleBook,
        share: float,
        *,
        edited_from: int,
        author: str = "amira",
        change_id: str | None = None,
    ) -> ApplyResult:
        """Apply the rules of a migration step."""
        call = book.apply(
            migration(share),
            edited_from_revision=edited_from,
            author=author,
            change_id=change_id,
        )
        result: ApplyResult = result_within(self.clock, call)
        return result

    def begin(self) -> int:
        """Apply the first rules and return their revision."""
        result = self.apply(self.theirs, 0.0, edited_from=0, author="karim")
        assert isinstance(result, RulesApplied)
        return result.version.revision

    def stored(self) -> RuleVersion:
        """Return the version in the store."""
        version: RuleVersion = result_of(self.theirs.read())
        return version
