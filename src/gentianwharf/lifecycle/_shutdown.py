"""The graceful shutdown of a daemon.

A planned stop cuts no request off. Readiness turns false at once; for the balancer's
notice time requests are still served, since it goes on sending until it has noticed;
then nothing new is accepted, and what is in flight gets its whole answer.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, Protocol, final

from automat import TypeMachineBuilder, pep614
from twisted.internet.interfaces import IDelayedCall

from gentianwharf.logs import log

# Connections without a request are closed at this pace until none is left.
CLOSE_EVERY_S = 0.1


class Phase(StrEnum):
    """How far the shutdown is."""

    SERVING = "serving"
    NOTICE = "notice"
    DRAINING = "draining"
    ENDED = "ended"


class Drained(Protocol):
    """What is shut down."""

    def turn_unready(self) -> None:
        """Say to the balancer that no new requests are wanted."""

    def stop_accepting(self) -> None:
        """Close the listening port and idle connections."""

    def in_flight(self) -> list[str]:
        """Return the ids of the requests that are being served."""

    def open_connections(self) -> int:
        """Return how many callers' connections are open."""

    def hand_over(self, done: Callable[[], None]) -> None:
        """Give up what other hosts should take, then call ``done``."""

    def end(self) -> None:
        """Leave the process."""


class _Machine(Protocol):
    def asked(self) -> None:
        """Begin the stop."""

    def noticed(self) -> None:
        """End the balancer's time."""

    def emptied(self) -> None:
        """End: nothing is in flight and everything is handed over."""

    def cut(self) -> None:
        """End at once: the limit has come, or the stop was asked for again."""


@final
class Shutdown:
    """Runs a shutdown on the loop's clock.

    ``notice_s`` is how long the balancer may go on sending after readiness turned
    false, ``limit_s`` how long the whole may take; the log names each request that
    the limit cuts off.
    """

    def __init__(
        self, *, drained: Drained, clock: Any, notice_s: float, limit_s: float
    ) -> None:
        self.phase = Phase.SERVING
        self._drained = drained
        self._clock = clock
        self._notice_s = notice_s
        self._limit_s = limit_s
        self._handed_over = False
        self._calls: list[IDelayedCall] = []
        self._machine = _build(self)

    def ask(self) -> None:
        """Begin the shutdown; a second call ends it at once."""
        if self.phase is Phase.SERVING:
            self._machine.asked()
        else:
            self._machine.cut()

    def begin(self) -> None:
        """Turn unready and give the balancer its time."""
        self.phase = Phase.NOTICE
        log.info("shutdown: notice", extra={"notice_s": self._notice_s})
        self._drained.turn_unready()
        self._later(self._notice_s, self._machine.noticed)
        self._later(self._limit_s, self._machine.cut)

    def drain(self) -> None:
        """Accept nothing more, hand over, and wait for what is in flight."""
        self.phase = Phase.DRAINING
        log.info("shutdown: draining", extra={"in_flight": len(self._in_flight())})
        self._drained.hand_over(self._note_handed_over)
        self._look()

    def finish(self) -> None:
        """Leave: nothing is in flight."""
        log.info("shutdown: done")
        self._end()

    def abandon(self) -> None:
        """Leave although requests are in flight, naming each."""
        for request_id in self._in_flight():
            log.error(
                "request cut off",
                extra={
                    "request_id": request_id,
                    "step": "shutdown",
                    "peer": "caller",
                },
            )
        self._end()

    def _end(self) -> None:
        self.phase = Phase.ENDED
        for call in self._calls:
            if call.active():
                call.cancel()
        self._drained.end()

    def _look(self) -> None:
        if self.phase is not Phase.DRAINING:
            return
        self._drained.stop_accepting()
        # An answer that is finished may still wait in its connection's buffer: the
        # process must not end before the connection has sent it and closed.
        busy = self._in_flight() or self._drained.open_connections()
        if not busy and self._handed_over:
            self._machine.emptied()
            return
        self._later(CLOSE_EVERY_S, self._look)

    def _note_handed_over(self) -> None:
        self._handed_over = True

    def _in_flight(self) -> list[str]:
        return self._drained.in_flight()

    def _later(self, delay_s: float, call: Callable[[], None]) -> None:
        self._calls.append(self._clock.callLater(delay_s, call))


def _build(shutdown: Shutdown) -> _Machine:
    builder = TypeMachineBuilder(_Machine, Shutdown)
    serving = builder.state("serving")
    notice = builder.state("notice")
    draining = builder.state("draining")
    ended = builder.state("ended")

    @pep614(serving.upon(_Machine.asked).to(notice))
    def begin(inputs: _Machine, core: Shutdown) -> None:
        core.begin()

    @pep614(notice.upon(_Machine.noticed).to(draining))
    def drain(inputs: _Machine, core: Shutdown) -> None:
        core.drain()

    @pep614(draining.upon(_Machine.emptied).to(ended))
    def finish(inputs: _Machine, core: Shutdown) -> None:
        core.finish()

    @pep614(notice.upon(_Machine.cut).to(ended))
    @pep614(draining.upon(_Machine.cut).to(ended))
    def abandon(inputs: _Machine, core: Shutdown) -> None:
        core.abandon()

    ended.upon(_Machine.cut).loop().returns(None)
    return builder.build()(shutdown)
