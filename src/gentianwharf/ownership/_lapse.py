"""Waits until nothing sent to a lost owner can run, so that a shard can be granted."""

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

ASK_INTERVAL_S = 0.1
"""Interval between requests for the longest deadlines. Later answers can only shorten
a wait."""

WAKE_MARGIN_S = 0.001
"""Delay added to the end of a wait, so that rounding cannot wake it too early."""


@final
class Lapses:
    """Tracks the ends of the waits for lost owners of one service.

    ``wake`` is called at the end of a wait instead of at the next tick, which could
    add up to 50 ms to the time until a key is served again.
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
        self._scheduled_s: set[float] = set()
        self._waiting_moves: dict[str, dict[int, Move]] = defaultdict(dict)
        self._asked_s: dict[str, float] = {}

    def has_lapsed(
        self, move: Move, holder: str, announcement: Announcement, *, latest_s: float
    ) -> bool:
        """Whether nothing that was sent to ``holder`` can still run.

        ``latest_s`` is the time at which that is certain without asking witnesses.
        """
        now_s = self._context.now_s
        if not announcement.older_rights_expired(now_s):
            if announcement.complete_since_s is not None:
                self._wake_at(announcement.complete_since_s + RIGHT_WAIT_S)
            return False
        server = self._context.servers[holder]
        if holder != move.entry.owner or (server.knows_validity and server.gives_stamp):
            return True
        # A server that checks only tokens may resume after a freeze and run buffered
        # requests under the old token. Only the requests' own deadlines prevent that.
        end_s = min(latest_s, self._end_s(move, server, announcement))
        if now_s >= end_s:
            return True
        self._wake_at(end_s)
        return False

    def _end_s(
        self, move: Move, server: BackendServer, announcement: Announcement
    ) -> float:
        """Return the end of the longest deadline that is known so far."""
        assert announcement.complete_since_s is not None
        short_s = announcement.complete_since_s + RIGHT_WAIT_S + DEADLINE_PAST_RIGHT_S
        if move.longest_deadline_s > short_s:
            self._waiting_moves[server.domain][move.shard] = move
        return max(short_s, move.longest_deadline_s) + WALL_CLOCK_SKEW_S

    def ask(self) -> None:
        """Ask the witnesses for the deadlines that moves are waiting for.

        This happens only after every right under the older version has ended: any
        request still in transit to a server was allowed before this.
        """
        now_s = self._context.now_s
        waiting, self._waiting_moves = self._waiting_moves, defaultdict(dict)
        for domain, moves in waiting.items():
            if now_s < self._asked_s.get(domain, float("-inf")) + ASK_INTERVAL_S:
                self._wake_at(self._asked_s[domain] + ASK_INTERVAL_S)
                continue
            self._asked_s[domain] = now_s
            self._asker.ask(
                domain=domain,
                service=self._service,
                wanted_s=dict.fromkeys(moves, 0.0),
                settled=partial(self._apply_ends, moves),
            )

    def _apply_ends(
        self, moves: Mapping[int, Move], ends_s: Mapping[int, float]
    ) -> None:
        for shard, move in moves.items():
            move.longest_deadline_s = min(
                move.longest_deadline_s, ends_s.get(shard, float("inf"))
            )
        self._wake()

    def _wake_at(self, time_s: float) -> None:
        now_s = self._context.now_s
        if time_s in self._scheduled_s:
            return
        self._scheduled_s.add(time_s)
        delay_s = max(0.0, time_s - now_s) + WAKE_MARGIN_S
        self._context.clock.callLater(delay_s, self._run_wake, time_s)

    def _run_wake(self, time_s: float) -> None:
        self._scheduled_s.discard(time_s)
        self._wake()
