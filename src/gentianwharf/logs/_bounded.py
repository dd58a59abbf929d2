"""Non-blocking, rate-limited writing of log lines to a file descriptor.

When the process that reads the log stops reading, the pipe fills up. A blocking write
would then stall the event loop and every request with it. Under overload each refusal
is logged, and without a rate limit logging would use a large share of the CPU time
that requests need.
"""

import os
from collections.abc import Callable
from typing import final

LINES_PER_S = 100.0
"""Sustained rate, about 30 KB/s. A line takes 30 us to write, so that the limit is
0.3 % of a core. A severely overloaded host refuses a hundred requests a second, and
their lines all say the same."""

BURST_LINES = 400.0
"""Enough for the lines that follow a configuration change, or the loss of a failure
domain with all of its servers, almost at once."""

MAX_PENDING_BYTES = 256 * 1024
"""Buffer for a slow reader, about a thousand lines. Lines beyond it are dropped."""

REQUEST_FIELD = '"request_id":'

Clock = Callable[[], float]


@final
class _TokenBucket:
    """A token bucket in which one token stands for one line."""

    def __init__(self, now_s: float) -> None:
        self._tokens = BURST_LINES
        self._refilled_s = now_s

    def try_take(self, now_s: float) -> bool:
        refill = (now_s - self._refilled_s) * LINES_PER_S
        self._refilled_s = now_s
        self._tokens = min(BURST_LINES, self._tokens + refill)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@final
class BoundedWriter:
    """Writes lines without blocking, and counts and reports the lines that it drops.

    ``write`` and ``flush`` are those of a text stream. Bytes that the descriptor does
    not accept at once are buffered up to ``MAX_PENDING_BYTES``; the next flush tries
    them again.
    """

    def __init__(self, *, fileno: int, now_s: Clock) -> None:
        self.dropped = 0
        self._fileno = fileno
        self._now_s = now_s
        self._pending = bytearray()
        self._request_bucket = _TokenBucket(now_s())
        self._other_bucket = _TokenBucket(now_s())
        self._reported = 0
        os.set_blocking(fileno, False)

    def write(self, text: str) -> int:
        """Add one line to the buffer, or drop it.

        Lines with a request id and all other lines have separate rate limits, so that
        a burst of refusals does not displace the line that gives their cause.
        """
        bucket = self._request_bucket if REQUEST_FIELD in text else self._other_bucket
        is_allowed = bucket.try_take(self._now_s())
        if not is_allowed or len(self._pending) > MAX_PENDING_BYTES:
            self.dropped += 1
            return len(text)
        if self.dropped > self._reported:
            self._pending += self._dropped_notice()
        self._pending += text.encode()
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self._pending:
            try:
                written = os.write(self._fileno, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, so the buffer can't be delivered.
                self._pending.clear()
                return
            del self._pending[:written]

    def _dropped_notice(self) -> bytes:
        unreported = self.dropped - self._reported
        self._reported = self.dropped
        return b'{"level":"WARNING","message":"log lines left out","lines":%d}\n' % (
            unreported
        )
