"""Rules that operators add and remove while the soak runs."""

from dataclasses import dataclass
from math import inf
from typing import final

CONFIG_APPLY_S = 2.0
"""From the acknowledgement of a version until it is in force on hosts in touch."""


@final
@dataclass(kw_only=True, slots=True)
class RulesVersion:
    """A version of the rules: when it was first sent, and acknowledged by the store."""

    number: int
    sent_s: float
    acknowledged_s: float = inf

    def is_due(self, at_s: float) -> bool:
        """Whether a request sent at this time must be handled by it or a newer one."""
        return self.acknowledged_s + CONFIG_APPLY_S <= at_s


@final
@dataclass(kw_only=True, slots=True, eq=False)
class AddedRule:
    """A path that is served from one version on, and not from another one on."""

    path: str
    added: RulesVersion
    removed: RulesVersion | None = None

    def must_be_served(self, sent_s: float, ended_s: float) -> bool:
        """Whether each version that may be in force in this time has the rule."""
        if self.removed is not None and self.removed.sent_s <= ended_s:
            return False
        return self.added.is_due(sent_s)

    def must_be_unknown(self, sent_s: float) -> bool:
        """Whether no version that may be in force has the rule any more."""
        return self.removed is not None and self.removed.is_due(sent_s)
