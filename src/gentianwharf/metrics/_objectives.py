"""Service-level objectives per class, as the burn report uses them."""

from dataclasses import dataclass
from typing import final

DAY_S = 86_400.0
# The Google SRE workbook reckons its error budgets over 30 days.
PERIOD_S = 30 * DAY_S


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Objective:
    """What a class promises: ``share`` of answers good, that is within ``limit_s``.

    ``unavailable_s`` is how long any one shard may be unavailable in ``period_s``.
    """

    request_class: str
    limit_s: float
    share: float
    unavailable_s: float = 60.0
    period_s: float = PERIOD_S

    @property
    def error_budget(self) -> float:
        """Share of answers that may be bad.

        Rounded, since ``1 - 0.99`` is a little more than 0.01 in binary, and a class
        exactly at its budget would not count as burning at rate 1.
        """
        return round(1.0 - self.share, 12)
