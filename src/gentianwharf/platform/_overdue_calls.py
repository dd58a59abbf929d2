"""Cancels reads that the store has lost, as soon as it answers later calls."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, final

from twisted.internet.defer import Deferred

ANSWER_TIMEOUT_S = 0.3
"""Initial time allowed for an answer to begin; a slow store takes 0.2 s."""

MAX_ANSWER_TIMEOUT_S = 2.4
"""Maximum time allowed for an answer to begin, after repeated cancellations."""

PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 0.5

PROBE_STEP = "probe"

PROBE_LOST_AFTER_S = 0.2
"""A probe is considered lost if a call sent this much later is answered before it."""

PROBES_PER_S = 1_200.0
"""Limit for all hosts together: each probes less often as their number grows."""


def probe_interval_s(hosts: int) -> float:
    """Return the interval of a host's probes while a call is overdue.

    >>> probe_interval_s(12), probe_interval_s(300), probe_interval_s(12_000)
    (0.25, 0.25, 10.0)
    """
    return max(PROBE_INTERVAL_S, hosts / PROBES_PER_S)


@final
@dataclass(kw_only=True, slots=True, eq=False)
class PendingCall:
    """A call whose answer has not begun; it is overdue from ``due_s`` on.

    ``may_be_slow`` is set for calls that take a busy store longer than others,
    ``sent_while_silent`` if the store was known not to answer when the call was sent.
    """

    step: str
    sent_s: float
    due_s: float
    pending: Deferred[Any]
    may_be_slow: bool
    sent_while_silent: bool
    is_abandoned: bool = False


@final
class OverdueCalls:
    """The pending reads of a host, and the probes that are sent while some are overdue.

    After an outage, the store never answers calls that it received during the outage.
    An answer to a call that was sent after a read had become overdue shows that the
    store is available again: the read is cancelled, so that it can be repeated at once
    instead of after its timeout.

    The allowed time of a step is doubled after each cancellation, since a store may
    take longer for some calls than for others. Calls that may be slow are cancelled
    only if the store was silent when they were sent, or later: repeating them would
    add to the load of a store that is busy with them.
    """

    def __init__(self, *, reactor: Any, send_probe: Callable[[], None]) -> None:
        self.probe_interval_s = PROBE_INTERVAL_S
        self._reactor = reactor
        self._send_probe = send_probe
        self._calls: dict[PendingCall, Any] = {}
        """Pending calls, each with the timer of its due time."""
        self._answer_timeout_s: dict[str, float] = {}
        self._next_probe: Any = None
        self._pending_probe_times_s: set[float] = set()
        """Send times of the probes that have neither been answered nor timed out."""
        self._last_answered_sent_s = float("-inf")
        """Latest send time of a call that the store has answered."""
        self._last_silent_s = float("-inf")
        """When the store was last known to answer nothing."""
        self._is_silent = False

    def add(
        self,
        step: str,
        pending: Deferred[Any],
        *,
        wait_s: float,
        may_be_slow: bool = False,
    ) -> PendingCall:
        """Add a call whose answer may begin ``wait_s`` later than usual."""
        now_s = self._reactor.seconds()
        due_in_s = wait_s + self._answer_timeout_s.get(step, ANSWER_TIMEOUT_S)
        call = PendingCall(
            step=step,
            sent_s=now_s,
            due_s=now_s + due_in_s,
            pending=pending,
            may_be_slow=may_be_slow,
            sent_while_silent=self._is_silent,
        )
        if not pending.called:
            self._calls[call] = self._reactor.callLater(due_in_s, self._probe)
        return call

    def remove(self, call: PendingCall) -> None:
        """Remove a call: its answer has begun, or it has ended."""
        timer = self._calls.pop(call, None)
        if timer is not None and timer.active():
            timer.cancel()

    def note_answer(self, step: str, *, sent_s: float) -> None:
        """Record that the store has answered a call that was sent at ``sent_s``."""
        timeout_s = self._answer_timeout_s.get(step, ANSWER_TIMEOUT_S)
        self._answer_timeout_s[step] = max(ANSWER_TIMEOUT_S, timeout_s / 2)
        self._last_answered_sent_s = max(self._last_answered_sent_s, sent_s)
        self._is_silent = False
        for probe_s in self._pending_probe_times_s:
            if probe_s <= sent_s - PROBE_LOST_AFTER_S:
                self._last_silent_s = max(self._last_silent_s, probe_s)
        overdue = [call for call in self._calls if call.due_s <= sent_s]
        for call in overdue:
            if call.may_be_slow and not (
                call.sent_while_silent or self._last_silent_s >= call.sent_s
            ):
                continue
            self.remove(call)
            call.is_abandoned = True
            timeout_s = self._answer_timeout_s.get(call.step, ANSWER_TIMEOUT_S)
            self._answer_timeout_s[call.step] = min(MAX_ANSWER_TIMEOUT_S, 2 * timeout_s)
            call.pending.cancel()

    def note_failure(self, *, sent_s: float) -> None:
        """Record that a call that was sent at ``sent_s`` got no answer."""
        if sent_s > self._last_answered_sent_s:
            self._is_silent = True
            self._last_silent_s = self._reactor.seconds()

    def note_probe(self, *, sent_s: float, is_answered: bool) -> None:
        """Record the outcome of a probe that was sent at ``sent_s``."""
        self._pending_probe_times_s.discard(sent_s)
        if is_answered:
            self.note_answer(PROBE_STEP, sent_s=sent_s)
        else:
            self.note_failure(sent_s=sent_s)

    def _probe(self) -> None:
        """Send a probe, and further ones until no call is overdue."""
        if self._next_probe is not None and self._next_probe.active():
            return
        now_s = self._reactor.seconds()
        if any(call.due_s <= now_s for call in self._calls):
            self._next_probe = self._reactor.callLater(
                self.probe_interval_s, self._probe
            )
            self._pending_probe_times_s.add(now_s)
            self._send_probe()
