"""Matching of requests against compiled rules."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import final
from urllib.parse import parse_qs

from gentianwharf.keys import shard_of

from ._document import KeyPlace, KeySource, Rule, RuleDocument

KEY_HEADER = "gentianwharf-key"
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RequestFacts:
    """What a rule may look at; header names are in lower case."""

    method: str
    host: str
    path: str
    query: str = ""
    headers: Mapping[str, str] = field(default_factory=dict)


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RuleMatch:
    """The rule that decides a request, and what follows from it."""

    number: int
    rule: Rule
    service: str
    site: str | None
    request_class: str
    key: str | None
    shard: int | None
    repeatable: bool


@final
class RuleSet:
    """A rule document in force, with the store revision that it came with."""

    def __init__(
        self, *, document: RuleDocument, revision: int, shards: Mapping[str, int]
    ) -> None:
        self.document = document
        self.revision = revision
        self._shards = dict(shards)

    def match(self, facts: RequestFacts) -> RuleMatch | None:
        """Return what the first matching rule says, or None when none matches."""
        for number, rule in enumerate(self.document.rules, start=1):
            match = self._apply(number, rule, facts)
            if match is not None:
                return match
        return None

    def _apply(self, number: int, rule: Rule, facts: RequestFacts) -> RuleMatch | None:
        when, then = rule.when, rule.then
        if when.path_prefix is not None and not facts.path.startswith(when.path_prefix):
            return None
        if when.host is not None and when.host != facts.host:
            return None
        if when.methods and facts.method not in when.methods:
            return None
        for name, value in when.headers.items():
            if facts.headers.get(name.lower()) != value:
                return None
        key = _read_key(then.key, facts)
        if when.key is not None and when.key != key:
            return None
        shards = self._shards.get(then.service, 0)
        shard = shard_of(key, shards) if key is not None and shards else None
        if when.shard_share is not None and (
            shard is None or shard >= when.shard_share * shards
        ):
            return None
        repeatable = then.repeatable
        if repeatable is None:
            repeatable = facts.method in SAFE_METHODS
        return RuleMatch(
            number=number,
            rule=rule,
            service=then.service,
            site=then.site,
            request_class=then.request_class,
            key=key,
            shard=shard,
            repeatable=repeatable,
        )


def _read_key(source: KeySource | None, facts: RequestFacts) -> str | None:
    named = facts.headers.get(KEY_HEADER)
    if named is not None or source is None:
        return named
    if source.place is KeyPlace.HEADER:
        return facts.headers.get(source.name.lower())
    if source.place is KeyPlace.QUERY:
        values = parse_qs(facts.query).get(source.name)
        return values[0] if values else None
    segments = facts.path.strip("/").split("/")
    index = int(source.name)
    return segments[index] if index < len(segments) else None
