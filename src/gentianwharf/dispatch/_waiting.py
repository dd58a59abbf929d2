"""The order of the requests that wait for a slot of one subject.

Requests are ordered by priority; within a priority callers take turns, and requests of
one turn are ordered by deadline. Each request is put into the next turn in which its
caller has no request yet, where requests in flight count as turns that the caller has
had. A caller that retries three times as often as others thus gets no larger share.

Each lower priority gets at least every eighth slot, so that it is never starved.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import final

from ._types import SlotRequest

GRANTS_PER_TURN = 8
"""Each priority that waits gets at least one of this many grants."""

TABLE_SLACK = 64
"""Outdated entries that a table may contain before it is cleaned up."""


@final
@dataclass(kw_only=True, slots=True, eq=False)
class WaitingRequest:
    """A queued request; ``work_s`` is its usual service time.

    After ``latest_start_s`` an answer is no longer useful.
    """

    number: int
    host: str
    request: SlotRequest
    work_s: float
    arrived_s: float
    is_waiting: bool = False
    latest_start_s: float = field(init=False)
    deadline_at_s: float = field(init=False)

    def __post_init__(self) -> None:
        request = self.request
        fits_s = request.deadline_s - request.work_s
        self.latest_start_s = self.arrived_s + min(request.max_wait_s, fits_s)
        self.deadline_at_s = self.arrived_s + request.deadline_s


Entry = tuple[int, float, int, WaitingRequest]


@final
@dataclass(slots=True, eq=False)
class _Level:
    """The waiting requests of one priority; ``skipped`` counts grants of others."""

    heap: list[Entry] = field(default_factory=list)
    next_turns: dict[int, int] = field(default_factory=dict)
    turn: int = 0
    count: int = 0
    work_s: float = 0.0
    skipped: int = 0


@final
class WaitingLine:
    """The waiting requests of one subject, and what its callers have in flight."""

    def __init__(self) -> None:
        self._levels: dict[int, _Level] = {}
        self._in_flight: dict[int, int] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def push(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        request = waiting.request
        level = self._level(request.priority)
        caller = request.caller
        turn = level.turn + 1 + self._in_flight.get(caller, 0)
        turn = max(turn, level.next_turns.get(caller, 0))
        level.next_turns[caller] = turn + 1
        entry = (turn, waiting.deadline_at_s, waiting.number, waiting)
        heappush(level.heap, entry)
        level.count += 1
        level.work_s += waiting.work_s
        self._count += 1
        waiting.is_waiting = True
        if len(level.next_turns) > 2 * level.count + TABLE_SLACK:
            level.next_turns = {
                caller: turn
                for caller, turn in level.next_turns.items()
                if turn > level.turn + 1
            }

    def peek(self) -> WaitingRequest | None:
        """Return the request that gets the next slot, None if none waits."""
        priority = self._next_priority()
        if priority is None:
            return None
        heap = self._levels[priority].heap
        while not heap[0][3].is_waiting:
            heappop(heap)
        return heap[0][3]

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request that was granted, refused or withdrawn."""
        if not waiting.is_waiting:
            return
        waiting.is_waiting = False
        level = self._levels[waiting.request.priority]
        level.count -= 1
        level.work_s = max(0.0, level.work_s - waiting.work_s)
        self._count -= 1
        if level.heap[0][3] is waiting:
            level.turn = heappop(level.heap)[0]
        if not level.count:
            level.heap.clear()
            level.next_turns.clear()
            level.turn, level.work_s = 0, 0.0
        elif len(level.heap) > 2 * level.count + TABLE_SLACK:
            level.heap = [entry for entry in level.heap if entry[3].is_waiting]
            heapify(level.heap)

    def note_grant(self, request: SlotRequest) -> None:
        """Count a grant for the turns of callers and priorities."""
        caller = request.caller
        self._in_flight[caller] = self._in_flight.get(caller, 0) + 1
        for priority, level in self._levels.items():
            if priority == request.priority:
                level.skipped = 0
            else:
                level.skipped = min(GRANTS_PER_TURN, level.skipped + 1)

    def note_end(self, request: SlotRequest) -> None:
        """Count the end of a granted request."""
        remaining = self._in_flight.get(request.caller, 0) - 1
        if remaining > 0:
            self._in_flight[request.caller] = remaining
        else:
            self._in_flight.pop(request.caller, None)

    def work_before_s(self, priority: int) -> float:
        """Return the work of the waiting requests of this or a higher priority."""
        return sum(
            level.work_s for key, level in self._levels.items() if key <= priority
        )

    def grants_before(self, priority: int) -> int:
        """Return after how many grants a new request is served at the latest."""
        level = self._level(priority)
        first = max(0, GRANTS_PER_TURN - 1 - level.skipped)
        return first + GRANTS_PER_TURN * level.count

    def by_priority(self) -> Iterator[tuple[int, list[WaitingRequest]]]:
        """Return the waiting requests of each priority, in their order."""
        for priority in sorted(self._levels):
            entries = sorted(self._levels[priority].heap)
            yield priority, [entry[3] for entry in entries if entry[3].is_waiting]

    def counts(self) -> dict[int, int]:
        """Return the number of waiting requests of each priority."""
        return {key: level.count for key, level in self._levels.items() if level.count}

    def _level(self, priority: int) -> _Level:
        level = self._levels.get(priority)
        if level is None:
            level = self._levels[priority] = _Level()
        return level

    def _next_priority(self) -> int | None:
        waiting = [key for key, level in self._levels.items() if level.count]
        if not waiting:
            return None
        first = min(waiting)
        # Several priorities whose turn it is are served one after the other.
        limit = GRANTS_PER_TURN - max(1, len(waiting) - 1)
        due = [
            (-self._levels[key].skipped, key)
            for key in waiting
            if key != first and self._levels[key].skipped >= limit
        ]
        return min(due)[1] if due else first
