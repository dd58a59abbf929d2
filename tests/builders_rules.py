"""Rules, documents and facts for tests: services ``desk`` (keyed) and ``ledger``."""

from typing import Any

from gentianwharf.rules import RequestFacts, Rule, RuleDocument, RuleScope

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


def scope(*, most_keyed_deadline_ms: int | None = None) -> RuleScope:
    """Return a scope with ``desk`` on sites old and new, and ``ledger`` on old."""
    return RuleScope(
        shards={"desk": SHARDS["desk"], "ledger": 0},
        sites={"desk": frozenset({"old", "new"}), "ledger": frozenset({"old"})},
        classes=frozenset({"consultation", "posting"}),
        most_keyed_deadline_ms=most_keyed_deadline_ms,
    )


def migration(share: float) -> RuleDocument:
    """Return the rules that move a share of the keys to the new site."""
    return document(
        keyed_rule(name="desk-new", site="new", when={"shard_share": share}),
        keyed_rule(name="desk-old", site="old"),
        rule(name="ledger", when={"path_prefix": "/ledger/"}),
    )
