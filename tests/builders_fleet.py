"""Records of what servers of a fleet got, for tests of how they are judged."""

from bench.fleet._callers import SentRequest
from bench.fleet._judge import Record
from bench.fleet._orders import ServerEnd
from bench.fleet._sheet import LARGE, MAX_CRASHES

from gentianwharf.platform.standin import Arrival, BodyReport, RequestRun

AGREEMENT = LARGE.agreement
SERVICE, OTHER_SERVICE = "calendar", "seats"
DEADLINE_MS = 4_000


def sent(
    number: int,
    *,
    at_s: float,
    service: str = SERVICE,
    is_crashing: bool = False,
    reason: str = "",
) -> SentRequest:
    """Return a request that a caller sent."""
    return SentRequest(
        id=f"request-{number}",
        kind="consult",
        service=service,
        sent_s=at_s,
        deadline_ms=DEADLINE_MS,
        is_first=True,
        is_crashing=is_crashing,
        reason=reason,
    )


def uploaded(*, received_bytes: int, has_ended_body: bool = True) -> Record:
    """Return a record of an upload of 500 bytes, whose end came to a server."""
    request = sent(1, at_s=0.0)
    request.is_upload, request.has_ended_body = True, has_ended_body
    report = BodyReport(
        server="s",
        request_id=request.id,
        body_bytes=500,
        received_bytes=received_bytes,
        has_ended=True,
        changed_at_byte=None,
    )
    return Record(agreement=AGREEMENT, sent=[request], bodies=[report])


def crashed(*arrivals_s: float) -> Record:
    """Return a record of a request that ended a server each 0.1 s after it arrived.

    After three ends it no longer ends any.
    """
    record = Record(agreement=AGREEMENT)
    for number, at_s in enumerate(arrivals_s):
        record.sent.append(sent(number, at_s=at_s, is_crashing=True))
        record.arrivals.append(arrival(number, at_s=at_s))
        if number < MAX_CRASHES:
            record.ends.append(
                ServerEnd(server="s", ended_at_s=at_s + 0.1, by_request=True)
            )
    return record


def arrival(
    number: int,
    *,
    at_s: float,
    service: str = SERVICE,
    deadline_ms: int | None = DEADLINE_MS,
) -> Arrival:
    """Return the arrival of a request at a server."""
    return Arrival(
        server=f"{service}-1",
        service=service,
        request_id=f"request-{number}",
        arrived_s=at_s,
        deadline_ms=deadline_ms,
    )


def run_at(number: int, server: str) -> RequestRun:
    """Return a run of a request at a server."""
    return RequestRun(
        server=server,
        request_id=f"request-{number}",
        shard=None,
        begun_s=0.0,
        ended_s=1.0,
        is_whole=True,
    )


def repeated(count: int, *, at_s: float, service: str = SERVICE) -> Record:
    """Return a record of requests that each arrived twice."""
    record = Record(agreement=AGREEMENT)
    for number in range(count):
        record.sent.append(sent(number, at_s=at_s))
        record.arrivals.append(arrival(number, at_s=at_s))
        record.arrivals.append(arrival(number, at_s=at_s + 0.1, service=service))
    return record
