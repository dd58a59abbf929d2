"""Decoding of backend servers' entries in the platform's store."""

import re
from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, final

import msgspec

from gentianwharf.addresses import split_address
from gentianwharf.errors import InputError

from ._units import decode_time_s

SERVERS_PREFIX = "servers/"
"""Key prefix of the entries; each backend server writes its own, under its id."""

STEP = "read-server-entry"

MAX_SLOTS = 100_000
MAX_NAME_CHARACTERS = 255
MAX_COLD_REMAINING_S = 3_600.0

_ID = re.compile(rf"[!-~]{{1,{MAX_NAME_CHARACTERS}}}")
"""Ids are sent in headers of requests."""


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


# The key table contains a server's birth time, and a table that can't be written blocks
# every move of its service. JSON readers keep integers up to this one exact.
_BirthMs = Annotated[int, msgspec.Meta(ge=0, le=2**53 - 1)]
_Slots = Annotated[int, msgspec.Meta(gt=0, le=MAX_SLOTS)]
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]


class _Entry(msgspec.Struct):
    """The fields of an entry that hosts use.

    Fields that hosts don't use must not be decoded: an unexpected value in one would
    invalidate the entry, and the server would get no requests.
    """

    service: _Name
    address: _Name
    zone: _Name
    slots: _Slots
    state: ServerState
    # Some platforms don't send it; each id then stands for one instance only.
    born: _BirthMs = 0
    cold_remaining: msgspec.Raw = msgspec.field(
        name="cold-remaining", default=msgspec.Raw(b'"0ms"')
    )


def decode_server_entry(key: str, value: bytes) -> ServerEntry:
    """Return the server that an item describes.

    Raises ``InputError`` if the entry can't be decoded; it may come from a writer
    other than a backend server.
    """
    server_id = key.removeprefix(SERVERS_PREFIX)
    try:
        entry = msgspec.json.decode(value, type=_Entry)
        ip, port = split_address(entry.address)
        if _ID.fullmatch(server_id) is None:
            raise ValueError(
                f"id: expected visible ASCII characters, got {server_id[:40]!r}"
            )
        for name, text in (("service", entry.service), ("zone", entry.zone)):
            if not text.isprintable():
                raise ValueError(f"{name}: expected printable text, got {text[:40]!r}")
        return ServerEntry(
            id=server_id,
            born_ms=entry.born,
            service=entry.service,
            address=f"{ip}:{port}",
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
    """Return the time in seconds, 0 if it can't be decoded or is too long.

    A server with an unreadable time must not become unusable.
    """
    try:
        remaining_s = decode_time_s(msgspec.json.decode(raw, type=str))
    except (msgspec.DecodeError, ValueError):
        return 0.0
    return remaining_s if remaining_s <= MAX_COLD_REMAINING_S else 0.0
