"""Nothing is sent again to an address where another server has answered."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from gentianwharf.platform import PlatformHeaderCodec
from gentianwharf.relay import ServerConnectionPool
from tests.builders_late_answers import LateCopies, accepted, misdirected
from tests.builders_relay import (
    in_reactor,
    request,
    request_id_header,
    response,
    running_relay,
)


def misdirected_by(instance: str) -> Callable[[bytes], bytes]:
    """Return the answer of a server with this id that refuses a request."""

    def answer(head: bytes) -> bytes:
        extra = f"Not-Executed: 1\r\nInstance-Id: {instance}\r\n"
        return response(
            b"",
            status="421 Misdirected Request",
            extra=extra + request_id_header(head),
        )

    return answer


def test_address_of_another_server_gets_one_request() -> None:
    """Guards against repeats at a server of another service, which no host counts."""
    other = LateCopies(answers=[misdirected_by("i-other")], copies=0)
    successor = LateCopies(answers=[accepted], copies=0)
    with running_relay([other], [successor], codec=PlatformHeaderCodec()) as relay:
        relay.ownership.keeps_owner = True
        statuses = [
            relay.send(request("POST", "/keyed/1", headers=f"Attempt-Id: {n}\r\n"))[:12]
            for n in range(3)
        ]
        pool: ServerConnectionPool = relay.app.connections["s0"]
        assert statuses == [b"HTTP/1.1 503"] * 3
        assert len(relay.servers[0].heads) == 1
        assert relay.servers[0].connections == 1

        def move() -> None:
            address = relay.app.connections["s1"].server.address
            pool.update_server(replace(pool.server, address=address))

        in_reactor(move)
        moved = relay.send(request("POST", "/keyed/1", headers="Attempt-Id: 4\r\n"))
        assert moved.startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(misdirected_by("s0"), id="its-own-id"),
        pytest.param(misdirected, id="no-id"),
    ],
)
def test_server_that_does_not_own_a_key_gets_further_requests(
    answer: Callable[[bytes], bytes],
) -> None:
    """Guards against a server that is given up because one of its keys has moved."""
    server = LateCopies(answers=[answer, accepted], copies=0)
    with running_relay([server], codec=PlatformHeaderCodec()) as relay:
        relay.ownership.keeps_owner = True
        received = relay.send(request("POST", "/keyed/1", headers="Attempt-Id: 1\r\n"))
        assert received.startswith(b"HTTP/1.1 200 ")
