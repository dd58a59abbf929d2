"""Orders to backend servers that enforce grants themselves."""

from dataclasses import dataclass
from typing import Protocol, final

from gentianwharf.errors import GentianwharfError

from ._table import Holder


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Allows a server to execute requests of some shards, ``duration_s`` from arrival.

    ``handover`` comes from the previous holder of the shards; without it the server is
    slow at first. Sending the same grant again renews it.
    """

    first: int
    last: int
    token: int
    duration_s: float
    handover: str | None = None


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Release:
    """Withdraws shards; ``token`` invalidates every grant with a lower one."""

    first: int
    last: int
    token: int


class HolderEndedError(GentianwharfError):
    """Another server has the holder's address, so the holder's grants have ended."""


class OrderWithheldError(GentianwharfError):
    """``MaySend`` did not allow the order, so it was not sent and has no effect."""


class MaySend(Protocol):
    """Checks whether an order may be sent, immediately before it is written."""

    def __call__(self, *, on_new_connection: bool) -> bool:
        """Whether the order may be sent, on a new connection or on an existing one.

        A connection closes when the server's process ends. The process behind an
        existing connection therefore still has all tokens that it received since the
        connection was opened. A new connection may reach a server that was restarted
        under its id and has no tokens.
        """


class Orders(Protocol):
    """Sends orders to servers.

    Each order goes to the server with the holder's id and to no other. ``may_send`` is
    called before each write of the order.

    Raises ``PeerUnavailableError`` if the order was not received, ``RefusedError`` if
    the server has seen a higher token, ``HolderEndedError`` if another server has the
    address (it has ignored the order), ``OrderWithheldError`` if ``may_send`` did not
    allow the order, and ``OutcomeUnknownError`` if the order may be carried out,
    possibly later.
    """

    async def grant(
        self, holder: Holder, grant: Grant, *, timeout_s: float, may_send: MaySend
    ) -> None:
        """Grant shards to a server, or renew its grant."""

    async def release(
        self, holder: Holder, release: Release, *, timeout_s: float, may_send: MaySend
    ) -> str | None:
        """Withdraw shards; return the handover for their next holder."""
