"""A link from one host, to a server or a host, which is cut without either failing."""

import socket
from enum import StrEnum
from typing import Any, final

from ._proxy import LinkFault, Proxy

FILLERS = 3
"""Connections that fill the accept queue of a listener with a backlog of 0."""


class LinkCut(StrEnum):
    """What becomes of the connections on a link that is cut."""

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse-new"


@final
class FullListener:
    """A listener whose connections are neither accepted nor refused."""

    def __init__(self, *, address: str) -> None:
        ip, _, port = address.rpartition(":")
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, int(port)))
        listener.listen(0)
        self._sockets = [listener]
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((ip, int(port)))
            self._sockets.append(filler)

    def close(self) -> None:
        """Stop listening; connections that still hang are reset."""
        for each in self._sockets:
            each.close()


@final
class ServerLink:
    """Forwards connections from ``listens_on`` to ``target`` unless it is cut."""

    def __init__(self, *, reactor: Any, listens_on: str, target: str) -> None:
        self._listens_on = listens_on
        self._proxy = Proxy(reactor=reactor, listens_on=listens_on, target=target)
        self._cut: LinkCut | None = None
        self._full_listener: FullListener | None = None

    def cut(self, form: LinkCut) -> None:
        """Cut the link, unless it is cut already."""
        if self._cut is not None:
            return
        self._cut = form
        stopped = self._proxy.stop_listening()
        if form is LinkCut.HANG:
            self._proxy.begin(LinkFault.SILENCE)
            stopped.addCallback(lambda _: self._let_connections_hang())
        elif form is LinkCut.RESET:
            self._proxy.begin(LinkFault.RESET)

    def _let_connections_hang(self) -> None:
        if self._cut is LinkCut.HANG:
            self._full_listener = FullListener(address=self._listens_on)

    def restore(self) -> None:
        """Restore the link."""
        if self._cut is None:
            return
        self._cut = None
        if self._full_listener is not None:
            self._full_listener.close()
            self._full_listener = None
        self._proxy.end()
        self._proxy.listen()

    def reset(self) -> None:
        """Reset all open connections."""
        self._proxy.reset()

    def stop(self) -> None:
        """Close everything."""
        if self._full_listener is not None:
            self._full_listener.close()
        self._proxy.stop()
