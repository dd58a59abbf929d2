"""Notices that servers give in their answers to requests reach the admission."""

import socket
from collections.abc import Callable

import pytest

from gentianwharf.platform import PlatformHeaderCodec
from gentianwharf.relay import NO_NOTICE, Outcome, ServerNotice
from tests.builders_relay import Script, request, response, running_relay

LIMITED = ServerNotice(max_requests_per_s=2.2)
ATTEMPT = "Attempt-Id: a1\r\n"


def answer(status: str = "200 OK", *, extra: str = "") -> Script:
    """Return a script that answers with the attempt's id and ``extra`` headers."""

    def run(connection: socket.socket, head: bytes) -> None:
        connection.sendall(response(status=status, extra=ATTEMPT + extra))

    return run


@pytest.mark.parametrize(
    "script",
    [
        pytest.param(answer(extra="Server-Limit: 2.2\r\n"), id="success"),
        pytest.param(answer("500 Error", extra="Server-Limit: 2.2\r\n"), id="failure"),
        pytest.param(
            answer("503 Full", extra="Not-Executed: 1\r\nServer-Limit: 2.2\r\n"),
            id="refusal",
        ),
        pytest.param(
            answer("421 Other", extra="Not-Executed: 1\r\nServer-Limit: 2.2\r\n"),
            id="not-owner",
        ),
    ],
)
def test_limit_is_noted_from_any_answer(script: Callable[..., None]) -> None:
    """Guards against a limit that is lost in answers other than successes."""
    with running_relay([script], codec=PlatformHeaderCodec()) as relay:
        relay.send(request(headers=ATTEMPT))
        assert relay.admission.notices[0] == ("s0", LIMITED)


def test_answer_without_a_limit_is_noted_too() -> None:
    """Guards against a limit that never ends."""
    with running_relay([answer()], codec=PlatformHeaderCodec()) as relay:
        relay.send(request(headers=ATTEMPT))
        assert relay.admission.notices == [("s0", NO_NOTICE)]


def test_request_is_not_sent_to_a_server_that_has_asked_for_rest_meanwhile() -> None:
    """Guards against requests that wait for a connection when the rest begins."""
    with running_relay([answer()], codec=PlatformHeaderCodec()) as relay:
        relay.admission.accepts = False
        received = relay.send(request(headers=ATTEMPT))
        assert received.startswith(b"HTTP/1.1 503")
        assert relay.servers[0].heads == []
        assert set(relay.admission.outcomes) == {Outcome.SHED}
