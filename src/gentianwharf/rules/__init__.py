"""The operators' ordered when-then rules: the first match decides."""

from ._document import (
    MOST_DOCUMENT_BYTES,
    MOST_RULES,
    Condition,
    KeyPlace,
    KeySource,
    Rule,
    RuleDocument,
    ShardRange,
    Target,
)
from ._explain import explain
from ._facts import RequestFacts, RuleMatch
from ._match import RuleSet
from ._results import (
    ApplyResult,
    ChangeKind,
    Explanation,
    Finding,
    PassedOver,
    RuleChange,
    RulesApplied,
    RulesConflict,
    RulesRefused,
    RuleVersion,
    Severity,
)

__all__ = [
    "MOST_DOCUMENT_BYTES",
    "MOST_RULES",
    "ApplyResult",
    "ChangeKind",
    "Condition",
    "Explanation",
    "Finding",
    "KeyPlace",
    "KeySource",
    "PassedOver",
    "RequestFacts",
    "Rule",
    "RuleChange",
    "RuleDocument",
    "RuleMatch",
    "RuleSet",
    "RuleVersion",
    "RulesApplied",
    "RulesConflict",
    "RulesRefused",
    "Severity",
    "ShardRange",
    "Target",
    "explain",
]
