"""Matches requests against the operators' rules; the first matching rule applies."""

from ._compile import CompiledRule, compile_rules
from ._facts import (
    KEY_HEADER,
    SAFE_METHODS,
    RequestFacts,
    RuleMatch,
    read_key,
)
from ._index import RuleIndex
from ._match import RuleSet
from ._rule import (
    Condition,
    DecodedCondition,
    DecodedKeySource,
    DecodedRule,
    DecodedRules,
    DecodedShare,
    DecodedTarget,
    KeyPlace,
    KeySource,
    Rule,
    Rules,
    ServiceShare,
    Target,
)
from ._shards import MAX_KEY_CHARACTERS, find_shard, is_in_range
from ._split import Splitter

__all__ = [
    "KEY_HEADER",
    "MAX_KEY_CHARACTERS",
    "SAFE_METHODS",
    "CompiledRule",
    "Condition",
    "DecodedCondition",
    "DecodedKeySource",
    "DecodedRule",
    "DecodedRules",
    "DecodedShare",
    "DecodedTarget",
    "KeyPlace",
    "KeySource",
    "RequestFacts",
    "Rule",
    "RuleIndex",
    "RuleMatch",
    "RuleSet",
    "Rules",
    "ServiceShare",
    "Splitter",
    "Target",
    "compile_rules",
    "find_shard",
    "is_in_range",
    "read_key",
]
