"""The operators' ordered rules: documents, validation, storage and explanation."""

from gentianwharf.matching import KeyPlace, RequestFacts, RuleMatch, RuleSet, Splitter

from ._book import RuleBook
from ._check import (
    MAX_DOCUMENT_BYTES,
    MAX_RULES,
    MAX_SINGLE_KEY_RULES,
    RuleChecker,
)
from ._codec import StoredRules, decode_rules, encode_rules
from ._diff import diff_documents
from ._document import (
    Condition,
    KeySource,
    Rule,
    RuleDocument,
    ServiceShare,
    ShardRange,
    Target,
)
from ._explain import explain
from ._results import (
    ApplyResult,
    ChangeKind,
    Explanation,
    Finding,
    RuleChange,
    RulesApplied,
    RulesConflict,
    RulesRefused,
    RuleVersion,
    Severity,
    UnmatchedRule,
)
from ._scope import RuleScope

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "MAX_RULES",
    "MAX_SINGLE_KEY_RULES",
    "ApplyResult",
    "ChangeKind",
    "Condition",
    "Explanation",
    "Finding",
    "KeyPlace",
    "KeySource",
    "RequestFacts",
    "Rule",
    "RuleBook",
    "RuleChange",
    "RuleChecker",
    "RuleDocument",
    "RuleMatch",
    "RuleScope",
    "RuleSet",
    "RuleVersion",
    "RulesApplied",
    "RulesConflict",
    "RulesRefused",
    "ServiceShare",
    "Severity",
    "ShardRange",
    "Splitter",
    "StoredRules",
    "Target",
    "UnmatchedRule",
    "decode_rules",
    "diff_documents",
    "encode_rules",
    "explain",
]
