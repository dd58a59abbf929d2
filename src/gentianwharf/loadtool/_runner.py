"""Sends planned requests at their due time, independent of responses."""

from collections import deque
from collections.abc import Iterator
from typing import final

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from ._check_response import CheckResult, check_response
from ._plan import PlannedRequest
from ._sender import Sender, SendError
from ._tally import LoadTally

# The event loop's poll rounds time-outs up to whole milliseconds, which would delay
# requests by up to 1 ms. Within this time before a request is due, the loop polls
# without waiting.
SPIN_S = 0.002
# Short enough to be over by the next iteration of the loop. It is not 0, since the
# virtual clock of a test would never advance.
SPIN_STEP_S = 1e-6


@final
class LoadRun:
    """Sends the requests of a plan and adds their results to a tally.

    Elapsed time is measured from when a request was *due*. A request that waits for
    a free connection includes this wait: measuring from the moment of sending would
    hide the delay of those requests that a stall held up (coordinated omission).
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        sender: Sender,
        planned: Iterator[PlannedRequest],
        connections: int,
    ) -> None:
        self._clock = clock
        self._sender = sender
        self._planned = planned
        self._connections = connections
        self._next = next(planned, None)
        self._waiting: deque[PlannedRequest] = deque()
        self._in_flight = 0
        self._started_s = 0.0
        self._done: Deferred[None] = Deferred()
        self.tally = LoadTally()

    async def run(self) -> LoadTally:
        """Send all requests, wait for the last response and return the tally."""
        self._started_s = self._clock.seconds()
        self._send_due()
        await self._done
        self.tally.duration_s = self._clock.seconds() - self._started_s
        return self.tally

    def _send_due(self) -> None:
        now_s = self._clock.seconds() - self._started_s
        while self._next is not None and self._next.due_s <= now_s:
            self._waiting.append(self._next)
            self._next = next(self._planned, None)
        self._send_waiting()
        if self._next is None:
            self._finish_if_idle()
            return
        wait_s = self._next.due_s - now_s
        self._clock.callLater(max(wait_s - SPIN_S, SPIN_STEP_S), self._send_due)

    def _send_waiting(self) -> None:
        while self._waiting and self._in_flight < self._connections:
            self._in_flight += 1
            sending = Deferred.fromCoroutine(self._send(self._waiting.popleft()))
            sending.addErrback(self._done.errback)

    async def _send(self, request: PlannedRequest) -> None:
        sent_s = self._clock.seconds() - self._started_s
        try:
            result = check_response(request, await self._sender.send(request))
        except SendError as error:
            result = CheckResult(verdict=error.verdict, reason=str(error))
        done_s = self._clock.seconds() - self._started_s
        self.tally.add(
            request,
            result,
            elapsed_s=done_s - request.due_s,
            service_s=done_s - sent_s,
        )
        self._in_flight -= 1
        self._send_waiting()
        self._finish_if_idle()

    def _finish_if_idle(self) -> None:
        idle = self._next is None and not self._waiting and self._in_flight == 0
        if idle and not self._done.called:
            self._done.callback(None)
