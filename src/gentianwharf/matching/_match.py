"""Matches requests against compiled rules."""

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

_NOT_READ = object()


@final
class _RequestKey:
    """Reads the key of one request and caches it until the key source changes."""

    __slots__ = ("_cached_source", "_facts", "_shard", "_shards", "_source", "key")

    def __init__(self, facts: RequestFacts) -> None:
        self._facts = facts
        self._cached_source: object = _NOT_READ
        self._source: KeySource | None = None
        self._shards = 0
        self._shard: int | None = None
        self.key: str | None = None

    def read(self, key_source: KeySource | None) -> str | None:
        if key_source is not self._cached_source:
            self._cached_source = self._source = key_source
            self._shards = 0
            self.key = read_key(key_source, self._facts)
        return self.key

    def shard(self, key: str, shards: int) -> int | None:
        if shards != self._shards:
            self._shards = shards
            self._shard = find_shard(self._source, key, shards)
        return self._shard

    def first(self, step: Step) -> CompiledRule | None:
        """Return the first matching rule of ``step``.

        The caller has tested the methods, and the headers that all its rules share.
        """
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
    """A rule document, compiled for matching, and its revision in the store.

    ``shards`` maps each keyed service to its number of shards.
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
        """Return the match of the first matching rule, or None if no rule matches."""
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
                    return _build_match(rule, facts, request_key)
        return None

    def with_service(self, match: RuleMatch, service: str) -> RuleMatch:
        """Return ``match`` for ``service``, another service of its rule's split."""
        shards = self._shards.get(service, 0)
        key_source = match.rule.then.key
        shard = (
            find_shard(key_source, match.key, shards) if match.key and shards else None
        )
        return replace(match, service=service, shard=shard)

    def site_of(self, service: str, shard: int) -> str | None:
        """Return the site that the rules set for ``shard``, or None for any site."""
        sites = self._sites.get(service)
        return sites.site_of(shard) if sites is not None else None

    def single_key_sites(self, service: str) -> Mapping[str, str | None]:
        """Return the keys of ``service`` with a rule of their own, and their sites."""
        sites = self._sites.get(service)
        return MappingProxyType(sites.single_keys if sites is not None else {})


def _build_match(
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
