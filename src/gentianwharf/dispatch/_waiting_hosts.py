"""The waiting requests of each host at this dispatcher, and when to confirm them.

A host learns from a missing confirmation that the dispatcher is lost, and asks another.
"""

from collections.abc import Callable, Iterator
from typing import final

from ._types import SlotAnswer, SlotWaiting

HEARTBEAT_INTERVAL_S = 0.2
"""Interval of messages to a host with waiting requests that gets no others."""


@final
class WaitingHosts:
    """Waiting requests by host.

    >>> now = [0.0]
    >>> waiting = WaitingHosts(now_s=lambda: now[0])
    >>> waiting.note("h1", SlotWaiting(request_id=1))
    >>> waiting.note_sent("h1")
    >>> list(waiting.due())
    []
    >>> now[0] = 0.2
    >>> list(waiting.due())
    [('h1', (1,))]
    """

    def __init__(self, *, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._ids: dict[str, set[int]] = {}
        self._sent_s: dict[str, float] = {}

    def note(self, host: str, answer: SlotAnswer) -> None:
        """Apply an answer to a host."""
        if isinstance(answer, SlotWaiting):
            self._ids.setdefault(host, set()).add(answer.request_id)
        else:
            self.remove(host, answer.request_id)

    def note_sent(self, host: str) -> None:
        """Record that a host is sent a message now."""
        self._sent_s[host] = self._now_s()

    def remove(self, host: str, request_id: int) -> None:
        """Remove a request that no longer waits."""
        ids = self._ids.get(host)
        if ids is not None:
            ids.discard(request_id)
            if not ids:
                del self._ids[host]

    def ids(self, host: str) -> tuple[int, ...]:
        """Return the ids of a host's waiting requests."""
        return tuple(self._ids.get(host, ()))

    def drop_host(self, host: str) -> None:
        """Remove all requests of a host."""
        self._ids.pop(host, None)
        self._sent_s.pop(host, None)

    def clear(self) -> list[tuple[str, int]]:
        """Remove all requests, and return them with their hosts."""
        removed = [(host, number) for host, ids in self._ids.items() for number in ids]
        self._ids.clear()
        return removed

    def due(self) -> Iterator[tuple[str, tuple[int, ...]]]:
        """Yield each host that is due for a message, with its waiting requests."""
        due_s = self._now_s() - HEARTBEAT_INTERVAL_S
        for host, ids in list(self._ids.items()):
            if self._sent_s.get(host, 0.0) <= due_s:
                yield host, tuple(sorted(ids))
