"""One report of the parts of a run, each sent by a process of its own."""

from collections import Counter
from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from gentianwharf.errors import InputError
from gentianwharf.metrics import imbalance, new_histogram

from ._report import LatencySummary, LoadReport, summarize_latencies
from ._tally import MOST_EXAMPLES


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
    """Return one report of parts of the same plan; raises ``InputError``.

    Request ids that came twice are found within a part only.
    """
    first = reports[0]
    parts = [part for one in reports for part in one.parts]
    same = {(one.mix, one.seed, one.parts[0].partition("/")[2]) for one in reports}
    if len(same) > 1 or len(set(parts)) < len(parts):
        raise InputError(
            "expected different parts of one plan (mix, seed and number of parts),"
            f" got {', '.join(f'{o.mix} {o.seed} {o.parts}' for o in reports)}",
            step="merge reports",
            peer="reports",
        )
    servers = _added(one.servers for one in reports)
    return LoadReport(
        mix=first.mix,
        seed=first.seed,
        offered_per_s=sum(one.offered_per_s for one in reports),
        served_per_s=sum(one.served_per_s for one in reports),
        duration_s=max(one.duration_s for one in reports),
        verdicts=_added(one.verdicts for one in reports),
        classes={
            name: _merge_latencies(
                [one.classes[name] for one in reports if name in one.classes]
            )
            for name in sorted({name for one in reports for name in one.classes})
        },
        refused=_merge_latencies([one.refused for one in reports]),
        sent=_merge_latencies([one.sent for one in reports]),
        imbalance={name: imbalance(counts) for name, counts in servers.items()},
        servers=servers,
        parts=sorted(parts),
        examples=_examples(reports),
        violations=sum(one.violations for one in reports),
    )


def _added(tables: Iterable[dict[str, dict[str, int]]]) -> dict[str, dict[str, int]]:
    total: dict[str, Counter[str]] = {}
    for table in tables:
        for name, counts in table.items():
            total.setdefault(name, Counter()).update(counts)
    return {name: dict(counts) for name, counts in total.items()}


def _merge_latencies(times: Iterable[LatencySummary]) -> LatencySummary:
    total = new_histogram()
    for one in times:
        total.add(HdrHistogram.decode(one.encoded))
    return summarize_latencies(total)


def _examples(reports: Iterable[LoadReport]) -> dict[str, list[str]]:
    found: dict[str, list[str]] = {}
    for one in reports:
        for verdict, lines in one.examples.items():
            found.setdefault(verdict, []).extend(lines)
    return {verdict: lines[:MOST_EXAMPLES] for verdict, lines in found.items()}
