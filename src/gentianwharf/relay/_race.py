"""One or two legs of the same request, the first answer of which counts.

A consultation whose answer is late may be sent a second time, to another server or,
where a shard has one owner only, to the same one on a new connection. The leg that
loses is aborted, so that its answer can never be read as another's.
"""

from typing import Any, final

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure
from twisted.web._newclient import Response

from ._leg import Leg, LegError, LostError, run_leg
from ._ports import Admission, Outcome, Ticket


@final
class Race:
    """Runs legs until one has an answer or all have failed."""

    def __init__(self, *, ticket: Ticket, admission: Admission) -> None:
        self._ticket = ticket
        self._admission = admission
        self._running: dict[Leg, Deferred[Any]] = {}
        self._won: Deferred[tuple[Leg, Response]] = Deferred(lambda _: self.abort())
        self.decided = False
        self.lost_legs = 0

    @property
    def is_sent(self) -> bool:
        """Whether a server may have received the request and has not answered it."""
        return self.lost_legs > 0 or any(leg.is_sent for leg in self._running)

    def start(self, leg: Leg) -> None:
        """Begin a leg beside those that run."""
        if self.decided:
            self._admission.finished(self._ticket, leg.server, Outcome.CANCELLED, 0.0)
            return
        done = run_leg(leg)
        self._running[leg] = done
        done.addCallbacks(
            self._answered, self._failed, callbackArgs=(leg,), errbackArgs=(leg,)
        )

    async def winner(self) -> tuple[Leg, Response]:
        """Return the first leg with an answer; raises the last leg's error."""
        return await self._won

    def abort(self) -> None:
        """End every leg: the caller has gone."""
        self.decided = True
        for leg, done in list(self._running.items()):
            done.cancel()
            leg.abort()

    def _answered(self, response: Response, leg: Leg) -> None:
        self._running.pop(leg, None)
        if self.decided:
            # Both answered in the same turn of the loop.
            leg.abort()
            self._finish(leg, Outcome.CANCELLED)
            return
        self.decided = True
        for other in list(self._running):
            if other.server == leg.server and other.reused:
                # A new connection answers while an old one to the same server does
                # not: something between the two ends has lost track of the old one.
                leg.retire_silent_connections()
        self.abort()
        self._won.callback((leg, response))

    def _failed(self, failure: Failure, leg: Leg) -> None:
        self._running.pop(leg, None)
        error = failure.value
        if isinstance(error, LostError):
            self.lost_legs += 1
        if isinstance(error, LegError):
            self._finish(leg, error.outcome, error.shed_s)
        else:
            self._finish(leg, Outcome.CANCELLED)
        if self.decided or self._running:
            return
        self.decided = True
        if failure.check(CancelledError):
            return
        self._won.errback(failure)

    def _finish(
        self, leg: Leg, outcome: Outcome, retry_after_s: float | None = None
    ) -> None:
        self._admission.finished(
            self._ticket, leg.server, outcome, leg.elapsed_s, retry_after_s
        )
