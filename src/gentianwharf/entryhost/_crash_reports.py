"""Ends of servers under requests, and tries, as hosts tell each other of them."""

from collections.abc import Iterable, Iterator

from gentianwharf.quarantine import (
    CrashEvidence,
    PermittedTry,
    Record,
    RequestName,
    ServerCrash,
    TryState,
)

from ._peer_messages import CrashReport, TryReport


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
        crash.try_id,
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
        try_id=report.try_id,
    )


def try_report_of(name: RequestName, tried: PermittedTry, *, now_s: float) -> TryReport:
    """Return what other hosts are told of a try."""
    return TryReport(
        name.digest,
        name.head,
        tried.try_id,
        round((now_s - tried.begun_s) * 1000),
        tried.begun_unix_ms,
        tried.host,
        tried.request_id,
        tried.state,
    )


def try_of(report: TryReport, *, now_s: float) -> PermittedTry:
    """Return a try that another host reported."""
    try:
        state = TryState(report.state)
    except ValueError:
        # A host of a later release knows further states.
        state = TryState.COUNTED
    return PermittedTry(
        try_id=report.try_id,
        begun_s=now_s - report.age_ms / 1000,
        begun_unix_ms=report.begun_unix_ms,
        host=report.host,
        request_id=report.request_id,
        state=state,
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


def recent_tries(
    records: Iterable[Record], *, since_s: float, now_s: float
) -> Iterator[TryReport]:
    """Yield the tries that were counted after ``since_s``."""
    for record in records:
        name = RequestName(head=record.head, digest=record.digest)
        for tried in record.tries.values():
            if tried.begun_s > since_s:
                yield try_report_of(name, tried, now_s=now_s)
