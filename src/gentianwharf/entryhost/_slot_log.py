"""Counts acquisitions of slots, and logs refusals and decisions without dispatchers."""

from typing import final

from gentianwharf.admission import SlotRecord
from gentianwharf.logs import log

from ._slot_metrics import SENT, SlotMetrics


@final
class SlotLog:
    """Logs why requests of dispatched services were refused.

    Its lines name a request, so the ceiling for lines about requests bounds them.
    """

    def __init__(self, *, metrics: SlotMetrics) -> None:
        self._metrics = metrics

    def record_acquired(self, record: SlotRecord) -> None:
        """Record that a request is sent with a slot."""
        self._metrics.record_acquired(record)

    def record_refused(self, record: SlotRecord) -> None:
        """Record that a request was refused, by its dispatcher or after a grant."""
        self._metrics.record_refused(record)
        _log("slot refused: {}", record, record.reason)

    def record_undispatched(self, record: SlotRecord) -> None:
        """Record a decision that was made without a dispatcher."""
        self._metrics.record_undispatched(record)
        _log("decided without a dispatcher: {}", record, record.reason or SENT)


def _log(message: str, record: SlotRecord, reason: str) -> None:
    log.info(
        message,
        reason,
        extra={
            "request_id": record.request_id,
            "service": record.service,
            "subject": record.subject,
            "dispatcher": record.dispatcher,
            "priority": record.priority,
            "waited_ms": round(record.waited_s * 1000),
        },
    )
