"""The operators' ordered when-then rules: the first match decides."""

from ._document import Condition, KeySource, Rule, RuleDocument, Target
from ._match import RequestFacts, RuleMatch, RuleSet

__all__ = [
    "Condition",
    "KeySource",
    "RequestFacts",
    "Rule",
    "RuleDocument",
    "RuleMatch",
    "RuleSet",
    "Target",
]
