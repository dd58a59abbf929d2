"""Conversions of the platform's entries to the types of other packages."""

from gentianwharf.dispatch import DispatchHost
from gentianwharf.keyspace import Candidate, Holder
from gentianwharf.load import RetryAgreement
from gentianwharf.platform import (
    Agreements,
    CallerLimits,
    ConfiguredService,
    ServerEntry,
)
from gentianwharf.relay import ConnectionLimits, ServerNotice
from gentianwharf.topology import BackendServer

from ._peer_messages import HostAddress, ServerNoticeReport

MIN_HEADER_BYTES = len(b"a:\r\n")


def server_of(entry: ServerEntry, service: ConfiguredService) -> BackendServer:
    """Return a listed server as the type that the relay and the gate use."""
    return BackendServer(
        id=entry.id,
        service=entry.service,
        domain=entry.domain,
        address=entry.address,
        slots=entry.slots,
        connections=service.connections,
        cold_requests_per_s=service.cold_requests_per_s,
    )


def retry_agreement_of(agreements: Agreements) -> RetryAgreement:
    """Return the retries that operators allow all hosts together."""
    return RetryAgreement(
        ratio=agreements.retry_budget_ratio,
        extra=agreements.retry_budget_extra,
        window_s=agreements.retry_window_s,
    )


def holder_of(entry: ServerEntry) -> Holder:
    """Return the holder of grants for the server process that wrote an entry."""
    return Holder(server_id=entry.id, born_ms=entry.born_ms, address=entry.address)


def candidate_of(entry: ServerEntry) -> Candidate:
    """Return a server as a candidate for holding shards."""
    return Candidate(holder=holder_of(entry), capacity=float(entry.slots))


def dispatch_host_of(entry: HostAddress) -> DispatchHost:
    """Return a listed host as the type that the client of dispatchers uses."""
    return DispatchHost(
        name=entry.host, address=entry.address, domain=entry.domain, cores=entry.cores
    )


def notice_of(report: ServerNoticeReport) -> ServerNotice:
    """Return what a server stated to another host as the type that the gate uses."""
    return ServerNotice(
        max_requests_per_s=report.max_requests_per_s, is_leaving=report.is_leaving
    )


def limits_of(limits: CallerLimits) -> ConnectionLimits:
    """Return the operators' limits for a caller's connection.

    The operators limit a head by its bytes only. A lower limit on the number of headers
    would permanently refuse valid requests with 431.
    """
    return ConnectionLimits(
        most_head_bytes=limits.max_header_bytes,
        most_headers=limits.max_header_bytes // MIN_HEADER_BYTES,
        most_body_bytes=limits.max_body_bytes,
        head_timeout_s=limits.head_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )
