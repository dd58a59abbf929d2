"""Passes responses and refusals on to the recorder and the log."""

from collections.abc import Callable

from gentianwharf.logs import log
from gentianwharf.metrics import Answer, Decision, Recorder, RunStatus
from gentianwharf.relay import AccessRecord, Problem


class RecordingObserver:
    """Records every response, and logs each request whose outcome is unknown."""

    def __init__(
        self, *, recorder: Recorder, domain: str, now_s: Callable[[], float]
    ) -> None:
        self._recorder = recorder
        self._domain = domain
        self._now_s = now_s

    def record_response(self, record: AccessRecord) -> None:
        """Record a response."""
        ticket = record.ticket
        refused = record.reason if record.run is RunStatus.NOT_RUN else None
        self._recorder.record_answer(
            Answer(
                service=ticket.service,
                request_class=ticket.request_class,
                rule=record.rule,
                domain=record.domain or self._domain,
                server=record.server,
                status=record.status,
                run=record.run,
                waited_s=record.waited_s,
                elapsed_s=record.elapsed_s,
                refused=refused,
                shard=ticket.shard,
            )
        )
        if refused is None and record.run is not RunStatus.UNKNOWN:
            self._sample(record)
            return
        self._recorder.record_decision(self._decision(record, refused))
        if record.run is RunStatus.UNKNOWN:
            log.warning(
                "outcome of the request is unknown: {}",
                record.reason,
                extra={
                    "step": record.step,
                    "peer": record.peer,
                    "request_id": ticket.request_id,
                },
            )

    def record_refusal(self, request_id: str, problem: Problem) -> None:
        """Record a request that was refused before it was matched with the rules."""
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

    def _sample(self, record: AccessRecord) -> None:
        # Sampled first: building a decision costs as much as counting the response.
        ring = self._recorder.decisions
        if ring.should_sample():
            ring.add_sampled(self._decision(record, None))

    def _decision(self, record: AccessRecord, refused: str | None) -> Decision:
        ticket = record.ticket
        return Decision(
            request_id=ticket.request_id,
            at_s=self._now_s(),
            service=ticket.service,
            request_class=ticket.request_class,
            rule=record.rule,
            server=record.server,
            run=record.run,
            waited_s=record.waited_s,
            refused=refused,
            reasons=_reasons(record),
        )


def _reasons(record: AccessRecord) -> tuple[str, ...]:
    reasons = [record.reason] if record.reason else []
    cut = [str(attempt) for attempt in record.attempts if attempt.has_cut_body]
    return (*reasons, *cut)
