"""Listening on addresses of the settings."""

from typing import Any

from twisted.internet.error import CannotListenError

from gentianwharf.errors import InputError


def listen(reactor: Any, address: str, factory: Any) -> Any:
    """Listen on ``IP:PORT`` and return the port."""
    host, _, port = address.rpartition(":")
    try:
        return reactor.listenTCP(int(port), factory, interface=host.strip("[]"))
    except CannotListenError as error:
        raise InputError(
            f"can't listen on {address}: {error.socketError}; is another daemon"
            " running, or is the address of another host?",
            step="listen",
            peer=address,
        ) from error
