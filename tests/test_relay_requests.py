"""Which requests are forwarded to a server, and with which headers."""

import json

import pytest

from gentianwharf.relay import RunStatus
from tests.builders_relay import request, response, running_relay


def plain(connection, head):  # type: ignore[no-untyped-def]
    connection.sendall(response())


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        pytest.param(
            b"POST /plain/1 HTTP/1.1\r\nHost: g\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
            id="both-lengths",
        ),
        pytest.param(
            b"POST /plain/1 HTTP/1.1\r\nHost: g\r\nTransfer-Encoding: chunked\r\n"
            b"Content-Length: 3\r\n\r\n0\r\n\r\n",
            400,
            id="both-lengths-other-order",
        ),
        pytest.param(
            b"POST /plain/1 HTTP/1.1\r\nHost: g\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd",
            400,
            id="two-lengths",
        ),
        pytest.param(
            b"POST /plain/1 HTTP/1.1\r\nHost: g\r\nContent-Length: +3\r\n\r\nabc",
            400,
            id="signed-length",
        ),
        pytest.param(
            b"POST /plain/1 HTTP/1.1\r\nHost: g\r\nTransfer-Encoding: gzip\r\n\r\n",
            400,
            id="unknown-coding",
        ),
        pytest.param(
            b"POST /plain/1 HTTP/1.1\r\nHost: g\r\nTransfer-Encoding: identity\r\n"
            b"Content-Length: 3\r\n\r\nabc",
            400,
            id="identity-coding",
        ),
        pytest.param(b"GET /plain/1 HTTP/1.1\r\n\r\n", 400, id="no-host"),
        pytest.param(
            b"GET /plain/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400, id="two-hosts"
        ),
        pytest.param(
            b"GET /plain/1 HTTP/1.1\r\nHost : a\r\n\r\n", 400, id="space-before-colon"
        ),
        pytest.param(
            b"GET /plain/1 HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 20_000 + b"\r\n\r\n",
            431,
            id="long-header",
        ),
        pytest.param(
            b"GET /plain/1 HTTP/1.1\r\nHost: a\r\n" + b"X: y\r\n" * 200 + b"\r\n",
            431,
            id="many-headers",
        ),
        pytest.param(
            b"GET /plain/" + b"x" * 20_000 + b" HTTP/1.1\r\nHost: a\r\n\r\n",
            431,
            id="long-target",
        ),
        pytest.param(b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n", 404, id="no-rule"),
        pytest.param(b"GET /keyed/ HTTP/1.1\r\nHost: a\r\n\r\n", 400, id="no-key"),
        pytest.param(b"rubbish\r\n\r\n", 400, id="rubbish"),
        pytest.param(
            b"GET /keyed/ HTTP/1.1\r\nHost: a\r\nGentianwharf-Key: a\r\n"
            b"Gentianwharf-Key: b\r\n\r\n",
            400,
            id="two-keys",
        ),
    ],
)
def test_refused_request_is_not_sent_to_a_server(raw: bytes, status: int) -> None:
    """Guards against request smuggling.

    If two parsers can read a request differently, because of two lengths or an
    ambiguous one, a caller can hide a second request that a server runs as another
    caller's.
    """
    with running_relay([plain]) as relay:
        with relay.connect() as connection:
            connection.sendall(raw)
            connection.settimeout(5)
            received = connection.recv(65_536)
        assert received.startswith(f"HTTP/1.1 {status} ".encode())
        assert json.loads(received.split(b"\r\n\r\n", 1)[1])["run"] == "not-run"
        assert relay.servers[0].connections == 0


@pytest.mark.parametrize(
    ("path", "title"),
    [("/nowhere", "no rule matches"), ("/keyed/", "bad request")],
    ids=["no-rule", "no-key"],
)
def test_request_without_a_rule_is_recorded(path: str, title: str) -> None:
    """Guards against requests without a record.

    A caller reports a 404 with its request id, and the operator looks it up. Only
    requests that matched a rule were recorded.
    """
    raw = f"GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    with running_relay([plain]) as relay:
        received = relay.send(raw.encode())
        ((request_id, problem),) = relay.records.refusals
    assert f"Gentianwharf-Request-Id: {request_id}".encode() in received
    assert (problem.title, problem.run) == (title, RunStatus.NOT_RUN)


def test_request_without_a_rule_is_recorded_without_its_query() -> None:
    """Guards against records of a 404 without the target, or with a caller's data."""
    raw = b"GET /nowhere/7?name=x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    with running_relay([plain]) as relay:
        relay.send(raw)
        ((_, problem),) = relay.records.refusals
    assert problem.step == "match"
    assert problem.detail.startswith("GET a/nowhere/7: ")


def test_invalid_chunk_size_never_completes_at_a_server() -> None:
    """An invalid chunk size ends the request with 400 or an abort.

    The head has been forwarded already. The server must not receive a complete request.
    """
    seen = []

    def reading(connection, head):  # type: ignore[no-untyped-def]
        seen.append(head)
        while piece := connection.recv(65_536):
            seen.append(piece)

    raw = (
        b"POST /plain/1 HTTP/1.1\r\nHost: g\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\nzz\r\n\r\n"
    )
    with running_relay([reading]) as relay:
        received = relay.send(raw)
    assert not received or received.startswith(b"HTTP/1.1 400 ")
    assert b"0\r\n\r\n" not in b"".join(seen)


