"""Requests of this host at dispatchers, from sending to the return of the slot.

Every request to a dispatcher has an id of its own, also if the same request for a slot
is asked at several dispatchers. An answer therefore belongs to one dispatcher, and one
that comes too late can't be taken for another.
"""

from collections.abc import Callable, Container
from dataclasses import dataclass
from enum import Enum, auto
from functools import partial
from itertools import count
from typing import Any, Protocol, final

from gentianwharf.pauses import Timeout

from ._counters import ClientCounters
from ._incarnations import Incarnations, Sender
from ._messages import Answers
from ._silence import SilentDispatchers
from ._types import (
    SlotAnswer,
    SlotGrant,
    SlotOutcome,
    SlotRefusal,
    SlotRequest,
    SlotReturn,
    SlotWaiting,
)

HEARTBEAT_TIMEOUT_S = 0.35
"""A dispatcher that sent no message for this long has lost its waiting requests. It
sends one every 0.2 s while a request of this host waits."""

READ_S = 0.01
"""Time to read the answers that have arrived, for timers later than this. The links'
threads, which receive them, were held up as well."""

MOVED = "moved"
"""Reason of a refusal: the dispatcher stops, and the next candidate is to be asked."""

MAX_SUBJECTS = 4_096
"""Number of subjects for which the last dispatcher is remembered."""


class SlotChannel(Protocol):
    """Sends to dispatchers by host name; answers come in a later loop iteration."""

    def send_request(self, host: str, request: SlotRequest) -> None:
        """Send a request to a dispatcher."""

    def send_return(self, host: str, slot: SlotReturn) -> None:
        """Send a return to a dispatcher."""

    def reconnect(self, host: str) -> None:
        """Open new links to and from a host with the next message."""


class Failure(Enum):
    """Why a dispatcher doesn't decide a request."""

    SILENT = auto()
    """It didn't answer in time, or has lost the waiting request."""
    RESTARTED = auto()
    """The process in which the request waited has been replaced."""
    EXPIRED = auto()
    """The request has waited for as long as an answer is useful."""


Outcome = SlotAnswer | Failure


@final
@dataclass(kw_only=True, slots=True, eq=False)
class PendingRequest:
    """A request at one dispatcher; ``on_outcome`` is called for each outcome."""

    request: SlotRequest
    dispatcher: str
    sent_s: float
    timeout_s: float
    on_outcome: Callable[["PendingRequest", Outcome], None]
    is_probe: bool
    is_waiting: bool = False
    timeout: Timeout | None = None


