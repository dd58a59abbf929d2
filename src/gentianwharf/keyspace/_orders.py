"""What is ordered of backend servers that enforce grants themselves."""

from dataclasses import dataclass
from typing import Protocol, final

from gentianwharf.errors import GentianwharfError

from ._table import Holder


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Lets a server run requests of some shards for ``duration_s`` from its arrival.

    ``handover`` comes from the shards' last holder; without it the server is slow at
    first. The same grant once more renews it.
    """

    first: int
    last: int
    token: int
    duration_s: float
    handover: str | None = None


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Release:
    """Takes shards back and, with ``token``, shuts out every grant below it."""

    first: int
    last: int
    token: int


class HolderEndedError(GentianwharfError):
    """Another server has the holder's address: its grants have ended with it."""


class Orders(Protocol):
    """Gives orders to servers, each to one life of a server and to no other.

    ``PeerUnavailableError``: not received. ``RefusedError``: the server has seen a
    higher token. ``HolderEndedError``: another server has the address, and has done
    nothing. ``OutcomeUnknownError``: it may be carried out, perhaps later.
    """

    async def grant(self, holder: Holder, grant: Grant, *, timeout_s: float) -> None:
        """Give shards to a server, or renew its grant."""

    async def release(
        self, holder: Holder, release: Release, *, timeout_s: float
    ) -> str | None:
        """Take shards back; returns the handover for their next holder."""
