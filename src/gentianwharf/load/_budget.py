"""A retry budget.

Load pattern: a third of the servers refuse or stall, and every failed request is
retried. Without a budget each failure adds load to the remaining servers, these fail as
well, and the load stays multiplied after the cause is gone.
"""

from typing import final

# Retries add at most a tenth to the load, which servers at 70 % to 85 % load can take.
# This is the figure in common use (Google SRE book, ch. 21, "Handling Overload").
RETRIES_PER_REQUEST = 0.1
# Allows a service with little traffic a short burst of retries, such as after the loss
# of a server.
MAX_SAVED_RETRIES = 10.0


@final
class RetryBudget:
    """A token bucket that is filled by new requests and emptied by retries.

    ``requests``, ``taken`` and ``refused`` are totals since the start.

    >>> budget = RetryBudget(tokens=0.0)
    >>> for _ in range(10):
    ...     budget.record_request()
    >>> budget.take(), budget.take()
    (True, False)
    """

    __slots__ = ("_max_tokens", "_tokens", "refused", "requests", "taken")

    def __init__(
        self, *, tokens: float | None = None, max_tokens: float = MAX_SAVED_RETRIES
    ) -> None:
        self.requests = 0
        self.taken = 0
        self.refused = 0
        self._tokens = max_tokens if tokens is None else tokens
        self._max_tokens = max_tokens

    def resize(self, max_tokens: float) -> None:
        """Set how many tokens may be saved; the same part of them remains saved."""
        saved = self._tokens / self._max_tokens if self._max_tokens else 0.0
        self._max_tokens = max_tokens
        self._tokens = min(1.0, saved) * max_tokens

    @property
    def max_tokens(self) -> float:
        """The number of retries that may be saved."""
        return self._max_tokens

    @property
    def tokens(self) -> float:
        """The number of retries that are available now."""
        return self._tokens

    def record_request(self) -> None:
        """Add a fraction of a token for a new request."""
        self.requests += 1
        # Rounded so that ten additions of 0.1 make exactly 1.
        tokens = round(self._tokens + RETRIES_PER_REQUEST, 9)
        # A share below one would never allow a retry.
        self._tokens = min(max(1.0, self._max_tokens), tokens)

    def take(self) -> bool:
        """Take a token for a retry; return whether there was one."""
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self.taken += 1
        self._tokens -= 1.0
        return True
