"""Decoding of backend servers' entries in the platform's store."""

from dataclasses import dataclass
from enum import StrEnum
from ipaddress import ip_address
from math import isfinite
from typing import Annotated, final

import msgspec

from gentianwharf.errors import InputError

from ._units import decode_time_s

SERVERS_PREFIX = "servers/"
"""Key prefix of the entries; each backend server writes its own, under its id."""

STEP = "read-server-entry"


class ServerState(StrEnum):
    """A server's state as it reports it."""

    READY = "ready"
    DRAINING = "draining"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServerEntry:
    """One backend server as it describes itself.

    ``born_ms`` distinguishes successive instances of a server under the same id. A
    restarted server holds no keys and no state of the previous instance.
    """

    id: str
    born_ms: int
    service: str
    address: str
    domain: str
    slots: int
    state: ServerState
    cold_remaining_s: float = 0.0
    """How long the server stays cold from the time of its entry."""


# Larger integers can't be written to the store again. The key table contains a server's
# birth time, and a table that can't be written blocks every move of its service.
_StoredInt = Annotated[int, msgspec.Meta(le=2**63 - 1)]


class _Entry(msgspec.Struct):
    """The fields of an entry that hosts use.

    Fields that hosts don't use must not be decoded: an unexpected value in one would
    invalidate the entry, and the server would get no requests.
    """

    service: str
    address: str
    zone: str
    slots: _StoredInt
    state: ServerState
    # Some platforms don't send it; each id then stands for one instance only.
    born: _StoredInt = 0
    cold_remaining: msgspec.Raw = msgspec.field(
        name="cold-remaining", default=msgspec.Raw(b'"0ms"')
    )


def decode_server_entry(key: str, value: bytes) -> ServerEntry:
    """Return the server that an item describes.

    Raises ``InputError`` if the entry can't be decoded; it may come from a writer
    other than a backend server.
    """
    try:
        entry = msgspec.json.decode(value, type=_Entry)
        host, _, port = entry.address.rpartition(":")
        ip_address(host)
        if not 0 < int(port) < 65536:
            raise ValueError(f"address: expected a port, got {port!r}")
        if entry.slots <= 0:
            raise ValueError(f"slots: expected a number above 0, got {entry.slots}")
        return ServerEntry(
            id=key.removeprefix(SERVERS_PREFIX),
            born_ms=entry.born,
            service=entry.service,
            address=entry.address,
            domain=entry.zone,
            slots=entry.slots,
            state=entry.state,
            cold_remaining_s=_decode_cold_remaining_s(entry.cold_remaining),
        )
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise InputError(
            f"invalid server entry: {error}", step=STEP, peer=key
        ) from error


def _decode_cold_remaining_s(raw: msgspec.Raw) -> float:
    """Return the time in seconds, 0 if it can't be decoded.

    A server with an unreadable time must not become unusable.
    """
    try:
        remaining_s = decode_time_s(msgspec.json.decode(raw, type=str))
    except (msgspec.DecodeError, ValueError):
        return 0.0
    return remaining_s if isfinite(remaining_s) else 0.0