def test_only_end_to_end_headers_are_forwarded() -> None:
    headers = (
        "Traceparent: 00-abc-def-01\r\nTracestate: a=1\r\nX-Hop: secret\r\n"
        "Connection: X-Hop\r\nTE: trailers\r\nGentianwharf-Token: 99\r\n"
        "Idempotency-Key: k1\r\nCookie: a=b\r\n"
    )
    with running_relay([plain]) as relay:
        relay.send(request(path="/keyed/fst", headers=headers))
        head = relay.servers[0].heads[0].lower()
    for kept in (b"traceparent: 00-abc", b"tracestate: a=1", b"idempotency-key: k1"):
        assert kept in head
    assert b"cookie: a=b" in head
    assert b"gentianwharf-token: 7\r\n" in head
    assert b"gentianwharf-key: fst\r\n" in head
    assert b"gentianwharf-deadline-unix-ms: " in head
    for dropped in (b"x-hop", b"te: trailers", b"token: 99"):
        assert dropped not in head


@pytest.mark.parametrize(
    ("path", "target"),
    [
        pytest.param("/plain//a/../b", b"GET /plain//a/../b HTTP/1.1", id="as-it-came"),
        pytest.param(
            "/plain/%ff?x=%20", b"GET /plain/%ff?x=%20 HTTP/1.1", id="escapes"
        ),
    ],
)
def test_target_is_forwarded_unchanged(path: str, target: bytes) -> None:
    with running_relay([plain]) as relay:
        assert relay.send(request(path=path)).startswith(b"HTTP/1.1 200")
        assert relay.servers[0].heads[0].startswith(target)


def test_pipelined_requests_get_their_responses_in_order() -> None:
    def numbered(connection, head):  # type: ignore[no-untyped-def]
        connection.sendall(response(head.split(b" ")[1]))

    with running_relay([numbered]) as relay:
        received = relay.send(
            request(path="/plain/a", close=False)
            + request(path="/plain/b", close=False)
            + request(path="/plain/c")
        )
    assert [received.index(p) for p in (b"/plain/a", b"/plain/b", b"/plain/c")] == (
        sorted(received.index(p) for p in (b"/plain/a", b"/plain/b", b"/plain/c"))
    )


def test_refused_upload_gets_no_100_continue() -> None:
    """Guards against an upload for a request that is refused."""
    raw = request(
        "POST",
        "/nowhere",
        headers="Expect: 100-continue\r\nContent-Length: 1000000\r\n",
    )
    with running_relay([plain]) as relay:
        received = relay.send(raw)
    assert received.startswith(b"HTTP/1.1 404")
    assert b"100 Continue" not in received


def test_accepted_upload_gets_100_continue() -> None:
    def reading(connection, head):  # type: ignore[no-untyped-def]
        body = head.split(b"\r\n\r\n", 1)[1]
        while len(body) < 5:
            body += connection.recv(100)
        connection.sendall(response(body))

    head = request(
        "POST", headers="Expect: 100-continue\r\nContent-Length: 5\r\n", close=True
    )
    with running_relay([reading]) as relay, relay.connect() as connection:
        connection.sendall(head)
        assert connection.recv(100).startswith(b"HTTP/1.1 100 Continue")
        connection.sendall(b"hello")
        assert b"hello" in connection.recv(1000)


@pytest.mark.parametrize(
    "headers",
    [
        pytest.param("Connection: X-Hop, close\r\n", id="list"),
        pytest.param("Connection: X-Hop\r\nConnection: close\r\n", id="two-lines"),
        pytest.param("Connection: Close\r\n", id="upper-case"),
    ],
)
def test_connection_is_closed_when_the_caller_asks_for_it(headers: str) -> None:
    # A long deadline: on a busy machine the default of 400 ms may pass.
    with running_relay([plain], deadline_ms=5000) as relay:
        received = relay.send(request(headers=headers, close=False))
    assert received.endswith(b"\r\n\r\nok")


def test_key_has_one_shard_in_path_and_header() -> None:
    """Guards against a key with two shards, depending on how a request contains it.

    Percent-encoded octets were decoded as UTF-8, those of a header as Latin-1.
    """
    requests = [
        request(path="/keyed/%C3%A9cole"),
        request(path="/keyed/", headers="Gentianwharf-Key: école\r\n"),
    ]
    shards: list[int] = []
    with running_relay([plain]) as relay:
        relay.ownership.owner = _recording_shards(relay.ownership.owner, shards)
        for raw in requests:
            assert relay.send(raw).startswith(b"HTTP/1.1 200")
        keys = [
            line
            for head in relay.servers[0].heads
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"gentianwharf-key")
        ]
    assert len(set(shards)) == 1
    assert keys == ["Gentianwharf-Key: école".encode()] * 2


def _recording_shards(owner, shards):  # type: ignore[no-untyped-def]
    async def record(ticket):  # type: ignore[no-untyped-def]
        shards.append(ticket.shard)
        return await owner(ticket)

    return record


@pytest.mark.parametrize(
    "head",
    [
        pytest.param(b"PUT /nowhere HTTP/1.1\r\n", id="refused"),
        pytest.param(b"PUT /keyed/ HTTP/1.1\r\n", id="no-key"),
    ],
)
def test_response_before_the_body_announces_the_close(head: bytes) -> None:
    """Guards against a close that is not announced to the caller.

    An upload is refused before its body is read, and the connection is closed. Without
    ``Connection: close`` the caller sent its next request there and got no response.
    """
    with running_relay([plain]) as relay, relay.connect() as connection:
        connection.sendall(
            head + b"Host: a\r\nContent-Length: 1000000\r\n\r\n" + b"x" * 9
        )
        connection.settimeout(5)
        received = b""
        while piece := connection.recv(65_536):
            received += piece
    response_head = received.split(b"\r\n\r\n", 1)[0].lower()
    assert b"\r\nconnection: close" in response_head
