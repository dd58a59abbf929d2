"""Callers that connect while a host starts."""

import socket
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from twisted.internet.threads import blockingCallFromThread
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from gentianwharf.early_port import open_port
from gentianwharf.entryhost._callers_port import CallersPort
from tests.builders_relay import running_reactor

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class _ServedResource(Resource):
    isLeaf = True  # noqa: N815

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        return b"served"


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    opened = open_port("127.0.0.1:0")
    yield opened
    opened.close()


def in_reactor(call: Callable[[], Any]) -> Any:
    return blockingCallFromThread(running_reactor(), call)


def callers_port(listener: socket.socket, can_serve: Callable[[], bool]) -> CallersPort:
    return CallersPort(
        address="127.0.0.1:0",
        listener=listener,
        site=Site(_ServedResource()),
        can_serve=can_serve,
        reactor=running_reactor(),
    )


def ask(address: tuple[str, int]) -> socket.socket:
    caller = socket.create_connection(address, timeout=5.0)
    caller.sendall(REQUEST)
    return caller


def test_caller_that_connects_before_the_host_is_loaded_is_served(
    listener: socket.socket,
) -> None:
    """Guards against connections that are reset while a host loads its modules.

    After a power loss of all hosts every caller was reset for two seconds. For half a
    second of that time, modules were being loaded and no socket was listening.
    """
    with ask(listener.getsockname()) as caller:
        port = callers_port(listener, lambda: True)
        in_reactor(port.start)
        assert b"served" in caller.recv(1000)
        in_reactor(port.stop)


@pytest.mark.parametrize(
    "receives_rules", [True, False], ids=["rules-come", "rules-stay-away"]
)
def test_callers_wait_a_limited_time_for_the_rules(
    listener: socket.socket, receives_rules: bool
) -> None:
    """Guards against a restarted host that refuses requests before it has its rules."""
    polled_s: list[float] = []

    def can_serve() -> bool:
        polled_s.append(running_reactor().seconds())
        return receives_rules and len(polled_s) > 3

    with ask(listener.getsockname()) as caller:
        port = callers_port(listener, can_serve)
        in_reactor(port.start)
        assert b"served" in caller.recv(1000)
        in_reactor(port.stop)
    assert len(polled_s) > 3


def test_host_that_stops_before_accepting_closes_its_listener(
    listener: socket.socket,
) -> None:
    address = listener.getsockname()
    port = callers_port(listener, lambda: False)
    in_reactor(port.start)
    in_reactor(port.stop)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address, timeout=5.0)
