"""Accumulates the results of a run."""

from collections import Counter
from typing import final

from hdrh.histogram import HdrHistogram

from gentianwharf.metrics import new_histogram, record_s

from ._check_response import VIOLATIONS, CheckResult, Verdict
from ._plan import PlannedRequest

MAX_EXAMPLES = 5


@final
class LoadTally:
    """Counts of verdicts, latencies per class, and requests per server of one run."""

    def __init__(self) -> None:
        self.duration_s = 0.0
        self.verdicts: Counter[tuple[str, Verdict]] = Counter()
        self.servers: dict[str, Counter[str]] = {}
        self.examples: dict[Verdict, list[str]] = {}
        self.elapsed: dict[str, HdrHistogram] = {}
        self.refused = new_histogram()
        self.service_time = new_histogram()
        self._request_ids: set[str] = set()

    @property
    def violations(self) -> int:
        """The number of responses with a verdict in ``VIOLATIONS``."""
        return sum(
            count
            for (_, verdict), count in self.verdicts.items()
            if verdict in VIOLATIONS
        )

    def add(
        self,
        request: PlannedRequest,
        result: CheckResult,
        *,
        elapsed_s: float,
        service_s: float,
    ) -> None:
        """Add one result.

        ``elapsed_s`` is measured from when the request was due, ``service_s`` from
        when it was sent.
        """
        result = self._check_duplicate(result)
        request_class = request.kind.request_class
        self.verdicts[request_class, result.verdict] += 1
        record_s(self.service_time, service_s)
        if result.verdict is Verdict.SERVED:
            self._add_served(request, result, elapsed_s)
            return
        if result.verdict is Verdict.NOT_RUN:
            record_s(self.refused, elapsed_s)
        examples = self.examples.setdefault(result.verdict, [])
        if len(examples) < MAX_EXAMPLES:
            examples.append(f"{request.kind.method} {request.path}: {result.reason}")

    def _add_served(
        self, request: PlannedRequest, result: CheckResult, elapsed_s: float
    ) -> None:
        request_class = request.kind.request_class
        if request_class not in self.elapsed:
            self.elapsed[request_class] = new_histogram()
        record_s(self.elapsed[request_class], elapsed_s)
        counts = self.servers.setdefault(request.kind.service, Counter())
        counts[result.server] += 1

    def _check_duplicate(self, result: CheckResult) -> CheckResult:
        """Return a violation if an earlier response had the same request id.

        The responses to two requests for one key differ only in this id, so that
        nothing else shows that they were swapped.
        """
        if not result.request_id:
            return result
        if result.request_id in self._request_ids:
            return CheckResult(
                verdict=Verdict.WRONG_ANSWER,
                reason=f"duplicate request id {result.request_id}",
            )
        self._request_ids.add(result.request_id)
        return result
