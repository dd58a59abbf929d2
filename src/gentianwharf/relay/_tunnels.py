"""The interface through which connections to servers use tunnels."""

from typing import Any, Protocol

from gentianwharf.topology import BackendServer


class Tunnel(Protocol):
    """A connection to a server through another host."""

    @property
    def host(self) -> str:
        """The name of the other host."""

    def attach(self, user: Any) -> None:
        """Let a protocol use the connection from now on."""

    def share_notice(self, *, rest_s: float | None, is_leaving: bool) -> None:
        """Tell the host that carries the tunnel what the server stated.

        To the server, the request has come from there.
        """

    def closed(self) -> None:
        """Record that the connection is lost."""


class Tunnels(Protocol):
    """Opens tunnels."""

    async def open(self, server: BackendServer, *, timeout_s: float) -> Tunnel | None:
        """Open a tunnel to a server; return None if no host accepts tunnels.

        Raises ``PeerUnavailableError``, before any byte of a request is sent.
        """


class NoTunnels:
    """For programs whose hosts open no tunnels for each other."""

    async def open(self, server: BackendServer, *, timeout_s: float) -> Tunnel | None:
        """Return None."""
        return None
