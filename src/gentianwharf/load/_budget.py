"""A retry budget.

Load pattern: a third of the servers refuse or stall, and every failed request is
retried. Without a budget each failure adds load to the remaining servers, these fail as
well, and the load stays multiplied after the cause is gone.

All hosts together keep within one sum, whatever becomes of a host: a new process of a
host does not know what the process before it has retried, and assumes all of its share.
"""

from collections import deque
from dataclasses import dataclass
from math import inf
from typing import final

DELIVERY_S = 2.0
"""Longest usual time from a request's sending by its caller to the arrival of its retry
at a server. Requests count in the window in which they are sent, retries in the one in
which they arrive."""

# Allows a service with little traffic a short burst of retries, such as after the loss
# of a server.
MAX_SAVED_RETRIES = 10.0

NO_SHARE_FACTOR = 0.5
"""Factor on the ratio for a host without a share. Its retries are due to requests
of the present window or of the one before it, which both may be full."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RetryAgreement:
    """The retries of a service that all hosts together may send.

    In any window of ``window_s`` these are ``ratio`` for each request, and ``extra``
    more. If ``extra`` is infinite, the hosts share nothing: each saves up to
    ``MAX_SAVED_RETRIES``. By default, retries add at most a tenth to the load, which
    servers at 70 % to 85 % load can take (Google SRE book, ch. 21, "Handling
    Overload").
    """

    ratio: float = 0.1
    extra: float = inf
    window_s: float = 10.0


@final
class RetryBudget:
    """The retries of one service that this host may send.

    New requests add retries, up to the host's share of the extra ones that all hosts
    may send. They add fewer than agreed, so that those for the requests of a window and
    of ``DELIVERY_S`` before it may arrive within one window. The whole share is
    available again after a window without a retry, and not earlier after a start or
    after the share has grown: until then, this host's previous process or another host
    may have used it. ``note_time`` has to be called soon after either, or the time
    counts from the next call.

    A host without a share saves nothing: its retries are due to requests of the last
    window. ``requests``, ``taken`` and ``refused`` are totals since the start.

    >>> budget = RetryBudget(agreement=RetryAgreement(ratio=0.2), share=2.0)
    >>> [budget.take(0.0), budget.take(13.0), budget.take(13.0), budget.take(13.0)]
    [False, True, True, False]
    >>> for _ in range(6):
    ...     budget.record_request(13.0)
    >>> budget.take(13.0), budget.take(13.0)
    (True, False)
    """

    __slots__ = (
        "_agreement",
        "_recent",
        "_share",
        "_shared_ratio",
        "_tokens",
        "_unused_since_s",
        "refused",
        "requests",
        "taken",
    )

    def __init__(self, *, agreement: RetryAgreement, share: float = 0.0) -> None:
        self.requests = 0
        self.taken = 0
        self.refused = 0
        self._agreement = agreement
        window_s = agreement.window_s
        self._shared_ratio = agreement.ratio * window_s / (window_s + DELIVERY_S)
        """What a request adds while this host has a share."""
        self._share = share
        self._tokens = 0.0
        self._recent: deque[tuple[float, float]] = deque()
        """Times of requests and what they added, while this host has no share."""
        self._unused_since_s: float | None = None
        """From when on the share is known to be unused, None until ``note_time``."""

    @property
    def share(self) -> float:
        """The number of retries that this host may save."""
        return self._share

    def set_share(self, share: float) -> None:
        """Set how many retries this host may save, 0 if it has no share.

        A larger share is not available at once: the host that had it may have used it.
        """
        if share == self._share:
            return
        if share > self._share:
            self._unused_since_s = None
        if not share:
            self._tokens = 0.0
        self._recent.clear()
        self._share = share
        self._tokens = min(share, self._tokens)

    def note_time(self, now_s: float) -> None:
        """Note from when on a new share is known to be unused."""
        if self._unused_since_s is None:
            self._unused_since_s = now_s

    def available(self, now_s: float) -> float:
        """Return the number of retries that may be sent now."""
        self._advance(now_s)
        return self._tokens

    def record_request(self, now_s: float) -> None:
        """Add a fraction of a retry for a new request."""
        self._advance(now_s)
        self.requests += 1
        if self._share:
            self._tokens = min(self._share, _sum(self._tokens, self._shared_ratio))
            return
        added = self._agreement.ratio * NO_SHARE_FACTOR
        self._recent.append((now_s, added))
        self._tokens = _sum(self._tokens, added)

    def allow(self, now_s: float) -> bool:
        """Return whether a retry may be sent, and count it if it may not."""
        is_allowed = self.available(now_s) >= 1.0
        self.refused += not is_allowed
        return is_allowed

    def take(self, now_s: float) -> bool:
        """Take a retry; return whether there was one."""
        if not self.allow(now_s):
            return False
        self.taken += 1
        self._tokens = _sum(self._tokens, -1.0)
        self._unused_since_s = now_s
        self._forget_oldest(1.0)
        return True

    def _advance(self, now_s: float) -> None:
        self.note_time(now_s)
        assert self._unused_since_s is not None, "set by note_time"
        window_s = self._agreement.window_s
        if self._share and now_s >= self._unused_since_s + window_s + DELIVERY_S:
            self._tokens = self._share
        while self._recent and self._recent[0][0] <= now_s - (window_s - DELIVERY_S):
            self._tokens = _sum(self._tokens, -self._recent.popleft()[1])

    def _forget_oldest(self, amount: float) -> None:
        """Remove what the oldest requests added, of which a retry was taken."""
        while self._recent and amount > 0:
            at_s, added = self._recent.popleft()
            if added > amount:
                self._recent.appendleft((at_s, _sum(added, -amount)))
            amount = _sum(amount, -added)


def _sum(first: float, second: float) -> float:
    # Rounded so that ten additions of 0.1 make exactly 1.
    return round(first + second, 9)
