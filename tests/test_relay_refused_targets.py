"""A request with a target that can't be sent costs no other request its answer."""

import threading
import time

import pytest

from tests.builders_answers import ok
from tests.builders_processes import wait_until
from tests.builders_relay import in_reactor, read_to_end, request, running_relay

BUSY_S = 0.2
DEADLINE_MS = 1_500


@pytest.mark.parametrize("body", [b"", b"hello"], ids=["head-only", "whole"])
def test_next_request_uses_no_connection_that_a_refused_upload_aborts(
    body: bytes,
) -> None:
    """Guards against answers lost on a connection that is idle and being aborted."""
    refused = request("POST", "/plain/\x7f", headers="Content-Length: 5\r\n") + body
    with running_relay([ok], deadline_ms=DEADLINE_MS) as relay:
        relay.send(request("GET"))
        wait_until(lambda: not relay.site.channels, description="the first's end")
        with relay.connect() as first, relay.connect() as second:
            wait_until(lambda: len(relay.site.channels) == 2, description="callers")
            busy = threading.Thread(
                target=in_reactor, args=(lambda: time.sleep(BUSY_S),)
            )
            busy.start()
            time.sleep(BUSY_S / 4)
            first.sendall(refused)
            second.sendall(request("POST", headers="Content-Length: 0\r\n"))
            busy.join()
            assert first.recv(65_536).startswith(b"HTTP/1.1 400 ")
            assert read_to_end(second).startswith(b"HTTP/1.1 200 ")
