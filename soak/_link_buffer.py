"""What a link keeps while it holds, and delivers later."""

from collections import deque
from collections.abc import Callable
from typing import final


@final
class LinkBuffer:
    """Delivers data and closes at once, or in their order after a hold.

    Whoever sends notices nothing: connections open, and bytes are acknowledged.

    >>> delivered = []
    >>> link = LinkBuffer()
    >>> link.hold()
    >>> link.carry(lambda: delivered.append("first"))
    >>> link.carry(lambda: delivered.append("second"))
    >>> delivered
    []
    >>> link.release(), delivered
    (2, ['first', 'second'])
    """

    def __init__(self) -> None:
        self._is_holding = False
        self._held: deque[Callable[[], None]] = deque()

    def carry(self, deliver: Callable[[], None]) -> None:
        """Deliver now, or once the link does not hold."""
        if self._is_holding:
            self._held.append(deliver)
        else:
            deliver()

    def hold(self) -> None:
        """Keep everything from now on."""
        self._is_holding = True

    def release(self) -> int:
        """Deliver what was kept; return how many pieces it was."""
        self._is_holding = False
        count = len(self._held)
        while self._held:
            self._held.popleft()()
        return count
