"""The recorder of answers and decisions, which the relay calls for every answer."""

from collections.abc import Iterable
from random import Random
from typing import Any, NamedTuple, final

from twisted.internet.interfaces import IReactorTime

from gentianwharf.runs import RunStatus

from ._answer import Answer, Decision
from ._burn import WINDOWS_S, UnavailableBurn
from ._burn_part import ANSWER_SECONDS, BurnPart
from ._decisions import DecisionRing
from ._histograms import EncodedHistogram, WindowedHistogram, record_s
from ._latencies import Latencies
from ._measures import UnavailableShards
from ._objectives import Objective
from ._prometheus import Sample, prometheus_text
from ._server_loads import ServerLoads
from ._windows import AnswerLabels, BurnWindows, Tallies, Tally, WindowCount

# Length of the latency window of the state page: long enough for the p99 of a class
# with few requests, short enough to show the current situation.
WINDOW_S = 60.0
# Interval at which new counts are folded into the burn windows and totals.
FOLD_INTERVAL_S = 5.0


class _CountKey(NamedTuple):
    """The attributes by which answers are counted between two folds."""

    request_class: str
    service: str
    rule: int
    domain: str
    server: str
    status: int
    run: RunStatus
    refused: str | None
    bad: bool


# A plain tuple in the order of ``_CountKey``. Creating a named tuple for every answer
# would use a tenth of the 5 µs that recording an answer may take.
_CountKeyTuple = tuple[str, str, int, str, str, int, RunStatus, str | None, bool]


class _TotalKey(NamedTuple):
    """The attributes by which answers since startup are counted.

    None of them grows with the number of servers.
    """

    service: str
    request_class: str
    status: int
    run: RunStatus
    refused: str


