"""The writes of repeated requests that may still arrive at their servers.

Load pattern: a link holds what is written to servers, is cut for seconds, and then
delivers everything at once, together with what hosts have written since. A bound on
what is written within a window does not bound what arrives within one.

A write is confirmed once it is known to have arrived: by its answer, or by an answer to
a later request that took the same path. Until then it may arrive at any moment. A
request that is written several times arrives once as a first one, whichever write that
is, and all others are repeats.

>>> writes = UnconfirmedWrites(window_s=10.0)
>>> writes.add("1", "seats", path="seats-1", now_s=0.0)
>>> writes.add("1", "seats", path="seats-2", now_s=1.0)
>>> writes.confirm("1", path="seats-2", now_s=1.5)
>>> writes.repeats("seats", 20.0)
1
>>> writes.confirm_path("seats-1", until_s=2.0, now_s=20.0)
>>> writes.repeats("seats", 29.9), writes.repeats("seats", 30.0)
(1, 0)
"""

from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from typing import final

MAX_HELD_S = 30.0
"""Time after which a write that is not confirmed is taken for lost."""


@final
@dataclass(eq=False, kw_only=True, slots=True)
class _Request:
    service: str
    writes: "list[_Write]" = field(default_factory=list)
    confirmed: int = 0


@final
@dataclass(eq=False, kw_only=True, slots=True)
class _Write:
    request: _Request
    path: str
    written_s: float
    is_confirmed: bool = False


@final
class UnconfirmedWrites:
    """Counts the repeats that may arrive from now on, or arrived within a window.

    A path is the way to a server: two writes on it arrive in their order. ``discard``
    has to be called once no more writes of a request follow.
    """

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self._requests: dict[str, _Request] = {}
        """The requests that are being served, by id."""
        self._by_path: dict[str, deque[_Write]] = {}
        """Writes of repeated requests, in their order."""
        self._oldest: deque[_Write] = deque()
        self._unconfirmed: Counter[str] = Counter()
        self._arrived_s: dict[str, deque[float]] = defaultdict(deque)
        """When repeats were confirmed, by service."""

    def add(self, request_id: str, service: str, *, path: str, now_s: float) -> None:
        """Record that a request is written."""
        request = self._requests.get(request_id)
        if request is None:
            request = self._requests[request_id] = _Request(service=service)
        request.writes.append(_Write(request=request, path=path, written_s=now_s))
        if len(request.writes) == 1:
            return
        self._unconfirmed[request.service] += 1
        if len(request.writes) == 2:
            self._watch(request.writes[0])
        self._watch(request.writes[-1])

    def _watch(self, write: _Write) -> None:
        if not write.is_confirmed:
            self._by_path.setdefault(write.path, deque()).append(write)
            self._oldest.append(write)

    def withdraw(self, request_id: str) -> None:
        """Record that no byte of the last write of a request was sent."""
        request = self._requests.get(request_id)
        if request is None:
            return
        write = request.writes.pop()
        write.is_confirmed = True
        if request.writes:
            self._unconfirmed[request.service] -= 1

    def confirm(self, request_id: str, *, path: str, now_s: float) -> None:
        """Record that the writes of a request on a path have arrived."""
        request = self._requests.get(request_id)
        if request is None:
            return
        for write in request.writes:
            if write.path == path:
                self._confirm(write, now_s)

    def confirm_path(self, path: str, *, until_s: float, now_s: float) -> None:
        """Record that everything has arrived that was written until then."""
        writes = self._by_path.get(path)
        while writes and writes[0].written_s <= until_s:
            self._confirm(writes.popleft(), now_s)
        if writes is not None and not writes:
            del self._by_path[path]

    def _confirm(self, write: _Write, now_s: float) -> None:
        if write.is_confirmed:
            return
        write.is_confirmed = True
        request = write.request
        request.confirmed += 1
        if request.confirmed > 1:
            self._unconfirmed[request.service] -= 1
            self._arrived_s[request.service].append(now_s)

    def discard(self, request_id: str) -> None:
        """Forget the id of a request; what was written still counts."""
        self._requests.pop(request_id, None)

    def tick(self, now_s: float) -> None:
        """Give up writes that are not confirmed in time."""
        oldest = self._oldest
        while oldest and (
            oldest[0].is_confirmed or oldest[0].written_s <= now_s - MAX_HELD_S
        ):
            write = oldest.popleft()
            self._confirm(write, now_s)
            writes = self._by_path.get(write.path)
            while writes and writes[0].is_confirmed:
                writes.popleft()
            if writes is not None and not writes:
                del self._by_path[write.path]

    def repeats(self, service: str, now_s: float) -> int:
        """Return how many repeats may arrive, or arrived within the last window."""
        arrived_s = self._arrived_s[service]
        while arrived_s and arrived_s[0] <= now_s - self._window_s:
            arrived_s.popleft()
        return self._unconfirmed[service] + len(arrived_s)

    def unconfirmed(self, service: str) -> int:
        """Return how many repeats may still arrive."""
        return self._unconfirmed[service]

    def all_unconfirmed(self) -> dict[str, int]:
        """Return how many repeats may still arrive, by service, without zeros."""
        return {name: count for name, count in self._unconfirmed.items() if count}

    def unconfirmed_paths(self, service: str, *, before_s: float) -> list[str]:
        """Return the paths with unconfirmed writes from before, the oldest first."""
        paths: dict[str, None] = {}
        for write in self._oldest:
            if write.written_s > before_s:
                break
            if not write.is_confirmed and write.request.service == service:
                paths[write.path] = None
        return list(paths)
