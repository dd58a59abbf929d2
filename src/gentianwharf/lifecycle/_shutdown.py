"""The graceful shutdown of a daemon.

A planned stop cuts no request off. Readiness turns false at once; for the balancer's
notice time requests are still served, since it goes on sending until it has noticed;
then nothing new is accepted, and what is in flight gets its whole answer. Requests that
are still in flight shortly before the time limit get a final answer that says whether
they may have run.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, Protocol, final

from automat import TypeMachineBuilder, pep614
from twisted.internet.interfaces import IDelayedCall

from gentianwharf.logs import log

# Connections without a request are closed at this pace until none is left.
CLOSE_EVERY_S = 0.1
# Lead time before the limit, so that final answers are sent before the process ends.
FINAL_ANSWERS_LEAD_S = 0.2


class Phase(StrEnum):
    """How far the shutdown is."""

    SERVING = "serving"
    NOTICE = "notice"
    DRAINING = "draining"
    ANSWERING = "answering"
    ENDED = "ended"


class ShutdownTarget(Protocol):
    """What is shut down."""

    def mark_unready(self) -> None:
        """Say to the balancer that no new requests are wanted."""

    def stop_accepting(self) -> None:
        """Close the listening port and idle connections."""

    def in_flight(self) -> list[str]:
        """Return the ids of the requests that are being served."""

    def open_connections(self) -> int:
        """Return how many callers' connections are open."""

    def answer_in_flight(self) -> None:
        """Send a final answer to each request in flight, and refuse new ones."""

    def hand_over(self, done: Callable[[], None]) -> None:
        """Give up what other hosts should take, then call ``done``."""

    def end(self) -> None:
        """Leave the process."""


class _Machine(Protocol):
    def asked(self) -> None:
        """Begin the stop."""

    def noticed(self) -> None:
        """End the balancer's time."""

    def limit_approaching(self) -> None:
        """Send final answers: the limit is ``FINAL_ANSWERS_LEAD_S`` away."""

    def emptied(self) -> None:
        """End: nothing is in flight and everything is handed over."""

    def cut(self) -> None:
        """End at once: the limit has come, or the stop was asked for again."""


@final
class Shutdown:
    """Runs a shutdown on the loop's clock.

    ``notice_s`` is how long the balancer may go on sending after readiness turned
    false, ``limit_s`` how long the whole may take; the log names each request that
    is still in flight when final answers are sent.
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
        """Begin the shutdown; a second call ends it at once."""
        if self.phase is Phase.SERVING:
            self._machine.asked()
        else:
            self._machine.cut()

    def begin(self) -> None:
        """Turn unready and give the balancer its time."""
        self.phase = Phase.NOTICE
        log.info("shutdown: notice", extra={"notice_s": self._notice_s})
        self._target.mark_unready()
        self._later(self._notice_s, self._machine.noticed)
        final_answers_s = self._limit_s - FINAL_ANSWERS_LEAD_S
        self._later(final_answers_s, self._machine.limit_approaching)
        self._later(self._limit_s, self._machine.cut)

    def drain(self) -> None:
        """Accept nothing more, hand over, and wait for what is in flight."""
        self.phase = Phase.DRAINING
        log.info("shutdown: draining", extra={"in_flight": len(self._in_flight())})
        self._hand_over_and_wait()

    def finish(self) -> None:
        """Leave: nothing is in flight."""
        log.info("shutdown: done")
        self._end()

    def answer(self) -> None:
        """Answer the requests in flight, and wait until the answers are sent."""
        was_draining = self.phase is Phase.DRAINING
        self.phase = Phase.ANSWERING
        self._answer_in_flight()
        if not was_draining:
            self._hand_over_and_wait()

    def abandon(self) -> None:
        """End at once; final answers may not be delivered."""
        self._answer_in_flight()
        self._end()

    def _hand_over_and_wait(self) -> None:
        self._target.hand_over(self._note_handed_over)
        self._look()

    def _answer_in_flight(self) -> None:
        """Log each request in flight as cut off, and send final answers."""
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

    def _look(self) -> None:
        if self.phase not in (Phase.DRAINING, Phase.ANSWERING):
            return
        self._target.stop_accepting()
        # An answer that is finished may still wait in its connection's buffer: the
        # process must not end before the connection has sent it and closed.
        busy = self._in_flight() or self._target.open_connections()
        if not busy and self._handed_over:
            self._machine.emptied()
            return
        self._later(CLOSE_EVERY_S, self._look)

    def _note_handed_over(self) -> None:
        self._handed_over = True

    def _in_flight(self) -> list[str]:
        return self._target.in_flight()

    def _later(self, delay_s: float, call: Callable[[], None]) -> None:
        self._calls.append(self._clock.callLater(delay_s, call))


def _build(shutdown: Shutdown) -> _Machine:
    builder = TypeMachineBuilder(_Machine, Shutdown)
    serving = builder.state("serving")
    notice = builder.state("notice")
    draining = builder.state("draining")
    answering = builder.state("answering")
    ended = builder.state("ended")

    @pep614(serving.upon(_Machine.asked).to(notice))
    def begin(inputs: _Machine, core: Shutdown) -> None:
        core.begin()

    @pep614(notice.upon(_Machine.noticed).to(draining))
    def drain(inputs: _Machine, core: Shutdown) -> None:
        core.drain()

    @pep614(notice.upon(_Machine.limit_approaching).to(answering))
    @pep614(draining.upon(_Machine.limit_approaching).to(answering))
    def answer(inputs: _Machine, core: Shutdown) -> None:
        core.answer()

    @pep614(draining.upon(_Machine.emptied).to(ended))
    @pep614(answering.upon(_Machine.emptied).to(ended))
    def finish(inputs: _Machine, core: Shutdown) -> None:
        core.finish()

    @pep614(notice.upon(_Machine.cut).to(ended))
    @pep614(draining.upon(_Machine.cut).to(ended))
    @pep614(answering.upon(_Machine.cut).to(ended))
    def abandon(inputs: _Machine, core: Shutdown) -> None:
        core.abandon()

    ended.upon(_Machine.cut).loop().returns(None)
    return builder.build()(shutdown)
