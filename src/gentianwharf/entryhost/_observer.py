"""Counts what callers receive, and logs what they did not."""

from collections.abc import Callable
from typing import final

import xxhash

from gentianwharf.logs import log
from gentianwharf.relay import AccessRecord, Problem, RunStatus

from ._metrics import HostMetrics

SUCCESS_EVERY = 50
"""One of so many successes gets a line, to compare the others with; which ones, follows
from the request's id."""


@final
class AnswerLog:
    """Every failure and refusal gets a line, and some successes do.

    ``rules_version`` is that of the rules in force: what no rule matches may be matched
    by a version that this host does not have. ``view_age_s`` is how old that may be
    which decided: a host that hears nobody goes on by what it knew.
    """

    def __init__(
        self,
        *,
        metrics: HostMetrics,
        rules_version: Callable[[], int],
        view_age_s: Callable[[], float],
    ) -> None:
        self._metrics = metrics
        self._rules_version = rules_version
        self._view_age_s = view_age_s

    def record_response(self, answered: AccessRecord) -> None:
        """Note what a caller received."""
        self._metrics.answered(answered)
        is_success = answered.run is RunStatus.RUN and answered.status < 500
        if is_success and not _is_sampled(answered.ticket.request_id):
            return
        ticket = answered.ticket
        log.info(
            answered.reason or "answered",
            extra={
                "request_id": ticket.request_id,
                "status": answered.status,
                "run": str(answered.run),
                "class": ticket.request_class,
                "service": ticket.service,
                "shard": ticket.shard,
                "server": answered.server,
                "tries": answered.tries,
                "waited_ms": round(answered.waited_s * 1000),
                "elapsed_ms": round(answered.elapsed_s * 1000),
                "step": answered.step,
                "peer": answered.peer,
                "view_age_ms": self._view_age_ms(),
            },
        )

    def record_refusal(self, request_id: str, problem: Problem) -> None:
        """Note a request that no rule decided on."""
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
    return xxhash.xxh3_64_intdigest(request_id.encode()) % SUCCESS_EVERY == 0
