"""Lines to a file descriptor that never block and have a ceiling.

A reader of the log that stops reading fills the pipe; a plain write would then stand
still, and every request with it. And under overload each refusal is a line: without a
ceiling the log would take a good part of the processor that requests need.
"""

import os
from collections.abc import Callable
from typing import final

LINES_PER_S = 100.0
"""Sustained; some 30 KB a second. A host refuses a hundred requests a second in a bad
overload, which then tell the same; what a line costs (30 us) is 0.3 % of a core."""

BURST_LINES = 400.0
"""What a change of the configuration, or the loss of a failure domain with all of its
servers, brings within a moment."""

MOST_WAITING_BYTES = 256 * 1024
"""Kept for a reader that is slow, some thousand lines; later ones are dropped."""

REQUEST_FIELD = '"request_id":'

Clock = Callable[[], float]


@final
class _Ceiling:
    """A token bucket of lines."""

    def __init__(self, now_s: float) -> None:
        self._allowed = BURST_LINES
        self._counted_s = now_s

    def take(self, now_s: float) -> bool:
        gained = (now_s - self._counted_s) * LINES_PER_S
        self._counted_s = now_s
        self._allowed = min(BURST_LINES, self._allowed + gained)
        if self._allowed < 1.0:
            return False
        self._allowed -= 1.0
        return True


@final
class BoundedWriter:
    """Writes lines while there is room, counts what it leaves out, and says so.

    ``write`` and ``flush`` are those of a text stream. Nothing waits: what the
    descriptor does not take is kept up to a limit and tried again with the next line.
    """

    def __init__(self, *, fileno: int, now_s: Clock) -> None:
        self.dropped = 0
        self._fileno = fileno
        self._now_s = now_s
        self._waiting = bytearray()
        self._requests = _Ceiling(now_s())
        self._others = _Ceiling(now_s())
        self._told = 0
        os.set_blocking(fileno, False)

    def write(self, text: str) -> int:
        """Take one line.

        Lines about requests, which name one, and all others have a ceiling each: in a
        burst of refusals the one line that tells why must not be left out.
        """
        ceiling = self._requests if REQUEST_FIELD in text else self._others
        is_allowed = ceiling.take(self._now_s())
        if not is_allowed or len(self._waiting) > MOST_WAITING_BYTES:
            self.dropped += 1
            return len(text)
        if self.dropped > self._told:
            self._waiting += self._told_line()
        self._waiting += text.encode()
        return len(text)

    def flush(self) -> None:
        """Hand on what the descriptor takes now."""
        while self._waiting:
            try:
                written = os.write(self._fileno, self._waiting)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good; there is nobody left to tell.
                self._waiting.clear()
                return
            del self._waiting[:written]

    def _told_line(self) -> bytes:
        missing = self.dropped - self._told
        self._told = self.dropped
        return b'{"level":"WARNING","message":"log lines left out","lines":%d}\n' % (
            missing
        )
