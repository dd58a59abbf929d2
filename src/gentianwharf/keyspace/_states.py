"""The state that the grant manager keeps for each span and each holder."""

from collections import deque
from dataclasses import dataclass, field
from math import inf
from typing import final

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from gentianwharf.errors import GentianwharfError
from gentianwharf.logs import log

from ._orders import Release
from ._table import Holder, Span
from ._timing import GrantTiming


@final
@dataclass(kw_only=True, slots=True, eq=False)
class Row:
    """The state of one span's release and grant."""

    service: str
    span: Span
    former_holders: list[Holder]
    handover: str | None = None
    granted: bool = False
    due_s: float = 0.0
    release_due_s: float = 0.0
    order: "Deferred[None] | None" = None
    """The newest order in flight."""
    waiting: bool = False
    release_tries: int = 0
    is_failing: bool = False
    is_obsolete: bool = False

    @property
    def order_in_flight(self) -> bool:
        """Whether an order of the span is in flight."""
        return self.order is not None

    @property
    def is_idle(self) -> bool:
        """Whether no order of the span is in flight or waits for another one."""
        return not self.order_in_flight and not self.waiting

    def note_ended(self, order: "Deferred[None]") -> None:
        """Record that an order has ended, which may already have led to the next."""
        if self.order is order:
            self.order = None

    def note_refused(self, error: GentianwharfError) -> None:
        """Log that a grant or renewal was refused, once until one succeeds."""
        # A renewal is refused if it overlaps in time with the release of a part of its
        # span. The rest of the span then has a row of its own.
        if not self.is_obsolete and not self.is_failing:
            self.is_failing = True
            self.log(self.span.holder, "grant refused", error=str(error))

    def note_withheld(self, holder: Holder, error: GentianwharfError) -> None:
        """Log that an order was withheld, once until a grant succeeds."""
        if not self.is_obsolete and not self.is_failing:
            self.is_failing = True
            self.log(holder, "order withheld", error=str(error))

    def note_failed(self, error: GentianwharfError) -> None:
        """Log that a renewal failed, once until one succeeds."""
        if self.granted and not self.is_failing:
            self.is_failing = True
            self.log(self.span.holder, "renewal failed", error=str(error))

    def log(self, holder: Holder, event: str, **fields: str) -> None:
        """Log an event of the span's release or grant at one of its holders."""
        log.info(
            event,
            extra={
                "service": self.service,
                "first": self.span.first,
                "last": self.span.last,
                "token": self.span.token,
                "server": holder.server_id,
                **fields,
            },
        )


@final
@dataclass(kw_only=True, slots=True)
class HolderState:
    """Which grants one server instance may hold."""

    held_until_s: float
    in_flight_duration_s: dict[int, float] = field(default_factory=dict)
    """The durations of the grants whose calls have not ended, by their numbers."""
    orders: dict["Deferred[None]", float] = field(default_factory=dict)
    """The orders in flight, each with the time until which it counts as one."""
    granting: bool = False
    first_waiting: deque[Row] = field(default_factory=deque)
    """Spans that move and wait for their first grant; ``waiting`` are all others."""
    waiting: deque[Row] = field(default_factory=deque)
    failing_since_s: float | None = None
    withheld_s: float | None = None
    """When an order was last withheld; None if one was sent since."""
    answered_s: float = -inf
    has_ended: bool = False
    probe: Release | None = None
    probe_due_s: float = 0.0

    def expire_by_s(self, now_s: float, timing: GrantTiming) -> float:
        """Return the time by which every grant that was sent has expired.

        A grant in flight may arrive as late as now: after a pause of this host, it may
        be written before its timeout is handled.
        """
        if not self.in_flight_duration_s:
            return self.held_until_s
        in_flight_until_s = timing.grant_expiry_s(
            ended_s=now_s, duration_s=max(self.in_flight_duration_s.values())
        )
        return max(self.held_until_s, in_flight_until_s)

    def track(self, order: "Deferred[None]", *, counts_until_s: float) -> None:
        """Keep an order as in flight until it ends."""
        self.orders[order] = counts_until_s

        def on_end(result: object) -> None:
            self.orders.pop(order, None)
            if isinstance(result, Failure) and not result.check(CancelledError):
                log.error(
                    "order to a server failed unexpectedly: {}", result.getTraceback()
                )

        order.addBoth(on_end)
