"""Backend servers' entries in the platform's store."""

from dataclasses import dataclass
from enum import StrEnum
from ipaddress import ip_address
from typing import final

import msgspec

from gentianwharf.errors import InputError

from ._units import decode_time_s

SERVERS_PREFIX = "servers/"
"""Below it each backend server keeps its own entry, by its id."""

STEP = "read-server-entry"


class ServerState(StrEnum):
    """What a server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServerEntry:
    """One backend server as it describes itself.

    ``born_ms`` tells one life of a server from the next under the same id: a server
    that was born again holds no keys and knows nothing of before.
    """

    id: str
    born_ms: int
    service: str
    address: str
    domain: str
    slots: int
    state: ServerState
    cold_s: float


class _Entry(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    slots: int
    state: ServerState
    # Not every platform of today sends it: then an id has one life only.
    born: int = 0
    cold_remaining: str = "0ms"


def decode_server_entry(key: str, value: bytes) -> ServerEntry:
    """Return the server that an item describes; raises ``InputError``.

    Entries may come from other writers. One that can't be read names no server.
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
            cold_s=decode_time_s(entry.cold_remaining),
        )
    except (msgspec.DecodeError, ValueError) as error:
        raise InputError(
            f"entry names no server: {error}", step=STEP, peer=key
        ) from error
