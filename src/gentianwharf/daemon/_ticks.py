"""Calls that come again and again, and survive a fault of one of them."""

from collections.abc import Callable, Coroutine
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from gentianwharf.logs import log


@final
class Ticks:
    """Runs systems at their intervals on one loop."""

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor
        self._loops: list[LoopingCall] = []

    def every(self, interval_s: float, system: Callable[[], None]) -> None:
        """Call ``system`` now and at each interval."""

        def run() -> None:
            # A fault in one tick must not end the loop that renews every grant.
            try:
                system()
            except Exception:
                log.exception("tick failed")

        self._start(interval_s, run)

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

        self._start(interval_s, run)

    def stop(self) -> None:
        """Call nothing any more."""
        for loop in self._loops:
            if loop.running:
                loop.stop()

    def _start(self, interval_s: float, run: Callable[[], Any]) -> None:
        loop = LoopingCall(run)
        loop.clock = self._reactor
        loop.start(interval_s)
        self._loops.append(loop)
