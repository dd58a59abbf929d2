"""Periodic calls that continue after one of them raises."""

from collections.abc import Callable, Coroutine
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from gentianwharf.logs import log


@final
class PeriodicCall:
    """Calls a function periodically, at an interval that is computed before each call.

    Uses a plain timer, since ``LoopingCall`` creates and fires a ``Deferred`` for each
    call, which costs more than most calls in an idle daemon.
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
        """Call immediately, then periodically."""
        self._due_s = self._reactor.seconds()
        self._run()

    def reschedule(self) -> None:
        """Bring the next call forward if the interval is shorter by now."""
        if self._timer is None or not self._timer.active():
            return
        due_s = self._reactor.seconds() + self._interval_s()
        if due_s < self._due_s:
            self._due_s = due_s
            self._timer.reset(self._interval_s())

    def stop(self) -> None:
        """Stop calling."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _run(self) -> None:
        # The timer is set before the call, so that the call may stop it.
        now_s = self._reactor.seconds()
        interval_s = self._interval_s()
        # Counted from the time at which this call was due. Functions with the same
        # interval then stay synchronized and wake the loop once. Calls that a busy loop
        # has missed are skipped.
        self._due_s += interval_s
        if self._due_s <= now_s:
            self._due_s = now_s + interval_s
        self._timer = self._reactor.callLater(self._due_s - now_s, self._run)
        # An error in one call must not stop the timer, on which grant renewals depend.
        try:
            self._call()
        except Exception:
            log.exception("periodic call failed")


@final
class PeriodicCalls:
    """Runs functions periodically on one event loop."""

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor
        self._looping_calls: list[LoopingCall] = []
        self._calls: list[PeriodicCall] = []

    def every(self, interval_s: float, function: Callable[[], None]) -> None:
        """Call ``function`` immediately, then every ``interval_s``."""
        self.every_dynamic(lambda: interval_s, function)

    def every_dynamic(
        self, interval_s: Callable[[], float], function: Callable[[], None]
    ) -> PeriodicCall:
        """Call ``function`` immediately, then at the intervals from ``interval_s``."""
        call = PeriodicCall(reactor=self._reactor, interval_s=interval_s, call=function)
        self._calls.append(call)
        call.start()
        return call

    def every_async(
        self, interval_s: float, call: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run ``call`` immediately, then every ``interval_s``, without overlap."""

        def run() -> Deferred[None]:
            done = Deferred.fromCoroutine(call())
            done.addErrback(
                lambda failure: log.error(
                    "periodic call failed: {}", failure.getErrorMessage()
                )
            )
            return done

        looping_call = LoopingCall(run)
        looping_call.clock = self._reactor
        looping_call.start(interval_s)
        self._looping_calls.append(looping_call)

    def stop(self) -> None:
        """Stop all periodic calls."""
        for call in self._calls:
            call.stop()
        for looping_call in self._looping_calls:
            if looping_call.running:
                looping_call.stop()
