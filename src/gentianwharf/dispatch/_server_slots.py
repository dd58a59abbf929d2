"""The slots of one server: who holds them, and how many may be granted."""

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from gentianwharf.topology import BackendServer

from ._snapshot import SlotServerSnapshot
from ._speeds import ServiceTimeSpread, SpeedEstimate
from ._types import SlotOutcome, SlotRequest, SlotReturn

if TYPE_CHECKING:
    from ._subject import Subject

REPORT_LIFETIME_S = 0.5
"""Age up to which a server's report is followed."""

SETTLE_S = 0.03
"""Time within which a grant reaches its server, and a return the dispatcher. Whether a
report includes requests granted or returned within this time is unknown."""

NEW_S = 1.0
"""Time after the first request during which a server without reports is new."""

MIN_REMAINING_SHARE = 0.5
"""Share of its usual time that a running request is expected to take still, at least.
Service times vary so much that a long run says little about its end."""

STALLED_RATIO = 4.0
"""Multiple of its expected time after which a running request counts as stalled."""

MIN_REST_S = 0.25
MAX_REST_S = 4.0
"""How long a server that failed or shed gets no unkeyed requests, doubling up to the
maximum. Otherwise a server that fails at once always has a free slot and gets most
requests."""

PROBE_INTERVAL_S = 1.0
"""Interval of single unkeyed requests to a server that seems too slow."""

MAX_RECENT_RETURNS = 16

TROUBLES = (SlotOutcome.SHED, SlotOutcome.TIMED_OUT, SlotOutcome.FAILED)


@final
@dataclass(kw_only=True, slots=True, eq=False)
class Lease:
    """A granted slot; ``started_s`` is None while the request waits at the server."""

    number: int
    host: str
    request: SlotRequest
    slots: "ServerSlots"
    subject: "Subject"
    work_s: float
    granted_s: float
    expires_s: float
    started_s: float | None = None


