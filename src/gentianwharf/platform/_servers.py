"""Backend servers' entries in the platform's store."""

from dataclasses import dataclass
from enum import StrEnum
from ipaddress import ip_address
from typing import Annotated, final

import msgspec

from gentianwharf.errors import InputError

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


# What is wider can't be passed on: the table of keys names a server's birth, and one
# that could not be written would hold up every move of its service.
_StoredInt = Annotated[int, msgspec.Meta(le=2**63 - 1)]


class _Entry(msgspec.Struct):
    """What hosts use of an entry. A field that none uses must not be read.

    An odd value of it would cost the server all of its requests.
    """

    service: str
    address: str
    zone: str
    slots: _StoredInt
    state: ServerState
    # Not every platform of today sends it: then an id has one life only.
    born: _StoredInt = 0


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
        )
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise InputError(
            f"entry names no server: {error}", step=STEP, peer=key
        ) from error
