"""Counts what callers receive, and logs what they did not."""

from collections import Counter
from typing import final

from gentianwharf.logs import log
from gentianwharf.relay import Answered, Problem, Run


@final
class AnswerLog:
    """Counts every answer; failures and refusals get a line."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, int]] = Counter()

    def answered(self, answered: Answered) -> None:
        """Note what a caller received."""
        ticket = answered.ticket
        self.counts[ticket.request_class, answered.status] += 1
        if answered.run is Run.RUN and answered.status < 500:
            return
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
                "waited_ms": round(answered.waited_s * 1000),
                "elapsed_ms": round(answered.elapsed_s * 1000),
                "step": answered.step,
                "peer": answered.peer,
            },
        )

    def refused(self, request_id: str, problem: Problem) -> None:
        """Note a request that no rule decided on."""
        self.counts["", problem.status] += 1
        log.info(
            problem.title,
            extra={
                "request_id": request_id,
                "status": problem.status,
                "step": problem.step,
            },
        )