@final
class ServerSlots:
    """Leases, reported occupancy and speed of one server."""

    def __init__(self, *, server: BackendServer, spread: ServiceTimeSpread) -> None:
        self.server = server
        self.leases: dict[int, Lease] = {}
        self.speed = SpeedEstimate(spread=spread)
        self.halved = False
        self.rests_until_s = float("-inf")
        self._rest_s = 0.0
        self._granted_s = float("-inf")
        self._ahead: deque[Lease] = deque()
        self._returned_s: deque[float] = deque(maxlen=MAX_RECENT_RETURNS)
        self._correction = 0
        self._reported_s = float("-inf")
        self._has_reported = False
        self._first_request_s: float | None = None
        self._is_known = False
        self._in_flight: dict[str, int] = {}

    def note_first_request(self, now_s: float) -> None:
        """Note that requests for this server come from now on."""
        if self._first_request_s is None:
            self._first_request_s = now_s

    def note_in_flight(self, host: str, in_flight: int, now_s: float) -> None:
        """Note how many requests a host states to have in flight at this server."""
        if self.is_new(now_s):
            own = sum(lease.host == host for lease in self.leases.values())
            self._in_flight[host] = max(0, in_flight - own)
        else:
            self._in_flight.clear()

    def is_new(self, now_s: float) -> bool:
        """Whether it is unknown what other dispatchers granted before this one."""
        if self._is_known:
            return False
        first_s = self._first_request_s
        return first_s is None or now_s < first_s + NEW_S

    def occupancy(self, now_s: float) -> int:
        """Return the requests at the server or on their way to it."""
        correction = self._correction
        if correction > 0 and now_s > self._reported_s + REPORT_LIFETIME_S:
            correction = 0
        return max(0, len(self.leases) + correction)

    def limit(self, now_s: float) -> int:
        """Return how many requests may be at the server."""
        slots = self.server.slots
        if self.is_new(now_s):
            return max(0, max(1, slots // 2) - sum(self._in_flight.values()))
        return max(1, slots // 2) if self.halved else slots

    def has_slot(self, now_s: float, *, ahead: bool = False) -> bool:
        """Whether a slot may be granted, with ``ahead`` one beyond those free."""
        own = len(self.leases) + min(0, self._correction)
        if own >= self.server.slots + ahead:
            return False
        limit = self.limit(now_s)
        if ahead and not self.halved and not self.is_new(now_s):
            limit += 1
        return self.occupancy(now_s) < limit

    def add(self, lease: Lease) -> None:
        """Add a granted lease."""
        if self.occupancy(lease.granted_s) < self.server.slots:
            lease.started_s = lease.granted_s
        else:
            self._ahead.append(lease)
        self.leases[lease.number] = lease
        self._granted_s = lease.granted_s

    def end(self, lease: Lease, slot: SlotReturn, now_s: float) -> float | None:
        """Take a lease back, and learn from its outcome and the server's report.

        Returns the service time of an answered request, None if it is unknown.
        """
        took_s = self._record_outcome(lease, slot, now_s)
        self._remove(lease, now_s)
        self._is_known = True
        # A server's report with an answer doesn't count the answered request.
        if slot.running is not None and slot.waiting is not None:
            self._record_report(slot.running, slot.waiting, now_s)
        elif self._correction < 0 and lease.granted_s <= self._reported_s:
            # The last report may have left out this lease already.
            self._correction += 1
        self._returned_s.append(now_s)
        return took_s

    def expire(self, lease: Lease, now_s: float) -> None:
        """Remove a lease that was not returned in time."""
        if self._remove(lease, now_s) and self._correction < 0:
            # The reports already left out a lease that nobody used any more.
            self._correction += 1

    def remaining_s(self, now_s: float) -> float:
        """Return the time that all leases together still need."""
        total_s = 0.0
        for lease in self.leases.values():
            expected_s = lease.work_s / self.speed.value
            if lease.started_s is None:
                total_s += expected_s
            else:
                left_s = lease.started_s + expected_s - now_s
                total_s += max(left_s, expected_s * MIN_REMAINING_SHARE)
        return total_s

    def is_stalled(self, now_s: float) -> bool:
        """Whether half of the slots run requests far longer than expected."""
        factor = STALLED_RATIO / self.speed.value
        stalled = sum(
            lease.started_s is not None
            and now_s - lease.started_s > lease.work_s * factor
            for lease in self.leases.values()
        )
        return 2 * stalled >= max(2, self.server.slots)

    def accepts_probe(self, now_s: float) -> bool:
        """Whether a single request may show if the server is faster now."""
        return not self.leases and now_s >= self._granted_s + PROBE_INTERVAL_S

    def snapshot(self, now_s: float) -> SlotServerSnapshot:
        """Return the server's state."""
        return SlotServerSnapshot(
            server=self.server.id,
            slots=self.server.slots,
            limit=self.limit(now_s),
            occupancy=self.occupancy(now_s),
            leases=len(self.leases),
            speed=self.speed.value,
            is_halved=self.halved,
            is_new=self.is_new(now_s),
        )

    def _record_outcome(
        self, lease: Lease, slot: SlotReturn, now_s: float
    ) -> float | None:
        if slot.outcome is SlotOutcome.ANSWERED:
            self._rest_s = 0.0
            if not self._has_reported:
                self.halved = False
            if slot.work_s is not None:
                return self._record_time(lease, slot.work_s, now_s)
        elif slot.outcome in TROUBLES:
            if slot.outcome is SlotOutcome.TIMED_OUT:
                # The request would have taken at least this long.
                self._record_time(lease, now_s - lease.granted_s, now_s)
            if slot.outcome is not SlotOutcome.FAILED:
                self.halved = True
            self._rest_s = min(MAX_REST_S, max(MIN_REST_S, self._rest_s * 2.0))
            self.rests_until_s = now_s + self._rest_s
        return None

    def _record_time(self, lease: Lease, took_s: float, now_s: float) -> float | None:
        """Learn the speed; the time of waiting inside the server is left out."""
        if lease.started_s is None:
            return None
        took_s = min(took_s, now_s - lease.started_s)
        self.speed.record(usual_s=lease.request.work_s, took_s=took_s)
        return took_s

    def _record_report(self, running: int, waiting: int, now_s: float) -> None:
        """Follow a server's report on its running and waiting requests.

        Requests granted or returned within ``SETTLE_S`` may be included or not.
        """
        since_s = now_s - SETTLE_S
        leases = self.leases.values()
        settled = sum(lease.granted_s <= since_s for lease in leases)
        most = len(leases) + sum(at_s > since_s for at_s in self._returned_s)
        reported = running + waiting
        self._correction = max(0, reported - most) + min(0, reported - settled)
        self._reported_s = now_s
        self._has_reported = True
        if waiting > max(1, most - self.server.slots):
            self.halved = True
        elif not waiting and running < self.server.slots:
            self.halved = False

    def _remove(self, lease: Lease, now_s: float) -> bool:
        if self.leases.pop(lease.number, None) is None:
            return False
        if lease.started_s is None:
            self._ahead.remove(lease)
        elif self._ahead:
            self._ahead.popleft().started_s = now_s
        return True
