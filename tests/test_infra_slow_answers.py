"""An answer that outlasts its call is read no further."""

import socket
import threading
import time
from typing import Any

from twisted.internet.defer import Deferred

from gentianwharf.errors import OutcomeUnknownError
from gentianwharf.infra import HttpBackendControl
from tests.builders_relay import (
    REACTOR,
    ScriptedServer,
    in_reactor,
    make_server,
    request_id_header,
    running_reactor,
)

TIMEOUT_S = 0.3
PIECE_INTERVAL_S = 0.05
MOST_PIECES = 60


def test_connection_of_a_call_that_timed_out_is_closed() -> None:
    """Guards against answers without end that are read on after their calls."""
    closed = threading.Event()

    def trickling(connection: socket.socket, head: bytes) -> None:
        echo = request_id_header(head)
        connection.sendall(
            f"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n{echo}\r\n".encode()
        )
        try:
            for _ in range(MOST_PIECES):
                time.sleep(PIECE_INTERVAL_S)
                connection.sendall(b" ")
        except OSError:
            closed.set()

    running_reactor()
    scripted = ScriptedServer(scripts=[trickling])
    server = make_server(0, scripted.start())
    control = HttpBackendControl(reactor=REACTOR, order_timeout_s=TIMEOUT_S)

    def report() -> Any:
        reported: Deferred[Any] = Deferred.fromCoroutine(control.report(server))
        return reported.addErrback(lambda failure: failure.value)

    assert isinstance(in_reactor(report), OutcomeUnknownError)
    assert closed.wait(MOST_PIECES * PIECE_INTERVAL_S / 2)
    scripted.stop()
