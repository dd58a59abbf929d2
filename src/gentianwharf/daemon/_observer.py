"""Answers, as the recorder and the log take them."""

from collections.abc import Callable

from gentianwharf.logs import log
from gentianwharf.metrics import Answer, Decision, Recorder, RunStatus
from gentianwharf.relay import AccessRecord, Problem


class RecordingObserver:
    """Records every answer, and logs those that brought no answer of a server."""

    def __init__(
        self, *, recorder: Recorder, domain: str, now_s: Callable[[], float]
    ) -> None:
        self._recorder = recorder
        self._domain = domain
        self._now_s = now_s

    def record_response(self, answered: AccessRecord) -> None:
        """Record an answer."""
        ticket = answered.ticket
        refused = answered.reason if answered.run is RunStatus.NOT_RUN else None
        self._recorder.record_answer(
            Answer(
                service=ticket.service,
                request_class=ticket.request_class,
                rule=answered.rule,
                domain=answered.domain or self._domain,
                server=answered.server,
                status=answered.status,
                run=answered.run,
                waited_s=answered.waited_s,
                elapsed_s=answered.elapsed_s,
                refused=refused,
                shard=ticket.shard,
            )
        )
        if refused is None and answered.run is not RunStatus.UNKNOWN:
            self._sample(answered)
            return
        self._recorder.record_decision(self._decision(answered, refused))
        if answered.run is RunStatus.UNKNOWN:
            log.warning(
                "answer is unknown: {}",
                answered.reason,
                extra={
                    "step": answered.step,
                    "peer": answered.peer,
                    "request_id": ticket.request_id,
                },
            )

    def record_refusal(self, request_id: str, problem: Problem) -> None:
        """Keep why a request was refused before a rule decided on it."""
        self._recorder.record_decision(
            Decision(
                request_id=request_id,
                at_s=self._now_s(),
                service="",
                request_class="",
                rule=0,
                server="",
                run=problem.run,
                waited_s=0.0,
                refused=problem.title,
                reasons=(problem.detail,) if problem.detail else (),
            )
        )

    def _sample(self, answered: AccessRecord) -> None:
        # Building a decision costs as much as counting the answer: draw first.
        ring = self._recorder.decisions
        if ring.should_sample():
            ring.add_sampled(self._decision(answered, None))

    def _decision(self, answered: AccessRecord, refused: str | None) -> Decision:
        ticket = answered.ticket
        return Decision(
            request_id=ticket.request_id,
            at_s=self._now_s(),
            service=ticket.service,
            request_class=ticket.request_class,
            rule=answered.rule,
            server=answered.server,
            run=answered.run,
            waited_s=answered.waited_s,
            refused=refused,
            reasons=(answered.reason,) if answered.reason else (),
        )