@final
class Recorder:
    """Records counts and latencies of answers, and the decisions on requests.

    ``tick`` must be called about once per second. It rotates windows and folds counts,
    so that ``record_answer`` needs only a dictionary update and a histogram record.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        random: Random,
        objectives: Iterable[Objective] = (),
    ) -> None:
        self._clock = clock
        self.objectives = tuple(objectives)
        self._limits_s = {
            objective.request_class: objective.limit_s for objective in self.objectives
        }
        self.decisions = DecisionRing(random=random)
        self._latencies = Latencies()
        self._counts: dict[_CountKeyTuple, int] = {}
        self._totals: dict[_TotalKey, int] = {}
        self.server_loads = ServerLoads()
        self._churn: dict[str, int] = {}
        self._windows = BurnWindows()
        self._unavailable = UnavailableShards()
        self._started_s = clock.seconds()
        self._folded_s = self._started_s
        self._rotated_s = self._started_s

    def record_answer(self, answer: Answer) -> None:
        """Record one answer."""
        service = answer.service
        request_class = answer.request_class
        service_class = (service, request_class)
        elapsed = self._latencies.elapsed.get(service_class)
        if elapsed is None:
            elapsed = self._latencies.elapsed[service_class] = WindowedHistogram()
        record_s(elapsed.current, answer.elapsed_s)
        if answer.waited_s > 0:
            self._latencies.record_wait(service_class, answer.waited_s)
        served = answer.served
        limit_s = self._limits_s.get(request_class)
        count_key = (
            request_class,
            service,
            answer.rule,
            answer.domain,
            answer.server,
            answer.status,
            answer.run,
            answer.refused,
            not served or (limit_s is not None and answer.elapsed_s > limit_s),
        )
        self._counts[count_key] = self._counts.get(count_key, 0) + 1
        if answer.shard is not None:
            self._unavailable.record(
                service, answer.shard, at_s=self._clock.seconds(), served=served
            )

    def record_owner_changes(self, service: str, shards: int) -> None:
        """Count shards that changed owner."""
        self._churn[service] = self._churn.get(service, 0) + shards

    def record_decision(self, decision: Decision) -> None:
        """Keep a refused or unknown decision; sample the others."""
        self.decisions.add(decision)

    def tick(self) -> None:
        """Fold counts and rotate windows when their intervals have passed."""
        now_s = self._clock.seconds()
        if now_s - self._folded_s >= FOLD_INTERVAL_S:
            self._fold(now_s)
        if now_s - self._rotated_s >= WINDOW_S:
            self._rotate(now_s)

    def _fold(self, now_s: float) -> None:
        tallies: Tallies = {}
        for count_key, count in self._counts.items():
            attributes = _CountKey(*count_key)
            total_key = _TotalKey(
                attributes.service,
                attributes.request_class,
                attributes.status,
                attributes.run,
                attributes.refused or "",
            )
            self._totals[total_key] = self._totals.get(total_key, 0) + count
            labels = AnswerLabels(
                attributes.request_class,
                attributes.service,
                attributes.rule,
                attributes.domain,
                attributes.server,
            )
            tallies.setdefault(labels, Tally()).add(
                count, count if attributes.bad else 0
            )
            if labels.server:
                self.server_loads.add(labels.service, labels.server, count)
        self._counts.clear()
        self._windows.add(tallies, now_s=now_s)
        self._folded_s = now_s

    def _rotate(self, now_s: float) -> None:
        self._latencies.rotate()
        self.server_loads.rotate()
        self._rotated_s = now_s

    def window_counts(self, windows_s: Iterable[float]) -> list[WindowCount]:
        """Return the good and bad answers of each window, by label set."""
        now_s = self._clock.seconds()
        self._fold(now_s)
        return [
            count
            for window_s in windows_s
            for count in self._windows.counts(window_s=window_s, now_s=now_s)
        ]

    def burn_part(self) -> BurnPart:
        """Return this host's part of the burn report."""
        return BurnPart(
            counts=self.window_counts(WINDOWS_S),
            unavailable=self._unavailable_burns(),
            histograms=[
                encoded
                for encoded in self.encoded_histograms()
                if encoded.name == ANSWER_SECONDS
            ],
        )

    def _unavailable_burns(self) -> list[UnavailableBurn]:
        if not self.objectives:
            return []
        now_s = self._clock.seconds()
        allowed_s = min(objective.unavailable_s for objective in self.objectives)
        burns = []
        for service in self._unavailable.services():
            longest_s = self._unavailable.longest_s(service, now_s=now_s)
            burns.append(
                UnavailableBurn(
                    service=service,
                    shard_s=self._unavailable.total_s(service, now_s=now_s),
                    longest_s=longest_s,
                    allowed_s=allowed_s,
                    within=longest_s <= allowed_s,
                )
            )
        return burns

    def encoded_histograms(self) -> list[EncodedHistogram]:
        """Return the histograms since startup, encoded for merging across hosts."""
        return self._latencies.encoded_histograms()

    def prometheus_text(self) -> str:
        """Return the metrics in Prometheus' text format."""
        self._fold(self._clock.seconds())
        return prometheus_text(self._samples(), self._latencies.samples())

    def _samples(self) -> Iterable[Sample]:
        for total_key, count in self._totals.items():
            yield Sample(
                name="gentianwharf_answers",
                help="Answers that callers received.",
                labels={
                    "service": total_key.service,
                    "class": total_key.request_class,
                    "status": str(total_key.status),
                    "run": total_key.run,
                    "refused": total_key.refused,
                },
                value=count,
                counter=True,
            )
        yield from self._measure_samples()

    def _measure_samples(self) -> Iterable[Sample]:
        now_s = self._clock.seconds()
        for service, shards in sorted(self._churn.items()):
            yield _service_sample(
                "churn_shards", "Shards that changed owner.", service, shards, True
            )
        for service in self._latencies.services():
            imbalance = self.server_loads.imbalance(service)
            if imbalance is not None:
                yield _service_sample(
                    "imbalance", "Max/mean answers per server.", service, imbalance
                )
            yield _service_sample(
                "unavailable_shard_seconds",
                "Time in which shards could not be served, added up.",
                service,
                self._unavailable.total_s(service, now_s=now_s),
            )
            yield _service_sample(
                "unavailable_shards",
                "Shards that can't be served now.",
                service,
                self._unavailable.unavailable_count(service),
            )

    def state(self) -> dict[str, Any]:
        """Return the latencies of the previous window and the measures.

        The state page shows them.
        """
        now_s = self._clock.seconds()
        return {
            "window_s": WINDOW_S,
            "classes": self._latencies.state(),
            "services": {
                service: {
                    "imbalance": self.server_loads.imbalance(service),
                    "unavailable_shard_s": self._unavailable.total_s(
                        service, now_s=now_s
                    ),
                    "longest_unavailable_s": self._unavailable.longest_s(
                        service, now_s=now_s
                    ),
                    "unavailable_shards": self._unavailable.unavailable_count(service),
                }
                for service in self._latencies.services()
            },
        }


def _service_sample(
    name: str, text: str, service: str, value: float, counter: bool = False
) -> Sample:
    return Sample(
        name=f"gentianwharf_{name}",
        help=text,
        labels={"service": service},
        value=value,
        counter=counter,
    )
