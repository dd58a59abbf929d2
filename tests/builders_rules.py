"""Rules, documents and facts for tests: services ``desk`` (keyed) and ``ledger``."""

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
    """Return a rule to the plain service ``ledger``, unless ``then`` says else."""
    target = {"service": "ledger", **then}
    return Rule.model_validate({"name": name, "when": when or {}, "then": target})


def keyed_rule(
    *,
    name: str = "one",
    site: str | None = None,
    when: dict[str, Any] | None = None,
    **then: Any,
) -> Rule:
    """Return a rule to the keyed service ``desk``, whose key is path segment 1."""
    target = {
        "service": "desk",
        "site": site,
        "key": {"place": "path_segment", "name": "1"},
        **then,
    }
    return rule(name=name, when={"path_prefix": "/desk/", **(when or {})}, **target)


def document(*rules: Rule) -> RuleDocument:
    """Return a document of ``rules`` in this order."""
    return RuleDocument(rules=rules)


def stored_rules(of: RuleDocument, *, number: int = 1) -> bytes:
    """Return a document as the store holds it."""
    return encode_rules(
        StoredRules(
            format=1,
            number=number,
            edited_from_revision=number - 1,
            author="amira",
            recent_change_ids=(f"change-{number}",),
            document=of,
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
    """Return facts of a request; underscores in header names become hyphens."""
    return RequestFacts(
        method=method,
        host=host,
        path=path,
        query=query,
        headers={name.replace("_", "-"): value for name, value in headers.items()},
    )


def scope(**deadline_caps_ms: int) -> RuleScope:
    """Return a scope with ``desk`` on sites old and new, and ``ledger`` on old."""
    return RuleScope(
        shards={"desk": SHARDS["desk"], "ledger": 0},
        sites={"desk": frozenset({"old", "new"}), "ledger": frozenset({"old"})},
        classes=frozenset({"consultation", "posting"}),
        deadline_caps_ms=deadline_caps_ms,
    )


def migration(share: float) -> RuleDocument:
    """Return the rules that move a share of the keys to the new site."""
    return document(
        keyed_rule(name="desk-new", site="new", when={"shard_share": share}),
        keyed_rule(name="desk-old", site="old"),
        rule(name="ledger", when={"path_prefix": "/ledger/"}),
    )


def result_of(waited: Any) -> Any:
    """Return what a coroutine or a Deferred has come to; it must not wait."""
    deferred = waited if isinstance(waited, Deferred) else ensureDeferred(waited)
    results: list[Any] = []
    deferred.addBoth(results.append)
    assert results, "still waiting"
    if isinstance(results[0], Failure):
        results[0].raiseException()
    return results[0]


def result_within(clock: Clock, waited: Any, *, most_s: float = 60.0) -> Any:
    """Return what a coroutine comes to within ``most_s`` of a virtual clock."""
    deferred = ensureDeferred(waited)
    step_s = 0.05
    for _ in range(int(most_s / step_s)):
        if deferred.called:
            break
        clock.advance(step_s)
    return result_of(deferred)


@dataclass
class OperatorBooks:
    """Two operators' books on two hosts, each with faults of its own, one store."""

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
        """Apply a step of the migration."""
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
        """Return what the store holds."""
        version: RuleVersion = result_of(self.theirs.read())
        return version
