"""Counts responses to callers, and logs failures and a sample of successes."""

from collections.abc import Callable
from typing import final

import xxhash

from gentianwharf.logs import log
from gentianwharf.relay import AccessRecord, Problem, RunStatus, Ticket

from ._metrics import HostMetrics

SUCCESS_SAMPLE_INTERVAL = 50
"""One of this many successful requests is logged, for comparison with failed ones. The
sample is selected by a hash of the request id."""


@final
class AnswerLog:
    """Logs every failure and refusal, and a sample of successes.

    Successes of requests that must not repeat are all logged if they were sent more
    than once: the log then shows on which connections. So are successes of requests of
    which a server got only a part of the body.

    ``rules_version`` returns the version of the rules in force: a request that no rule
    matches may match a version that this host does not have yet. ``view_age_s`` returns
    the maximum age of the data that the decision was based on: a host that receives no
    updates continues with its last data. ``on_served`` is called with the time that a
    server took for a request that was sent once.
    """

    def __init__(
        self,
        *,
        metrics: HostMetrics,
        rules_version: Callable[[], int],
        view_age_s: Callable[[], float],
        on_served: Callable[[Ticket, float], None] = lambda ticket, elapsed_s: None,
    ) -> None:
        self._metrics = metrics
        self._rules_version = rules_version
        self._view_age_s = view_age_s
        self._on_served = on_served

    def record_response(self, record: AccessRecord) -> None:
        """Record a response to a caller."""
        self._metrics.record_response(record)
        is_success = record.run is RunStatus.RUN and record.status < 500
        if is_success and record.tries == 1 and not record.reason:
            self._on_served(record.ticket, record.elapsed_s - record.waited_s)
        ticket = record.ticket
        is_resent = record.sends > 1 and not ticket.repeatable
        is_notable = is_resent or any(each.has_cut_body for each in record.attempts)
        if is_success and not is_notable and not _is_sampled(ticket.request_id):
            return
        log.info(
            record.reason or "answered",
            extra={
                "request_id": ticket.request_id,
                "status": record.status,
                "run": str(record.run),
                "class": ticket.request_class,
                "service": ticket.service,
                "shard": ticket.shard,
                "server": record.server,
                "tries": record.tries,
                "sends": record.sends,
                "waited_ms": round(record.waited_s * 1000),
                "elapsed_ms": round(record.elapsed_s * 1000),
                "step": record.step,
                "peer": record.peer,
                "through": record.through,
                "attempts": [str(attempt) for attempt in record.attempts],
                "view_age_ms": self._view_age_ms(),
            },
        )

    def record_refusal(self, request_id: str, problem: Problem) -> None:
        """Record a request that was refused before a rule matched it."""
        self._metrics.count("", "", problem.status, problem.title)
        log.info(
            problem.title,
            extra={
                "request_id": request_id,
                "status": problem.status,
                "step": problem.step,
                "detail": problem.detail,
                "version": self._rules_version(),
                "view_age_ms": self._view_age_ms(),
            },
        )

    def _view_age_ms(self) -> int:
        return round(self._view_age_s() * 1000)


def _is_sampled(request_id: str) -> bool:
    return xxhash.xxh3_64_intdigest(request_id.encode()) % SUCCESS_SAMPLE_INTERVAL == 0
