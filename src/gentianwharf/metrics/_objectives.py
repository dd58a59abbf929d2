"""Service-level objectives per class, for the burn report."""

from dataclasses import dataclass
from typing import final

DAY_S = 86_400.0
# The Google SRE workbook computes error budgets over 30 days.
PERIOD_S = 30 * DAY_S


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Objective:
    """The objective of a class: which share of its answers must be good.

    An answer is good if it is served within ``limit_s``. ``unavailable_s`` is how long
    any single shard may be unavailable in ``period_s``.
    """

    request_class: str
    limit_s: float
    share: float
    unavailable_s: float = 60.0
    period_s: float = PERIOD_S

    @property
    def error_budget(self) -> float:
        """Share of answers that may be bad.

        The value is rounded: ``1 - 0.99`` is slightly more than 0.01 in binary
        floating point, so that the burn rate of a class exactly at its budget would
        be below 1.
        """
        return round(1.0 - self.share, 12)
