"""Builders of answers, decisions, recorders and burn reports for tests."""

from random import Random
from typing import Any

from twisted.internet.task import Clock

from gentianwharf.metrics import (
    Answer,
    BurnAggregator,
    BurnReport,
    Decision,
    Objective,
    Recorder,
    RunStatus,
)

CONSULTATION = Objective(
    request_class="consultation", limit_s=0.2, share=0.99, unavailable_s=60.0
)


def answer(**changes: Any) -> Answer:
    """Return a good answer of the server calendrier-1, with the given changes."""
    fields: dict[str, Any] = {
        "service": "calendrier",
        "request_class": "consultation",
        "rule": 1,
        "domain": "lac",
        "server": "calendrier-1",
        "status": 200,
        "run": RunStatus.RUN,
        "waited_s": 0.0,
        "elapsed_s": 0.01,
        "shard": 7,
    }
    return Answer(**(fields | changes))


def refusal(**changes: Any) -> Answer:
    """Return the refusal of a request that was not run, with the given changes."""
    fields = {
        "status": 503,
        "run": RunStatus.NOT_RUN,
        "refused": "queue-full",
        "server": "",
    }
    return answer(**(fields | changes))


def decision(**changes: Any) -> Decision:
    """Return an ordinary decision, with the given changes."""
    fields: dict[str, Any] = {
        "request_id": "r1",
        "at_s": 0.0,
        "service": "calendrier",
        "request_class": "consultation",
        "rule": 1,
        "server": "calendrier-1",
        "run": RunStatus.RUN,
        "waited_s": 0.0,
        "refused": None,
        "reasons": ("rule 1 matches",),
    }
    return Decision(**(fields | changes))


def recorder(clock: Clock) -> Recorder:
    """Return a recorder with one objective and a fixed seed."""
    return Recorder(clock=clock, random=Random(1), objectives=(CONSULTATION,))


def burn_report_of(*recorders: Recorder) -> BurnReport:
    """Return the burn report over recorders, each as a host of its own."""
    aggregator = BurnAggregator(objectives=[CONSULTATION])
    for number, host_recorder in enumerate(recorders, start=1):
        aggregator.add(f"lac-{number}", host_recorder.burn_part())
    return aggregator.report()
