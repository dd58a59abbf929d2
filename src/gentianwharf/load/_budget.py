"""A budget for sending a request again.

Load pattern: a third of the servers refuse or stall, and every failed request is
sent again. Without a budget each failure adds load to the servers that are left, they
fail as well, and the load stays multiplied after the cause is gone.
"""

from typing import final

# A tenth more load at most: what servers at 70 % to 85 % load have to spare, and the
# figure in common use (Google SRE book, ch. 21, "Handling Overload").
RETRIES_PER_REQUEST = 0.1
# Lets a service with little traffic retry a short burst, e.g. one lost server.
MOST_SAVED_RETRIES = 10.0


@final
class RetryBudget:
    """A token bucket that first sends fill and repeated sends empty.

    >>> budget = RetryBudget(saved=0.0)
    >>> for _ in range(10):
    ...     budget.note_request()
    >>> budget.take(), budget.take()
    (True, False)
    """

    __slots__ = ("_saved",)

    def __init__(self, *, saved: float = MOST_SAVED_RETRIES) -> None:
        self._saved = saved

    @property
    def saved(self) -> float:
        """How many sends could be repeated now."""
        return self._saved

    def note_request(self) -> None:
        """Count a request that is sent for the first time."""
        # Ten times a tenth must make one: rounding may not lose the last one.
        saved = round(self._saved + RETRIES_PER_REQUEST, 9)
        self._saved = min(MOST_SAVED_RETRIES, saved)

    def take(self) -> bool:
        """Spend one repeated send if the budget has one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
