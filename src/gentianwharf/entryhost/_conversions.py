"""What the platform lists, in the words of those who deal with it."""

from gentianwharf.keyspace import Candidate, Holder
from gentianwharf.platform import CallerLimits, ServerEntry
from gentianwharf.relay import ConnectionLimits
from gentianwharf.topology import BackendServer

MIN_HEADER_BYTES = len(b"a:\r\n")


def server_of(entry: ServerEntry, connections: int) -> BackendServer:
    """Return a server as the relay and the gate know it.

    ``connections`` is what it accepts from all hosts together.
    """
    return BackendServer(
        id=entry.id,
        service=entry.service,
        domain=entry.domain,
        address=entry.address,
        slots=entry.slots,
        connections=connections,
    )


def holder_of(entry: ServerEntry) -> Holder:
    """Return the life of a server that an entry tells of."""
    return Holder(server_id=entry.id, born_ms=entry.born_ms, address=entry.address)


def candidate_of(entry: ServerEntry) -> Candidate:
    """Return a server as one that may hold shards."""
    return Candidate(holder=holder_of(entry), capacity=float(entry.slots))


def limits_of(limits: CallerLimits) -> ConnectionLimits:
    """Return what the operators let a caller's connection take.

    They bound a head in bytes alone. A bound on the number of headers that is narrower
    would refuse proper requests with 431, for good.
    """
    return ConnectionLimits(
        most_head_bytes=limits.most_head_bytes,
        most_headers=limits.most_head_bytes // MIN_HEADER_BYTES,
        most_body_bytes=limits.most_body_bytes,
        head_timeout_s=limits.head_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )
