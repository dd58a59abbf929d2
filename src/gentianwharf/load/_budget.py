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
MAX_SAVED_RETRIES = 10.0


@final
class RetryBudget:
    """A token bucket that first sends fill and repeated sends empty.

    >>> budget = RetryBudget(tokens=0.0)
    >>> for _ in range(10):
    ...     budget.record_request()
    >>> budget.take(), budget.take()
    (True, False)
    """

    __slots__ = ("_tokens",)

    def __init__(self, *, tokens: float = MAX_SAVED_RETRIES) -> None:
        self._tokens = tokens

    @property
    def tokens(self) -> float:
        """How many sends could be repeated now."""
        return self._tokens

    def record_request(self) -> None:
        """Count a request that is sent for the first time."""
        # Ten times a tenth must make one: rounding may not lose the last one.
        saved = round(self._tokens + RETRIES_PER_REQUEST, 9)
        self._tokens = min(MAX_SAVED_RETRIES, saved)

    def take(self) -> bool:
        """Spend one repeated send if the budget has one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
