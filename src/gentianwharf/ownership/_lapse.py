"""When nothing sent to a lost owner can run any more, and a new one may be granted."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from functools import partial
from typing import final

from gentianwharf.topology import BackendServer

from ._announce import Announcement
from ._context import Context
from ._deadlines import DeadlineAsker
from ._move import Move
from ._timing import DEADLINE_PAST_RIGHT_S, RIGHT_WAIT_S, WALL_CLOCK_SKEW_S

ASK_EVERY_S = 0.1
"""Pause between questions for longer deadlines: later answers only shorten a wait."""

WAKE_LATE_S = 0.001
"""How much after its end a wait is looked at, so that no rounding falls before it."""


@final
class Lapses:
    """The ends of the waits for lost owners of one service.

    ``wake`` is called at the end of a wait, which need not fall on a tick: a tick's
    50 ms would otherwise be part of the time until a key is served again.
    """

    def __init__(
        self,
        *,
        context: Context,
        service: str,
        asker: DeadlineAsker,
        wake: Callable[[], None],
    ) -> None:
        self._context = context
        self._service = service
        self._asker = asker
        self._wake = wake
        self._wakes_s: set[float] = set()
        self._wanted: dict[str, dict[int, Move]] = defaultdict(dict)
        self._asked_s: dict[str, float] = {}

    def has_lapsed(
        self, move: Move, holder: str, announcement: Announcement, *, latest_s: float
    ) -> bool:
        """Whether nothing that was sent to ``holder`` can run any more.

        ``latest_s`` is when that is certain without asking anybody.
        """
        now_s = self._context.now_s
        if not announcement.has_lapsed(now_s):
            if announcement.stands_since_s is not None:
                self._wake_at(announcement.stands_since_s + RIGHT_WAIT_S)
            return False
        server = self._context.servers[holder]
        if holder != move.entry.owner or (server.knows_validity and server.gives_stamp):
            return True
        # A server that knows tokens alone may thaw and run what its buffers hold
        # under the old token; only the requests' own deadlines end that.
        end_s = min(latest_s, self._end_s(move, server, announcement))
        if now_s >= end_s:
            return True
        self._wake_at(end_s)
        return False

    def _end_s(
        self, move: Move, server: BackendServer, announcement: Announcement
    ) -> float:
        """Return when the longest deadline has passed, as far as it is known."""
        assert announcement.stands_since_s is not None
        short_s = announcement.stands_since_s + RIGHT_WAIT_S + DEADLINE_PAST_RIGHT_S
        if move.longest_deadline_s > short_s:
            self._wanted[server.domain][move.shard] = move
        return max(short_s, move.longest_deadline_s) + WALL_CLOCK_SKEW_S

    def ask(self) -> None:
        """Ask the witnesses for the deadlines that are waited for.

        Only after every right under the older version has ended: whatever may still
        be on its way to a server was allowed before this question.
        """
        now_s = self._context.now_s
        wanted, self._wanted = self._wanted, defaultdict(dict)
        for domain, moves in wanted.items():
            if now_s < self._asked_s.get(domain, float("-inf")) + ASK_EVERY_S:
                self._wake_at(self._asked_s[domain] + ASK_EVERY_S)
                continue
            self._asked_s[domain] = now_s
            self._asker.ask(
                domain=domain,
                service=self._service,
                wanted_s=dict.fromkeys(moves, 0.0),
                settled=partial(self._settled, moves),
            )

    def _settled(self, moves: Mapping[int, Move], ends_s: Mapping[int, float]) -> None:
        for shard, move in moves.items():
            move.longest_deadline_s = min(
                move.longest_deadline_s, ends_s.get(shard, float("inf"))
            )
        self._wake()

    def _wake_at(self, time_s: float) -> None:
        now_s = self._context.now_s
        if time_s in self._wakes_s:
            return
        self._wakes_s.add(time_s)
        delay_s = max(0.0, time_s - now_s) + WAKE_LATE_S
        self._context.clock.callLater(delay_s, self._woken, time_s)

    def _woken(self, time_s: float) -> None:
        self._wakes_s.discard(time_s)
        self._wake()
