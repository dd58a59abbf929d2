"""The recorder that the relay calls for every answer."""

from collections.abc import Iterable
from random import Random
from typing import Any, NamedTuple, final

from twisted.internet.interfaces import IReactorTime

from gentianwharf.runs import RunStatus

from ._answer import Answer, Decision
from ._burn import WINDOWS_S, UnavailableBurn
from ._burn_part import ELAPSED, BurnPart
from ._decisions import DecisionRing
from ._histograms import EncodedHistogram, WindowedHistogram, record_s
from ._latencies import Latencies
from ._measures import UnavailableShards
from ._objectives import Objective
from ._prometheus import Sample, prometheus_text
from ._server_loads import ServerLoads
from ._windows import BurnWindows, Place, Tallies, Tally, WindowCount

# A window of latency for the state page: long enough for a p99 of a quiet class,
# short enough to show what happens now.
WINDOW_S = 60.0
# A minute, an hour and more are read from counts folded this often.
FOLD_S = 5.0


class _Line(NamedTuple):
    """What answers are counted by between two folds."""

    request_class: str
    service: str
    rule: int
    domain: str
    server: str
    status: int
    run: RunStatus
    refused: str | None
    bad: bool


# A plain tuple in the order of ``_Line``: building a named one for every answer
# would take a tenth of the 5 µs that an answer may cost here.
_LineKey = tuple[str, str, int, str, str, int, RunStatus, str | None, bool]


class _Total(NamedTuple):
    """What answers since the start are counted by: nothing that grows with servers."""

    service: str
    request_class: str
    status: int
    run: RunStatus
    refused: str


@final
class Recorder:
    """Counts and times answers, and says afterwards why requests went as they did.

    ``tick`` must be called about every second; it turns windows and folds counts,
    so that ``answered`` stays one dictionary update and one histogram record.
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
        self._limits_s = {one.request_class: one.limit_s for one in self.objectives}
        self.decisions = DecisionRing(random=random)
        self._latencies = Latencies()
        self._lines: dict[_LineKey, int] = {}
        self._totals: dict[_Total, int] = {}
        self.loads = ServerLoads()
        self._churn: dict[str, int] = {}
        self._windows = BurnWindows()
        self._unavailable = UnavailableShards()
        self._started_s = clock.seconds()
        self._folded_s = self._started_s
        self._turned_s = self._started_s

    def answered(self, answer: Answer) -> None:
        """Take in one answer."""
        service = answer.service
        request_class = answer.request_class
        kind = (service, request_class)
        elapsed = self._latencies.elapsed.get(kind)
        if elapsed is None:
            elapsed = self._latencies.elapsed[kind] = WindowedHistogram()
        record_s(elapsed.running, answer.elapsed_s)
        if answer.waited_s > 0:
            self._latencies.waited(kind, answer.waited_s)
        served = answer.served
        limit_s = self._limits_s.get(request_class)
        line = (
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
        self._lines[line] = self._lines.get(line, 0) + 1
        if answer.shard is not None:
            self._unavailable.note(
                service, answer.shard, at_s=self._clock.seconds(), served=served
            )

    def moved(self, service: str, shards: int) -> None:
        """Count shards that changed owner."""
        self._churn[service] = self._churn.get(service, 0) + shards

    def decide(self, decision: Decision) -> None:
        """Keep a decision: refused and unknown ones always, others sampled."""
        self.decisions.add(decision)

    def tick(self) -> None:
        """Fold counts and turn windows when it is time."""
        now_s = self._clock.seconds()
        if now_s - self._folded_s >= FOLD_S:
            self._fold(now_s)
        if now_s - self._turned_s >= WINDOW_S:
            self._turn(now_s)

    def _fold(self, now_s: float) -> None:
        tallies: Tallies = {}
        for key, count in self._lines.items():
            line = _Line(*key)
            total = _Total(
                line.service,
                line.request_class,
                line.status,
                line.run,
                line.refused or "",
            )
            self._totals[total] = self._totals.get(total, 0) + count
            place = Place(
                line.request_class, line.service, line.rule, line.domain, line.server
            )
            tallies.setdefault(place, Tally()).add(count, count if line.bad else 0)
            if place.server:
                self.loads.add(place.service, place.server, count)
        self._lines.clear()
        self._windows.add(tallies, now_s=now_s)
        self._folded_s = now_s

    def _turn(self, now_s: float) -> None:
        self._latencies.turn()
        self.loads.turn()
        self._turned_s = now_s

    def window_counts(self, windows_s: Iterable[float]) -> list[WindowCount]:
        """Return the good and bad answers of each window, by place."""
        now_s = self._clock.seconds()
        self._fold(now_s)
        return [
            count
            for window_s in windows_s
            for count in self._windows.counts(window_s=window_s, now_s=now_s)
        ]

    def burn_part(self) -> BurnPart:
        """Return what this daemon adds to the burn report."""
        return BurnPart(
            counts=self.window_counts(WINDOWS_S),
            unavailable=self._unavailable_burns(),
            histograms=[one for one in self.encoded() if one.name == ELAPSED],
        )

    def _unavailable_burns(self) -> list[UnavailableBurn]:
        if not self.objectives:
            return []
        now_s = self._clock.seconds()
        allowed_s = min(one.unavailable_s for one in self.objectives)
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

    def encoded(self) -> list[EncodedHistogram]:
        """Return the histograms since the start, encoded so that hosts' add up."""
        return self._latencies.encoded()

    def prometheus_text(self) -> str:
        """Return the metrics in Prometheus' text format."""
        self._fold(self._clock.seconds())
        return prometheus_text(self._samples(), self._latencies.samples())

    def _samples(self) -> Iterable[Sample]:
        for total, count in self._totals.items():
            yield Sample(
                name="gentianwharf_answers",
                help="Answers that callers received.",
                labels={
                    "service": total.service,
                    "class": total.request_class,
                    "status": str(total.status),
                    "run": total.run,
                    "refused": total.refused,
                },
                value=count,
                counter=True,
            )
        yield from self._measure_samples()

    def _measure_samples(self) -> Iterable[Sample]:
        now_s = self._clock.seconds()
        for service, shards in sorted(self._churn.items()):
            yield _measure(
                "churn_shards", "Shards that changed owner.", service, shards, True
            )
        for service in self._latencies.services():
            uneven = self.loads.imbalance(service)
            if uneven is not None:
                yield _measure(
                    "imbalance", "Max/mean answers per server.", service, uneven
                )
            yield _measure(
                "unavailable_shard_seconds",
                "Time in which shards could not be served, added up.",
                service,
                self._unavailable.total_s(service, now_s=now_s),
            )
            yield _measure(
                "unavailable_shards",
                "Shards that can't be served now.",
                service,
                self._unavailable.unavailable_now(service),
            )

    def state(self) -> dict[str, Any]:
        """Return the last window's latency and the measures, for the state page."""
        now_s = self._clock.seconds()
        return {
            "window_s": WINDOW_S,
            "classes": self._latencies.state(),
            "services": {
                service: {
                    "imbalance": self.loads.imbalance(service),
                    "unavailable_shard_s": self._unavailable.total_s(
                        service, now_s=now_s
                    ),
                    "longest_unavailable_s": self._unavailable.longest_s(
                        service, now_s=now_s
                    ),
                    "unavailable_shards": self._unavailable.unavailable_now(service),
                }
                for service in self._latencies.services()
            },
        }


def _measure(
    name: str, text: str, service: str, value: float, counter: bool = False
) -> Sample:
    return Sample(
        name=f"gentianwharf_{name}",
        help=text,
        labels={"service": service},
        value=value,
        counter=counter,
    )
