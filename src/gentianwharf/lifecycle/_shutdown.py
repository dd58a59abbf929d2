"""The graceful shutdown of a daemon.

A planned stop interrupts no request. Readiness turns false immediately. During the
notice time requests are still served, since the load balancer continues to send until
its next readiness check, unless they may take longer than the time that is left. Then
no new connection or request is accepted, and the requests in flight are completed. A
request that is refused as not run is served by another host at once. Shortly
before the time limit, the remaining requests get a final response that states whether
they may have run.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, Protocol, final

from automat import TypeMachineBuilder, pep614
from twisted.internet.interfaces import IDelayedCall

from gentianwharf.logs import log

# Interval at which idle connections are closed until none is left.
CLOSE_INTERVAL_S = 0.1
# Final responses are sent this long before the limit, so that they are delivered before
# the process ends.
FINAL_RESPONSES_LEAD_S = 0.2


class Phase(StrEnum):
    """The phase of a shutdown."""

    SERVING = "serving"
    NOTICE = "notice"
    DRAINING = "draining"
    ANSWERING = "answering"
    ENDED = "ended"


class ShutdownTarget(Protocol):
    """The process that is shut down."""

    def mark_unready(self, *, answer_by_s: float) -> None:
        """Report to the load balancer that no new requests should be sent.

        Those that come all the same are accepted if they are answered by then.
        """

    def stop_accepting(self) -> None:
        """Close the listening port and idle connections, and refuse new requests."""

    def in_flight(self) -> list[str]:
        """Return the ids of the requests that are being served."""

    def open_connections(self) -> int:
        """Return the number of open callers' connections."""

    def answer_in_flight(self) -> None:
        """Send a final response to each request in flight, and refuse new ones."""

    def hand_over(self, done: Callable[[], None]) -> None:
        """Hand work over to other hosts, then call ``done``."""

    def end(self) -> None:
        """End the process."""


class _Machine(Protocol):
    def stop_requested(self) -> None:
        """Start the shutdown."""

    def notice_over(self) -> None:
        """End the notice time of the load balancer."""

    def limit_approaching(self) -> None:
        """Send final responses, ``FINAL_RESPONSES_LEAD_S`` before the limit."""

    def drained(self) -> None:
        """End, since nothing is in flight and everything is handed over."""

    def stop_now(self) -> None:
        """End immediately: the limit has passed or a stop was requested again."""


@final
class Shutdown:
    """Runs a shutdown on the clock of the event loop.

    ``notice_s`` is the time for which the load balancer may continue to send after
    readiness turned false, ``limit_s`` the limit for the whole shutdown. Each request
    that is still in flight when final responses are sent is logged.
    """

    def __init__(
        self, *, target: ShutdownTarget, clock: Any, notice_s: float, limit_s: float
    ) -> None:
        self.phase = Phase.SERVING
        self._target = target
        self._clock = clock
        self._notice_s = notice_s
        self._limit_s = limit_s
        self._handed_over = False
        self._calls: list[IDelayedCall] = []
        self._machine = _build(self)

    def request_stop(self) -> None:
        """Start the shutdown; a second call ends it immediately."""
        if self.phase is Phase.SERVING:
            self._machine.stop_requested()
        else:
            self._machine.stop_now()

    def begin(self) -> None:
        """Turn unready and start the notice time of the load balancer."""
        self.phase = Phase.NOTICE
        log.info("shutdown: notice", extra={"notice_s": self._notice_s})
        final_responses_s = self._limit_s - FINAL_RESPONSES_LEAD_S
        self._target.mark_unready(answer_by_s=self._clock.seconds() + final_responses_s)
        self._call_later(self._notice_s, self._machine.notice_over)
        self._call_later(final_responses_s, self._machine.limit_approaching)
        self._call_later(self._limit_s, self._machine.stop_now)

    def drain(self) -> None:
        """Stop accepting, hand over, and wait for the requests in flight."""
        self.phase = Phase.DRAINING
        log.info("shutdown: draining", extra={"in_flight": len(self._in_flight())})
        self._hand_over_and_wait()

    def finish(self) -> None:
        """End after the last request in flight."""
        log.info("shutdown: done")
        self._end()

    def answer(self) -> None:
        """Send final responses, and wait until they are delivered."""
        was_draining = self.phase is Phase.DRAINING
        self.phase = Phase.ANSWERING
        self._answer_in_flight()
        if not was_draining:
            self._hand_over_and_wait()

    def abandon(self) -> None:
        """End immediately; final responses may not be delivered."""
        self._answer_in_flight()
        self._end()

    def _hand_over_and_wait(self) -> None:
        self._target.hand_over(self._set_handed_over)
        self._check_drained()

    def _answer_in_flight(self) -> None:
        """Log each request in flight as cut off, and send final responses."""
        for request_id in self._in_flight():
            log.error(
                "request cut off",
                extra={
                    "request_id": request_id,
                    "step": "shutdown",
                    "peer": "caller",
                },
            )
        self._target.answer_in_flight()

    def _end(self) -> None:
        self.phase = Phase.ENDED
        for call in self._calls:
            if call.active():
                call.cancel()
        self._target.end()

    def _check_drained(self) -> None:
        if self.phase not in (Phase.DRAINING, Phase.ANSWERING):
            return
        self._target.stop_accepting()
        # A finished response may still be in the buffer of its connection. The process
        # must not end before the connection has sent it and closed.
        busy = self._in_flight() or self._target.open_connections()
        if not busy and self._handed_over:
            self._machine.drained()
            return
        self._call_later(CLOSE_INTERVAL_S, self._check_drained)

    def _set_handed_over(self) -> None:
        self._handed_over = True

    def _in_flight(self) -> list[str]:
        return self._target.in_flight()

    def _call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        self._calls.append(self._clock.callLater(delay_s, call))


def _build(shutdown: Shutdown) -> _Machine:
    builder = TypeMachineBuilder(_Machine, Shutdown)
    serving = builder.state("serving")
    notice = builder.state("notice")
    draining = builder.state("draining")
    answering = builder.state("answering")
    ended = builder.state("ended")

    @pep614(serving.upon(_Machine.stop_requested).to(notice))
    def begin(inputs: _Machine, core: Shutdown) -> None:
        core.begin()

    @pep614(notice.upon(_Machine.notice_over).to(draining))
    def drain(inputs: _Machine, core: Shutdown) -> None:
        core.drain()

    @pep614(notice.upon(_Machine.limit_approaching).to(answering))
    @pep614(draining.upon(_Machine.limit_approaching).to(answering))
    def answer(inputs: _Machine, core: Shutdown) -> None:
        core.answer()

    @pep614(draining.upon(_Machine.drained).to(ended))
    @pep614(answering.upon(_Machine.drained).to(ended))
    def finish(inputs: _Machine, core: Shutdown) -> None:
        core.finish()

    @pep614(notice.upon(_Machine.stop_now).to(ended))
    @pep614(draining.upon(_Machine.stop_now).to(ended))
    @pep614(answering.upon(_Machine.stop_now).to(ended))
    def abandon(inputs: _Machine, core: Shutdown) -> None:
        core.abandon()

    ended.upon(_Machine.stop_now).loop().returns(None)
    return builder.build()(shutdown)
