"""Calls that come again and again, and survive a fault of one of them."""

from collections.abc import Callable, Coroutine
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from gentianwharf.logs import log


@final
class PeriodicCall:
    """One call at its interval, which it is asked for anew each time.

    A plain timer: ``LoopingCall`` builds and fires a ``Deferred`` each time, which
    costs more than most ticks of an idle daemon do.
    """

    def __init__(
        self, *, reactor: Any, interval_s: Callable[[], float], call: Callable[[], None]
    ) -> None:
        self._reactor = reactor
        self._interval_s = interval_s
        self._call = call
        self._due_s = float(reactor.seconds())
        self._timer: Any = None

    def start(self) -> None:
        """Call now, and at each interval."""
        self._due_s = self._reactor.seconds()
        self._run()

    def reschedule(self) -> None:
        """Let the next call come within the interval as it is asked for now."""
        if self._timer is None or not self._timer.active():
            return
        due_s = self._reactor.seconds() + self._interval_s()
        if due_s < self._due_s:
            self._due_s = due_s
            self._timer.reset(self._interval_s())

    def stop(self) -> None:
        """Call no more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _run(self) -> None:
        # First the next timer, so that the call itself may stop all.
        now_s = self._reactor.seconds()
        interval_s = self._interval_s()
        # From when this one was due, so that systems in step stay so and wake the
        # loop once; calls that a busy loop has missed are left out.
        self._due_s += interval_s
        if self._due_s <= now_s:
            self._due_s = now_s + interval_s
        self._timer = self._reactor.callLater(self._due_s - now_s, self._run)
        # A fault in one tick must not end the loop that renews every grant.
        try:
            self._call()
        except Exception:
            log.exception("tick failed")


@final
class PeriodicCalls:
    """Runs systems at their intervals on one loop."""

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor
        self._loops: list[LoopingCall] = []
        self._periodic: list[PeriodicCall] = []

    def every(self, interval_s: float, system: Callable[[], None]) -> None:
        """Call ``system`` now and at each interval."""
        self.every_dynamic(lambda: interval_s, system)

    def every_dynamic(
        self, interval_s: Callable[[], float], system: Callable[[], None]
    ) -> PeriodicCall:
        """Call ``system`` now and at the interval that ``interval_s`` returns."""
        periodic = PeriodicCall(
            reactor=self._reactor, interval_s=interval_s, call=system
        )
        self._periodic.append(periodic)
        periodic.start()
        return periodic

    def every_async(
        self, interval_s: float, call: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run ``call`` now and at each interval, never twice at a time."""

        def run() -> Deferred[None]:
            done = Deferred.fromCoroutine(call())
            done.addErrback(
                lambda failure: log.error("call failed: {}", failure.getErrorMessage())
            )
            return done

        loop = LoopingCall(run)
        loop.clock = self._reactor
        loop.start(interval_s)
        self._loops.append(loop)

    def stop(self) -> None:
        """Call nothing any more."""
        for periodic in self._periodic:
            periodic.stop()
        for loop in self._loops:
            if loop.running:
                loop.stop()
