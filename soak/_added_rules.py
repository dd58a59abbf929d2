"""Rules that operators add and remove during the soak."""

from dataclasses import dataclass
from math import inf
from typing import final

from gentianwharf.platform.standin import MOVED, UNKEYED

CONFIG_APPLY_S = 2.0
"""Time from the acknowledgement of a version until undisrupted hosts must apply it."""


@final
@dataclass(kw_only=True, slots=True)
class RulesVersion:
    """A version of the rules; the store acknowledged it at ``acknowledged_s``.

    ``sent_s`` is when it was first sent.
    """

    number: int
    sent_s: float
    acknowledged_s: float = inf

    def must_be_in_force(self, at_s: float) -> bool:
        """Whether a request sent at ``at_s`` must be handled by this or a newer one."""
        return self.acknowledged_s + CONFIG_APPLY_S <= at_s


@final
@dataclass(kw_only=True, slots=True, eq=False)
class AddedRule:
    """A path that is served from version ``added`` on, and until ``removed``.

    From version ``moved`` on, another service serves it.
    """

    path: str
    added: RulesVersion
    removed: RulesVersion | None = None
    moved: RulesVersion | None = None

    def must_be_served(self, sent_s: float, ended_s: float) -> bool:
        """Whether every version that may be in force in this interval has the rule."""
        if self.removed is not None and self.removed.sent_s <= ended_s:
            return False
        return self.added.must_be_in_force(sent_s)

    def must_be_absent(self, sent_s: float) -> bool:
        """Whether no version that may be in force has the rule."""
        return self.removed is not None and self.removed.must_be_in_force(sent_s)

    def services(self, sent_s: float, ended_s: float) -> set[str]:
        """Return the services of the path in all versions that may be in force."""
        found = {UNKEYED, MOVED}
        if self.moved is None or self.moved.sent_s > ended_s:
            found.discard(MOVED)
        elif self.moved.must_be_in_force(sent_s):
            found.discard(UNKEYED)
        return found
