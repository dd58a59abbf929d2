"""Ends of servers under requests, as hosts tell each other of them."""

from collections.abc import Iterable, Iterator

from gentianwharf.quarantine import CrashEvidence, Record, RequestName, ServerCrash

from ._peer_messages import CrashReport


def report_of(name: RequestName, crash: ServerCrash, *, now_s: float) -> CrashReport:
    """Return what other hosts are told of an end."""
    return CrashReport(
        name.digest,
        name.head,
        crash.incarnation,
        round((now_s - crash.ended_s) * 1000),
        crash.ended_unix_ms,
        str(crash.evidence),
        crash.host,
        crash.request_id,
        crash.service,
        crash.is_correlated,
        crash.is_permitted,
    )


def crash_of(report: CrashReport, *, now_s: float) -> ServerCrash:
    """Return an end that another host reported."""
    try:
        evidence = CrashEvidence(report.evidence)
    except ValueError:
        # A host of a later release knows further kinds of evidence.
        evidence = CrashEvidence.REFUSED
    return ServerCrash(
        incarnation=report.incarnation,
        ended_s=now_s - report.age_ms / 1000,
        ended_unix_ms=report.ended_unix_ms,
        evidence=evidence,
        host=report.host,
        request_id=report.request_id,
        service=report.service,
        is_correlated=report.is_correlated,
        is_permitted=report.is_permitted,
    )


def recent_reports(
    records: Iterable[Record], *, since_s: float, now_s: float
) -> Iterator[CrashReport]:
    """Yield the ends that were noticed after ``since_s``."""
    for record in records:
        name = RequestName(head=record.head, digest=record.digest)
        for crash in record.crashes.values():
            if crash.ended_s > since_s:
                yield report_of(name, crash, now_s=now_s)
