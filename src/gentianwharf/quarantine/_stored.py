"""Requests under which servers ended, as they are kept in a store."""

import msgspec

from ._name import RequestName
from ._record import (
    CrashEvidence,
    PermittedTry,
    Record,
    ServerCrash,
    TryState,
    is_convicted,
)

QUARANTINE_PREFIX = "gentianwharf/quarantine/"
"""Prefix of the items' keys, followed by the hexadecimal names of the requests."""


class StoredCrash(msgspec.Struct):
    """The end of a server under a request; the fields are those of ``ServerCrash``."""

    incarnation: str
    ended_unix_ms: int
    evidence: CrashEvidence
    host: str
    request_id: str
    service: str
    is_correlated: bool
    is_permitted: bool = False
    try_id: str = ""

    def crash(self, *, now_s: float, now_unix_s: float) -> ServerCrash:
        """Return the end on the clock of this host."""
        age_s = max(0.0, now_unix_s - self.ended_unix_ms / 1000)
        return ServerCrash(
            incarnation=self.incarnation,
            ended_s=now_s - age_s,
            ended_unix_ms=self.ended_unix_ms,
            evidence=self.evidence,
            host=self.host,
            request_id=self.request_id,
            service=self.service,
            is_correlated=self.is_correlated,
            is_permitted=self.is_permitted,
            try_id=self.try_id,
        )


class StoredTry(msgspec.Struct):
    """A try of a suspected request; the fields are those of ``PermittedTry``."""

    try_id: str
    begun_unix_ms: int
    host: str
    request_id: str
    state: TryState

    def permitted_try(self, *, now_s: float, now_unix_s: float) -> PermittedTry:
        """Return the try on the clock of this host."""
        age_s = max(0.0, now_unix_s - self.begun_unix_ms / 1000)
        return PermittedTry(
            try_id=self.try_id,
            begun_s=now_s - age_s,
            begun_unix_ms=self.begun_unix_ms,
            host=self.host,
            request_id=self.request_id,
            state=self.state,
        )


class StoredRequest(msgspec.Struct):
    """A request as it is stored under its name; ``head`` is in hexadecimal.

    Where it ``is_released``, it is cleared of these ends and tries.
    """

    head: str
    crashes: list[StoredCrash]
    tries: list[StoredTry] = []
    is_released: bool = False

    @property
    def is_convicted(self) -> bool:
        """Whether the request is refused, but for its last tries."""
        return is_convicted(self.crashes)

    def evidence_ids(self) -> list[str]:
        """Return what identifies each end of a server and each try."""
        ends = [crash.incarnation for crash in self.crashes]
        return ends + [known.try_id for known in self.tries]


def encode_record(record: Record) -> bytes:
    """Return a record as it is stored."""
    return msgspec.json.encode(
        StoredRequest(
            head=record.head.hex(),
            crashes=[
                StoredCrash(
                    incarnation=crash.incarnation,
                    ended_unix_ms=crash.ended_unix_ms,
                    evidence=crash.evidence,
                    host=crash.host,
                    request_id=crash.request_id,
                    service=crash.service,
                    is_correlated=crash.is_correlated,
                    is_permitted=crash.is_permitted,
                    try_id=crash.try_id,
                )
                for crash in record.in_order()
            ],
            tries=[
                StoredTry(
                    try_id=known.try_id,
                    begun_unix_ms=known.begun_unix_ms,
                    host=known.host,
                    request_id=known.request_id,
                    state=known.state,
                )
                for known in record.tries.values()
            ],
        )
    )


def encode_released(value: bytes) -> bytes:
    """Return a stored request that is cleared of all that it lists.

    Raises ``ValueError`` if it can't be decoded.
    """
    try:
        stored = msgspec.json.decode(value, type=StoredRequest)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error
    stored.is_released = True
    return msgspec.json.encode(stored)


def decode_record(name: str, value: bytes) -> tuple[RequestName, StoredRequest]:
    """Return a stored request; ``name`` is the hexadecimal digest.

    Raises ``ValueError`` if it can't be decoded.
    """
    try:
        stored = msgspec.json.decode(value, type=StoredRequest)
        digest, head = bytes.fromhex(name), bytes.fromhex(stored.head)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error
    return RequestName(head=head, digest=digest), stored
