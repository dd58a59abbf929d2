"""What one end of a tunnel does to the other, while bytes wait in between."""

import socket
import time

import pytest

from tests.builders_processes import wait_until
from tests.builders_relay import in_reactor
from tests.builders_tunnels import tunneling

UPLOAD_BYTES = 20_000_000
"""More than the kernel buffers on loopback for the connections of one tunnel."""

UPLOAD_S = 0.5
"""Time for an upload to fill these buffers."""


def read_all(connection: socket.socket) -> bytes:
    data = b""
    while piece := connection.recv(65_536):
        data += piece
    return data


def test_reset_passes_while_the_server_does_not_read() -> None:
    """Guards against servers and tunnels kept for callers who left within an upload."""
    with tunneling() as hosts:
        user = hosts.opened()
        server = hosts.backend.connection()
        user.write(b"x" * UPLOAD_BYTES)
        time.sleep(UPLOAD_S)
        in_reactor(user.abort_now)
        wait_until(
            lambda: not hosts.carriers[0].open_tunnels, description="a free tunnel"
        )
        with pytest.raises(ConnectionResetError):
            read_all(server)
