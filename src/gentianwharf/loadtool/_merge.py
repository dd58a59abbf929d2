"""Merges the reports of the parts of a run, each sent by a separate process."""

from collections import Counter
from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from gentianwharf.errors import InputError
from gentianwharf.metrics import imbalance, new_histogram

from ._report import LatencySummary, LoadReport, summarize_latencies
from ._tally import MAX_EXAMPLES


def read_report(path: Path) -> LoadReport:
    """Read a report that was written with ``--json``; raises ``InputError``."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=LoadReport)
    except (OSError, msgspec.MsgspecError) as error:
        raise InputError(
            f"{path}: expected a report written with --json: {error}",
            step="read report",
            peer=str(path),
        ) from error


def merge_reports(reports: Sequence[LoadReport]) -> LoadReport:
    """Merge reports of different parts of one plan; raises ``InputError``.

    Duplicate request ids are detected only within a part.
    """
    first = reports[0]
    parts = [part for report in reports for part in report.parts]
    plans = {
        (report.mix, report.seed, report.parts[0].partition("/")[2])
        for report in reports
    }
    if len(plans) > 1 or len(set(parts)) < len(parts):
        raise InputError(
            "expected different parts of one plan (mix, seed and number of parts),"
            f" got {', '.join(f'{r.mix} {r.seed} {r.parts}' for r in reports)}",
            step="merge reports",
            peer="reports",
        )
    servers = _sum_counts(report.servers for report in reports)
    return LoadReport(
        mix=first.mix,
        seed=first.seed,
        offered_per_s=sum(report.offered_per_s for report in reports),
        served_per_s=sum(report.served_per_s for report in reports),
        duration_s=max(report.duration_s for report in reports),
        verdicts=_sum_counts(report.verdicts for report in reports),
        classes={
            name: _merge_latencies(
                [report.classes[name] for report in reports if name in report.classes]
            )
            for name in sorted({name for report in reports for name in report.classes})
        },
        refused=_merge_latencies([report.refused for report in reports]),
        sent=_merge_latencies([report.sent for report in reports]),
        imbalance={name: imbalance(counts) for name, counts in servers.items()},
        servers=servers,
        parts=sorted(parts),
        examples=_merge_examples(reports),
        violations=sum(report.violations for report in reports),
    )


def _sum_counts(
    tables: Iterable[dict[str, dict[str, int]]],
) -> dict[str, dict[str, int]]:
    total: dict[str, Counter[str]] = {}
    for table in tables:
        for name, counts in table.items():
            total.setdefault(name, Counter()).update(counts)
    return {name: dict(counts) for name, counts in total.items()}


def _merge_latencies(summaries: Iterable[LatencySummary]) -> LatencySummary:
    total = new_histogram()
    for summary in summaries:
        total.add(HdrHistogram.decode(summary.encoded))
    return summarize_latencies(total)


def _merge_examples(reports: Iterable[LoadReport]) -> dict[str, list[str]]:
    merged: dict[str, list[str]] = {}
    for report in reports:
        for verdict, lines in report.examples.items():
            merged.setdefault(verdict, []).extend(lines)
    return {verdict: lines[:MAX_EXAMPLES] for verdict, lines in merged.items()}
