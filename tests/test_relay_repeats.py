"""A request with an idempotency key runs at most once on a daemon."""

import socket
import threading

import pytest

from gentianwharf.platform import PlatformHeaderCodec
from tests.builders_relay import (
    Script,
    request,
    request_id_header,
    response,
    running_relay,
)

KEY = "Idempotency-Key: dues-7\r\n"
BODY_BYTES = 4


def numbered() -> Script:
    count = iter(range(1, 100))

    def run(connection: socket.socket, head: bytes) -> None:
        connection.sendall(response(b"run %d" % next(count)))

    return run


def closing(connection: socket.socket, head: bytes) -> None:
    connection.shutdown(socket.SHUT_RDWR)


def shedding(connection: socket.socket, head: bytes) -> None:
    extra = "Gentianwharf-Run: not-run\r\n"
    connection.sendall(response(b"", status="503 Shed", extra=extra))


def post(path: str = "/plain/dues", headers: str = KEY) -> bytes:
    return request("POST", path, headers=headers, body=b"5 USD")


def test_repeated_request_gets_the_response_to_the_first() -> None:
    """Guards against charging twice.

    A client lost the response to a posting and sends it again with the same idempotency
    key. The server does not store keys.
    """
    with running_relay([numbered()]) as relay:
        responses = [relay.send(post()) for _ in range(3)]
        assert len(relay.servers[0].heads) == 1
    assert all(received.endswith(b"run 1") for received in responses)


def test_repeated_request_waits_for_the_one_in_flight() -> None:
    release = threading.Event()

    def slow(connection: socket.socket, head: bytes) -> None:
        release.wait(5)
        connection.sendall(response(b"once"))

    responses: list[bytes] = []
    with running_relay([slow]) as relay:
        callers = [
            threading.Thread(target=lambda: responses.append(relay.send(post())))
            for _ in range(3)
        ]
        for caller in callers:
            caller.start()
        release.set()
        for caller in callers:
            caller.join()
        assert len(relay.servers[0].heads) == 1
    assert [received.endswith(b"once") for received in responses] == [True] * 3


@pytest.mark.parametrize(
    ("first", "second", "status", "requests"),
    [
        pytest.param(post(), post("/plain/other"), 422, 1, id="key-used-otherwise"),
        pytest.param(
            post(), post(headers="Idempotency-Key: dues-8\r\n"), 200, 2, id="other-key"
        ),
        pytest.param(
            post(headers=KEY + "X-Forwarded-For: 1.1.1.1, 7.7.7.7\r\n"),
            post(headers=KEY + "X-Forwarded-For: 7.7.7.7, 8.8.8.8\r\n"),
            200,
            2,
            id="other-caller",
        ),
    ],
)
def test_different_request_is_not_treated_as_repeated(
    first: bytes, second: bytes, status: int, requests: int
) -> None:
    with running_relay([numbered()]) as relay:
        relay.send(first)
        assert relay.send(second).startswith(b"HTTP/1.1 %d " % status)
        assert len(relay.servers[0].heads) == requests


def test_request_with_an_unknown_outcome_is_not_sent_again() -> None:
    with running_relay([closing, numbered()]) as relay:
        assert b'"unknown"' in relay.send(post())
        again = relay.send(post())
        assert len(relay.servers[0].heads) == 1
    assert again.startswith(b"HTTP/1.1 409 ")
    assert b'"unknown"' in again


def test_request_that_was_not_run_may_be_sent_again() -> None:
    with running_relay([shedding, shedding, shedding, numbered()]) as relay:
        assert b'"not-run"' in relay.send(post())
        assert relay.send(post()).endswith(b"run 1")


def test_idempotency_key_has_no_meaning_on_the_users_platform() -> None:
    """Guards against a request that gets the stored answer of another one.

    Clients that the host sees under one address may use the same key.
    """
    keys = list[bool]()

    def echo(connection: socket.socket, head: bytes) -> None:
        fields, _, body = head.partition(b"\r\n\r\n")
        while len(body) < BODY_BYTES:
            body += connection.recv(BODY_BYTES)
        keys.append(b"idempotency-key: dues-7" in fields.lower())
        connection.sendall(response(body, extra=request_id_header(head)))

    with running_relay([echo], codec=PlatformHeaderCodec()) as relay:
        answers = [
            relay.send(
                request(
                    "POST", headers=f"{KEY}Attempt-Id: {each}\r\n", body=each.encode()
                )
            )
            for each in ("dues", "fees")
        ]
    assert [each[-BODY_BYTES:] for each in answers] == [b"dues", b"fees"]
    assert keys == [True, True]
