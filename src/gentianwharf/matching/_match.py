"""Matching of requests against compiled rules."""

from collections.abc import Mapping
from dataclasses import replace
from types import MappingProxyType
from typing import final

from ._compile import CompiledRule, compile_rules
from ._facts import SAFE_METHODS, RequestFacts, RuleMatch, read_key
from ._index import RuleIndex
from ._rule import KeySource, Rules
from ._runs import HeaderRun, KeyRun, Step
from ._shards import find_shard, is_in_range
from ._sites import sites_by_service

_UNREAD = object()


@final
class _RequestKey:
    """Reads a request's key at most once for each place where rules look for it."""

    __slots__ = ("_facts", "_read_from", "_shard", "_shards", "_source", "key")

    def __init__(self, facts: RequestFacts) -> None:
        self._facts = facts
        self._read_from: object = _UNREAD
        self._source: KeySource | None = None
        self._shards = 0
        self._shard: int | None = None
        self.key: str | None = None

    def read(self, key_source: KeySource | None) -> str | None:
        if key_source is not self._read_from:
            self._read_from = self._source = key_source
            self._shards = 0
            self.key = read_key(key_source, self._facts)
        return self.key

    def shard(self, key: str, shards: int) -> int | None:
        if shards != self._shards:
            self._shards = shards
            self._shard = find_shard(self._source, key, shards)
        return self._shard

    def first(self, step: Step) -> CompiledRule | None:
        """Return the rule of ``step`` that holds, methods and headers aside."""
        if isinstance(step, KeyRun):
            key = self.read(step.key_source)
            shard = self.shard(key, step.shards) if key else None
            return step.first(key, shard) if key and shard is not None else None
        if isinstance(step, HeaderRun):
            return step.first(self._facts.headers)
        if not step.has_key_condition:
            return step
        key = self.read(step.key_source)
        if key is None:
            return None
        if step.key is not None:
            return step if step.key == key else None
        if not step.shards:
            return None
        shard = self.shard(key, step.shards)
        return step if is_in_range(step.first_shard, shard, step.end_shard) else None


@final
class RuleSet:
    """A rule document in force, with the store revision that it came with.

    ``shards`` gives the number of shards of each keyed service.
    """

    def __init__(
        self, *, document: Rules, revision: int, shards: Mapping[str, int]
    ) -> None:
        self.document = document
        self.revision = revision
        self._shards = shards
        self.compiled = compile_rules(document, shards)
        self._index = RuleIndex(self.compiled)
        self._sites = sites_by_service(self.compiled)

    def match(self, facts: RequestFacts) -> RuleMatch | None:
        """Return what the first matching rule says, or None when none matches."""
        method = facts.method
        header = facts.headers.get
        request_key = _RequestKey(facts)
        for step in self._index.steps(facts.host, facts.path):
            if step.methods and method not in step.methods:
                continue
            for name, value in step.headers:
                if header(name) != value:
                    break
            else:
                rule = request_key.first(step)
                if rule is not None:
                    return _answer(rule, facts, request_key)
        return None

    def with_service(self, match: RuleMatch, service: str) -> RuleMatch:
        """Return ``match`` with another service of its rule's split."""
        shards = self._shards.get(service, 0)
        key_source = match.rule.then.key
        shard = (
            find_shard(key_source, match.key, shards) if match.key and shards else None
        )
        return replace(match, service=service, shard=shard)

    def site_of(self, service: str, shard: int) -> str | None:
        """Return the site where ``shard`` should stand; None leaves it open."""
        sites = self._sites.get(service)
        return sites.site_of(shard) if sites is not None else None

    def single_key_sites(self, service: str) -> Mapping[str, str | None]:
        """Return the keys of ``service`` that a rule of their own sends to a site."""
        sites = self._sites.get(service)
        return MappingProxyType(sites.single_keys if sites is not None else {})


def _answer(
    rule: CompiledRule, facts: RequestFacts, request_key: _RequestKey
) -> RuleMatch:
    key = request_key.read(rule.key_source)
    shard = None
    if key is not None and rule.shards:
        shard = request_key.shard(key, rule.shards)
    repeatable = rule.repeatable
    if repeatable is None:
        repeatable = facts.method in SAFE_METHODS
    then = rule.rule.then
    return RuleMatch(
        number=rule.number,
        rule=rule.rule,
        service=then.service,
        site=then.site,
        request_class=then.request_class,
        key=key,
        shard=shard,
        repeatable=repeatable,
    )
