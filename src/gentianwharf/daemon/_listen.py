"""Listening on the addresses of the settings."""

from typing import Any

from twisted.internet.error import CannotListenError

from gentianwharf.errors import InputError

BACKLOG = 4096
"""Connections that the kernel queues while the event loop is busy; it may allow fewer.

Twisted's default of 50 overflows in a pause of 50 ms at 1,000 new connections a second.
The kernel then drops the first packets of new connections, and callers retransmit them
only after a second.
"""


def listen(reactor: Any, address: str, factory: Any) -> Any:
    """Listen on ``IP:PORT`` and return the port."""
    host, _, port = address.rpartition(":")
    try:
        return reactor.listenTCP(
            int(port), factory, backlog=BACKLOG, interface=host.strip("[]")
        )
    except CannotListenError as error:
        raise InputError(
            f"can't listen on {address}: {error.socketError}; is another daemon"
            " running, or is the address of another host?",
            step="listen",
            peer=address,
        ) from error
