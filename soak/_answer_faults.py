"""Sends answers of servers late, twice or in part."""

from collections.abc import Callable
from random import Random
from typing import final

SHARE = 0.08
"""Share of the answers that each kind of fault hits."""

STATUS_LINE = b"HTTP/1.1 "


@final
class AnswerFaults:
    """Disturbs whole answers on their way from a server, while ``is_active`` is true.

    An answer may be sent again in front of the next one on its connection, be sent
    twice at once, or be cut off in the middle.
    """

    def __init__(self, *, rng: Random, is_active: Callable[[], bool]) -> None:
        self.count = 0
        self._rng = rng
        self._is_active = is_active

    def disturb(self, last: bytes, answer: bytes) -> tuple[bytes, bool]:
        """Return what to send for an answer, and whether to close the connection.

        ``last`` is the answer before on the same connection, empty for the first.
        """
        number = self._rng.random()
        if not self._is_active() or not is_whole(answer) or number >= 3 * SHARE:
            return answer, False
        self.count += 1
        if number < SHARE:
            return last + answer, False
        if number < 2 * SHARE:
            return answer + answer, False
        return answer[: len(answer) // 2], True


def is_whole(data: bytes) -> bool:
    """Return whether data is one complete answer with a length."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator or not head.startswith(STATUS_LINE):
        return False
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return value.strip() == b"%d" % len(body)
    return False
