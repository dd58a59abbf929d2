"""Event loops of simulated hosts that may be paused or end, on one virtual clock."""

from collections.abc import Callable
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.task import Clock

WRITE_DELAY_S = 0.001
"""From the call that writes until the loop's next iteration, which sends the bytes."""


def advance_to(clock: Clock, time_s: float) -> None:
    """Advance a clock so that each call runs at its own time."""
    while clock.calls and clock.calls[0].getTime() <= time_s:
        clock.advance(max(0.0, clock.calls[0].getTime() - clock.seconds()))
    clock.advance(time_s - clock.seconds())


def wait(clock: Clock, delay_s: float) -> "Deferred[None]":
    """Return a deferred that fires after a delay."""
    done: Deferred[None] = Deferred()
    clock.callLater(delay_s, done.callback, None)
    return done


class Loop:
    """One process's event loop: a reactor with ``seconds`` and ``callLater``.

    While it is paused, neither timers nor events are processed. When it resumes, all
    that have become due run at once: the timers first, or the events first.
    """

    stops_with_host = False
    """Whether ``seconds`` is a clock that stops while the host is paused."""

    def __init__(self, *, clock: Clock, rng: Random) -> None:
        self.is_alive = True
        self.is_paused = False
        self.resumed_s = float("-inf")
        self.on_error: Callable[[], None] = lambda: None
        self._clock = clock
        self._rng = rng
        self._paused_since_s = 0.0
        self._paused_s = 0.0
        self._timers: list[Callable[[], object]] = []
        self._events: list[Callable[[], object]] = []

    def seconds(self) -> float:
        """Return the time of this host's clock."""
        now_s = self._clock.seconds()
        return now_s - self._paused_s if self.stops_with_host else now_s

    def callLater(  # noqa: N802
        self, delay_s: float, call: Callable[..., object], *args: object
    ) -> IDelayedCall:
        """Run a call after a delay, and after the pause in which it becomes due."""
        return self._clock.callLater(
            delay_s, self._run, self._timers, lambda: call(*args)
        )

    def post(self, event: Callable[[], object]) -> None:
        """Process an event from outside, after the pause in which it arrives."""
        self._run(self._events, event)

    def write(self, send: Callable[[], object]) -> None:
        """Send bytes in the next iteration of the loop."""
        self._clock.callLater(WRITE_DELAY_S, self._run, self._events, send)

    def _run(
        self, delayed: list[Callable[[], object]], call: Callable[[], object]
    ) -> None:
        if self.is_paused:
            delayed.append(call)
        elif self.is_alive:
            call()

    def pause(self) -> None:
        """Process nothing from now on."""
        if not self.is_paused:
            self.is_paused = True
            self._paused_since_s = self._clock.seconds()

    def resume(self) -> None:
        """Process everything that has become due or has arrived since the pause."""
        if not self.is_paused:
            return
        self.is_paused = False
        self.resumed_s = self._clock.seconds()
        self._paused_s += self.resumed_s - self._paused_since_s
        timers, events = self._timers[:], self._events[:]
        self._timers.clear()
        self._events.clear()
        groups = [timers, events]
        self._rng.shuffle(groups)
        for call in [*groups[0], *groups[1]]:
            if self.is_alive:
                call()

    def end(self) -> None:
        """End the process; nothing of it runs any more."""
        self.is_alive = False
        self.is_paused = False
        self._timers.clear()
        self._events.clear()
