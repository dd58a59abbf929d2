"""One or two concurrent attempts of a request, of which the first response is used.

A consultation whose response is late may be hedged: sent a second time, to another
server or, where a shard has only one owner, to the same server on a new connection.
The attempt that loses is aborted, so that its response can't be read as that of another
request.
"""

from typing import Any, final

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure
from twisted.web._newclient import Response

from gentianwharf.runs import RunStatus

from ._attempt import Attempt, run_attempt
from ._attempt_errors import AttemptError, LostError
from ._ports import Admission, Outcome, Ticket


@final
class Race:
    """Runs attempts until one has a response or all have failed."""

    def __init__(self, *, ticket: Ticket, admission: Admission) -> None:
        self._ticket = ticket
        self._admission = admission
        self._running: dict[Attempt, Deferred[Any]] = {}
        self._winner: Deferred[tuple[Attempt, Response]] = Deferred(
            lambda _: self.abort()
        )
        self.decided = False
        self.lost_attempts = 0
        self._was_sent = False

    @property
    def is_sent(self) -> bool:
        """Whether a server may have received the request and has not refused it."""
        return self._was_sent or any(attempt.is_sent for attempt in self._running)

    @property
    def possible_runs(self) -> int:
        """How many attempts are in flight or may have run."""
        return len(self._running) + self.lost_attempts

    def start(self, attempt: Attempt) -> None:
        """Start an attempt alongside those that are running."""
        if self.decided:
            self._admission.finished(
                self._ticket, attempt.server, Outcome.CANCELLED, 0.0
            )
            return
        done = run_attempt(attempt)
        self._running[attempt] = done
        done.addCallbacks(
            self._succeeded,
            self._failed,
            callbackArgs=(attempt,),
            errbackArgs=(attempt,),
        )

    async def winner(self) -> tuple[Attempt, Response]:
        """Return the first attempt with a response; raises the last attempt's error."""
        return await self._winner

    def recall(self) -> None:
        """Give up all attempts; their servers may have run the request."""
        for attempt in list(self._running):
            attempt.abort()

    def abort(self) -> None:
        """Cancel every attempt."""
        self.decided = True
        for attempt, done in list(self._running.items()):
            done.cancel()
            attempt.abort()

    def _succeeded(self, response: Response, attempt: Attempt) -> None:
        self._running.pop(attempt, None)
        self._was_sent = True
        if self.decided:
            # Both responses arrived in the same iteration of the event loop.
            attempt.abort()
            self._report_finished(attempt, Outcome.CANCELLED)
            return
        self.decided = True
        attempt.outcome = Outcome.ANSWERED
        for other in list(self._running):
            if other.server == attempt.server and other.is_reused:
                # A new connection works while an older one to the same server does
                # not: a middlebox has dropped the state of the older one.
                attempt.retire_connections()
        self.abort()
        self._winner.callback((attempt, response))

    def _failed(self, failure: Failure, attempt: Attempt) -> None:
        self._running.pop(attempt, None)
        error = failure.value
        if isinstance(error, LostError):
            self.lost_attempts += 1
        is_not_run = (
            isinstance(error, AttemptError) and error.problem.run is RunStatus.NOT_RUN
        )
        if attempt.is_sent and not is_not_run:
            self._was_sent = True
        if isinstance(error, AttemptError):
            self._report_finished(attempt, error.outcome, error.retry_after_s)
        else:
            self._report_finished(attempt, Outcome.CANCELLED)
        if self.decided or self._running:
            return
        self.decided = True
        if failure.check(CancelledError):
            return
        self._winner.errback(failure)

    def _report_finished(
        self, attempt: Attempt, outcome: Outcome, retry_after_s: float | None = None
    ) -> None:
        attempt.outcome = outcome
        self._admission.finished(
            self._ticket, attempt.server, outcome, attempt.elapsed_s, retry_after_s
        )