@final
class PendingRequests:
    """Open requests and granted slots of this host; ``tick`` is called often.

    A slot that was granted to an open request is in use until ``release``.
    """

    def __init__(
        self, *, channel: SlotChannel, clock: Any, counters: ClientCounters
    ) -> None:
        self.silent = SilentDispatchers(now_s=clock.seconds)
        self._channel = channel
        self._clock = clock
        self._counters = counters
        self._ids = count(1)
        self._open: dict[int, PendingRequest] = {}
        self._waiting: dict[str, dict[int, PendingRequest]] = {}
        self._in_use: dict[int, str] = {}
        self._last_message_s: dict[str, float] = {}
        self._incarnations = Incarnations()
        self._dispatcher_of: dict[str, str] = {}

    def next_id(self) -> int:
        """Return an id that was not used before."""
        return next(self._ids)

    def send(
        self,
        request: SlotRequest,
        *,
        dispatcher: str,
        timeout_s: float,
        on_outcome: Callable[[PendingRequest, Outcome], None],
    ) -> PendingRequest:
        """Send a request to a dispatcher."""
        is_probe = self.silent.start_probe(dispatcher)
        if is_probe:
            self._channel.reconnect(dispatcher)
        entry = PendingRequest(
            request=request,
            dispatcher=dispatcher,
            sent_s=self._clock.seconds(),
            timeout_s=timeout_s,
            on_outcome=on_outcome,
            is_probe=is_probe,
        )
        self._open[request.id] = entry
        self._set_timeout(entry, timeout_s, self._expire_unanswered)
        self._counters.requests += 1
        self._channel.send_request(dispatcher, request)
        return entry

    def withdraw(self, entry: PendingRequest) -> None:
        """Give up a request; nothing happens if it is not open."""
        if self._close(entry):
            if entry.is_probe and not entry.is_waiting:
                self.silent.end_probe(entry.dispatcher)
            self._return_unused(entry.dispatcher, entry.request.id)

    def release(self, slot: SlotReturn) -> bool:
        """Return a slot; returns False if it is not in use."""
        dispatcher = self._in_use.pop(slot.request_id, None)
        if dispatcher is None:
            return False
        self._channel.send_return(dispatcher, slot)
        return True

    def note_answers(self, message: Answers) -> None:
        """Apply the answers of a dispatcher."""
        name = message.dispatcher
        sender = self._incarnations.note(name, message.incarnation)
        if sender is Sender.OUTDATED:
            return
        self._last_message_s[name] = self._clock.seconds()
        if sender is Sender.RESTARTED:
            for waiting in self._waiting_at(name):
                self._fail(waiting, Failure.RESTARTED)
        for answer in message.answers:
            entry = self._open.get(answer.request_id)
            if entry is not None and entry.dispatcher == name:
                self._apply(entry, answer)
            else:
                self._apply_late(name, answer)

    def note_pause(self) -> None:
        """Apply a pause of this host, during which it could read no message."""
        now_s = self._clock.seconds()
        self._last_message_s = dict.fromkeys(self._last_message_s, now_s)

    def tick(self) -> None:
        """Give up requests that wait at dispatchers from which nothing is heard."""
        for dispatcher in list(self._waiting):
            if self._is_overdue(dispatcher):
                # As with requests without an answer, a later iteration decides.
                give_up = partial(self._give_up_waiting, dispatcher)
                self._clock.callLater(READ_S, give_up)
        self._counters.silent = len(self.silent)

    def retain_hosts(self, hosts: Container[str]) -> None:
        """Forget what is known of all other dispatchers."""
        self.silent.retain(hosts)
        self._incarnations.retain(hosts)
        self._last_message_s = {
            name: last_s
            for name, last_s in self._last_message_s.items()
            if name in hosts or name in self._waiting
        }

    def _apply(self, entry: PendingRequest, answer: SlotAnswer) -> None:
        self._note_answered(entry)
        if isinstance(answer, SlotWaiting):
            if entry.is_waiting:
                return
            entry.is_waiting = True
            self._waiting.setdefault(entry.dispatcher, {})[entry.request.id] = entry
            self._counters.waiting += 1
            wait_s = entry.request.max_wait_s + entry.timeout_s
            self._set_timeout(entry, wait_s, self._expire_waiting)
        else:
            self._close(entry)
            if isinstance(answer, SlotGrant):
                self._counters.granted += 1
                self._in_use[entry.request.id] = entry.dispatcher
            else:
                self._counters.refused[answer.reason] += 1
                if answer.reason == MOVED:
                    self.silent.note_timeout(entry.dispatcher)
        entry.on_outcome(entry, answer)

    def _apply_late(self, dispatcher: str, answer: SlotAnswer) -> None:
        """Return what was granted, or still waits, for a request that was given up."""
        if isinstance(answer, SlotRefusal) or answer.request_id in self._in_use:
            return
        if isinstance(answer, SlotGrant):
            self._counters.late_grants += 1
        self._return_unused(dispatcher, answer.request_id)

    def _note_answered(self, entry: PendingRequest) -> None:
        self.silent.note_answer(entry.dispatcher)
        subject = entry.request.subject
        former = self._dispatcher_of.pop(subject, None)
        if former is not None and former != entry.dispatcher:
            self._counters.dispatcher_changes[subject] += 1
        self._dispatcher_of[subject] = entry.dispatcher
        if len(self._dispatcher_of) > MAX_SUBJECTS:
            oldest = next(iter(self._dispatcher_of))
            del self._dispatcher_of[oldest]
            self._counters.dispatcher_changes.pop(oldest, None)

    def _expire_unanswered(self, entry: PendingRequest) -> None:
        # An event loop that was busy fires its timers before it reads the answers that
        # have arrived meanwhile, so a later iteration decides.
        late_s = self._clock.seconds() - entry.sent_s - entry.timeout_s
        delay_s = READ_S if late_s > READ_S else 0.0
        self._set_timeout(entry, delay_s, self._give_up_unanswered)

    def _give_up_unanswered(self, entry: PendingRequest) -> None:
        self._note_silent(entry.dispatcher)
        last_s = self._last_message_s.get(entry.dispatcher)
        if last_s is not None and last_s < entry.sent_s:
            self._fail_waiting(entry.dispatcher)
        self._fail(entry, Failure.SILENT)

    def _expire_waiting(self, entry: PendingRequest) -> None:
        self._fail(entry, Failure.EXPIRED)

    def _note_silent(self, dispatcher: str) -> None:
        self._counters.silences += 1
        self.silent.note_timeout(dispatcher)

    def _is_overdue(self, dispatcher: str) -> bool:
        if dispatcher not in self._waiting:
            return False
        silent_s = self._clock.seconds() - self._last_message_s[dispatcher]
        return bool(silent_s > HEARTBEAT_TIMEOUT_S)

    def _give_up_waiting(self, dispatcher: str) -> None:
        if self._is_overdue(dispatcher):
            self._note_silent(dispatcher)
            self._fail_waiting(dispatcher)

    def _fail_waiting(self, dispatcher: str) -> None:
        for entry in self._waiting_at(dispatcher):
            self._fail(entry, Failure.SILENT)

    def _fail(self, entry: PendingRequest, failure: Failure) -> None:
        if self._close(entry):
            self._return_unused(entry.dispatcher, entry.request.id)
            entry.on_outcome(entry, failure)

    def _waiting_at(self, dispatcher: str) -> list[PendingRequest]:
        return list(self._waiting.get(dispatcher, {}).values())

    def _close(self, entry: PendingRequest) -> bool:
        """Remove an open request; returns False if it is not open."""
        if self._open.pop(entry.request.id, None) is None:
            return False
        if entry.timeout is not None:
            entry.timeout.stop()
        if entry.is_waiting:
            waiting = self._waiting[entry.dispatcher]
            del waiting[entry.request.id]
            if not waiting:
                del self._waiting[entry.dispatcher]
            self._counters.waiting -= 1
        return True

    def _return_unused(self, dispatcher: str, request_id: int) -> None:
        slot = SlotReturn(request_id=request_id, outcome=SlotOutcome.WITHDRAWN)
        self._channel.send_return(dispatcher, slot)

    def _set_timeout(
        self,
        entry: PendingRequest,
        delay_s: float,
        expire: Callable[[PendingRequest], None],
    ) -> None:
        if entry.timeout is not None:
            entry.timeout.stop()
        entry.timeout = Timeout(
            clock=self._clock, delay_s=delay_s, expire=lambda: expire(entry)
        )
