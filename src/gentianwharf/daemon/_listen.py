"""Listening on addresses of the settings."""

from typing import Any

from twisted.internet.error import CannotListenError

from gentianwharf.errors import InputError

BACKLOG = 4096
"""Connections that the kernel takes while the loop is busy, as far as it allows.

With Twisted's 50, a pause of 50 ms at 1,000 new connections a second overflows it; the
kernel then drops their first packets, and callers wait a second until they send again.
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
