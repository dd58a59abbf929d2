"""The report of a run, as text and as JSON."""

from dataclasses import dataclass
from typing import final

import msgspec
from hdrh.histogram import HdrHistogram

from gentianwharf.metrics import imbalance, percentile_s

from ._plan import Part
from ._tally import LoadTally

MILLISECONDS = 1_000


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class LatencySummary:
    """Percentiles in milliseconds, and the encoded histogram for merging."""

    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float
    encoded: str


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """The results of a run as callers see them.

    ``classes`` holds latencies of served requests, measured from when they were due;
    ``refused`` those of requests that were refused as not run; ``sent`` those of all
    requests, measured from when they were sent. A large gap between ``sent`` and
    ``classes`` means that the load tool or its connections were the bottleneck.
    ``servers`` counts the served requests of each server by service, and ``parts``
    lists the parts of the plan that were sent.
    """

    mix: str
    seed: int
    offered_per_s: float
    served_per_s: float
    duration_s: float
    verdicts: dict[str, dict[str, int]]
    classes: dict[str, LatencySummary]
    refused: LatencySummary
    sent: LatencySummary
    imbalance: dict[str, float]
    servers: dict[str, dict[str, int]]
    parts: list[str]
    examples: dict[str, list[str]]
    violations: int

    def as_json(self) -> str:
        """Return the report as one JSON object."""
        return msgspec.json.encode(self).decode()

    def as_text(self) -> str:
        """Return the report as human-readable lines."""
        lines = [
            f"{self.mix}, seed {self.seed}: offered {self.offered_per_s:.0f}/s,"
            f" served {self.served_per_s:.0f}/s over {self.duration_s:.1f} s",
            f"{'class':<14}{'served':>9}{'p50 ms':>10}{'p99 ms':>10}"
            f"{'p99.9 ms':>10}{'max ms':>10}",
        ]
        lines += [_row(name, summary) for name, summary in sorted(self.classes.items())]
        lines += [_row("(refused)", self.refused), _row("(as sent)", self.sent)]
        for request_class, counts in sorted(self.verdicts.items()):
            parts = [f"{name} {count}" for name, count in sorted(counts.items())]
            lines.append(f"{request_class}: {', '.join(parts)}")
        for service, value in sorted(self.imbalance.items()):
            lines.append(f"{service}: imbalance {value:.2f} (max/mean)")
        for verdict, examples in sorted(self.examples.items()):
            lines += [f"{verdict}: {example}" for example in examples]
        lines.append(f"violations: {self.violations}")
        return "\n".join(lines)


def make_report(
    tally: LoadTally,
    *,
    mix: str,
    seed: int,
    offered_per_s: float,
    part: Part | None = None,
) -> LoadReport:
    """Build the report from a tally."""
    verdicts: dict[str, dict[str, int]] = {}
    for (request_class, verdict), count in tally.verdicts.items():
        verdicts.setdefault(request_class, {})[str(verdict)] = count
    served = sum(histogram.get_total_count() for histogram in tally.elapsed.values())
    return LoadReport(
        mix=mix,
        seed=seed,
        offered_per_s=offered_per_s,
        served_per_s=served / tally.duration_s if tally.duration_s else 0.0,
        duration_s=tally.duration_s,
        verdicts=verdicts,
        classes={
            name: summarize_latencies(histogram)
            for name, histogram in tally.elapsed.items()
        },
        refused=summarize_latencies(tally.refused),
        sent=summarize_latencies(tally.service_time),
        imbalance={name: imbalance(counts) for name, counts in tally.servers.items()},
        servers={name: dict(counts) for name, counts in tally.servers.items()},
        parts=[str(part or Part())],
        examples={str(verdict): lines for verdict, lines in tally.examples.items()},
        violations=tally.violations,
    )


def summarize_latencies(histogram: HdrHistogram) -> LatencySummary:
    """Return the percentiles of a histogram."""
    return LatencySummary(
        count=histogram.get_total_count(),
        p50_ms=percentile_s(histogram, 50) * MILLISECONDS,
        p99_ms=percentile_s(histogram, 99) * MILLISECONDS,
        p999_ms=percentile_s(histogram, 99.9) * MILLISECONDS,
        max_ms=percentile_s(histogram, 100) * MILLISECONDS,
        encoded=histogram.encode().decode(),
    )


def _row(name: str, summary: LatencySummary) -> str:
    return (
        f"{name:<14}{summary.count:>9}{summary.p50_ms:>10.2f}{summary.p99_ms:>10.2f}"
        f"{summary.p999_ms:>10.2f}{summary.max_ms:>10.2f}"
    )
