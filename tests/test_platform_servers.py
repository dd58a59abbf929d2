"""Orders to backend servers over HTTP, and store calls that are refused."""

from collections.abc import Iterator
from typing import Any

import pytest
from pydantic import TypeAdapter
from twisted.internet.task import Clock
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from gentianwharf.errors import (
    GentianwharfError,
    InputError,
    OutcomeUnknownError,
    PeerMismatchError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.infra import (
    Grant,
    GrantOutcome,
    HttpBackendControl,
    MemoryHostList,
    MemoryStore,
    ServerReport,
)
from gentianwharf.infra._http import Call, JsonClient
from gentianwharf.infra.wire import Nothing
from gentianwharf.standin import StoreApp
from gentianwharf.topology import BackendServer

from .builders_platform import Loop

GRANT = Grant(
    service="calendrier",
    giver="lac-1",
    term=3,
    tokens={7: 11},
    validity_s=0.4,
    server_stamp_s=None,
    void_after_stamp_s=None,
)


class ScriptedServer(Resource):
    """Sends the same status and body for every order, and records the requests."""

    isLeaf = True

    def __init__(self, status: int, body: bytes | None) -> None:
        super().__init__()
        self.status, self.body = status, body
        self.requests: list[tuple[bytes, bytes]] = []

    def render_POST(self, request: Request) -> Any:  # noqa: N802
        """Send the scripted response, or none if the body is None."""
        assert request.content is not None
        self.requests.append((request.path, request.content.read()))
        if self.body is None:
            return NOT_DONE_YET
        request.setResponseCode(self.status)
        return self.body


@pytest.fixture
def loop() -> Iterator[Loop]:
    loop = Loop()
    yield loop
    loop.close()


def _server(address: str) -> BackendServer:
    return BackendServer(
        id="calendrier-1",
        service="calendrier",
        domain="lac",
        address=address,
        slots=6,
        connections=130,
    )


def _control(loop: Loop) -> HttpBackendControl:
    return HttpBackendControl(
        reactor=loop.reactor, order_timeout_s=0.3, release_timeout_s=0.3
    )


def test_orders_use_their_paths_and_return_typed_outcomes(loop: Loop) -> None:
    resource = ScriptedServer(200, b'{"outcome":"fenced","news":1}')
    server = _server(loop.listen(Site(resource, reactor=loop.reactor)))
    control = _control(loop)
    assert loop.run(control.grant(server, GRANT)) is GrantOutcome.FENCED
    released = loop.run(control.release(server, "calendrier", {7: 12}))
    assert released is GrantOutcome.FENCED
    loop.run(control.drain(server))
    paths, bodies = zip(*resource.requests, strict=True)
    assert paths == tuple(
        b"/_gentianwharf/" + name for name in (b"grant", b"release", b"drain")
    )
    assert b'"tokens":{"7":11}' in bodies[0]
    assert b'"tokens":{"7":12}' in bodies[1]


def test_report_is_checked(loop: Loop) -> None:
    body = (
        b'{"server":"calendrier-1","stamp_s":1.5,"healthy":true,"draining":false,'
        b'"cold":false,"load":0.5,"held":{"7":11}}'
    )
    resource = ScriptedServer(200, body)
    server = _server(loop.listen(Site(resource, reactor=loop.reactor)))
    assert loop.run(_control(loop).report(server)) == ServerReport(
        server="calendrier-1",
        stamp_s=1.5,
        healthy=True,
        draining=False,
        cold=False,
        load=0.5,
        held={7: 11},
    )


@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        pytest.param(200, b'{"outcome":"maybe"}', PeerMismatchError, id="malformed"),
        pytest.param(200, b"", PeerMismatchError, id="empty"),
        pytest.param(502, b"<html>", OutcomeUnknownError, id="middlebox"),
        pytest.param(
            422, b'{"error":"refused","message":"no"}', RefusedError, id="refused"
        ),
        pytest.param(
            503,
            b'{"error":"unavailable","message":"later"}',
            PeerUnavailableError,
            id="unavailable",
        ),
        pytest.param(200, None, OutcomeUnknownError, id="frozen"),
    ],
)
def test_bad_answer_is_a_typed_error_with_step_and_peer(
    loop: Loop, status: int, body: bytes | None, error: type[GentianwharfError]
) -> None:
    site = Site(ScriptedServer(status, body), reactor=loop.reactor)
    server = _server(loop.listen(site))
    with pytest.raises(error) as caught:
        loop.run(_control(loop).grant(server, GRANT))
    assert (caught.value.step, caught.value.peer) == ("server grant", server.address)


def test_oversized_response_is_rejected(
    loop: Loop, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("gentianwharf.infra._http.MAX_ANSWER_BYTES", 1_000)
    site = Site(ScriptedServer(200, b" " * 1_001), reactor=loop.reactor)
    with pytest.raises(OutcomeUnknownError):
        loop.run(_control(loop).grant(_server(loop.listen(site)), GRANT))


@pytest.mark.parametrize(
    ("address", "error"),
    [
        pytest.param("127.0.0.1:1", PeerUnavailableError, id="refused"),
        pytest.param("localhost:80", InputError, id="host-name"),
    ],
)
def test_call_that_never_connects_had_no_effect(
    loop: Loop, address: str, error: type[GentianwharfError]
) -> None:
    """The port is closed, or the address is a host name: no request is sent."""
    with pytest.raises(error):
        loop.run(_control(loop).grant(_server(address), GRANT))


@pytest.mark.parametrize(
    ("path", "body", "expected"),
    [
        pytest.param("/v1/store/get", b'{"kye":"a"}', "key", id="field"),
        pytest.param("/v1/store/get", b"{", "JSON", id="syntax"),
        pytest.param("/v1/store/compact", b"{}", "compact", id="call"),
        pytest.param(
            "/v1/store/watch",
            b'{"prefix":"a","after_revision":0,"wait_s":99999}',
            "wait_s",
            id="endless-watch",
        ),
    ],
)
def test_unknown_store_call_is_refused(
    loop: Loop, path: str, body: bytes, expected: str
) -> None:
    clock = Clock()
    app = StoreApp(store=MemoryStore(clock=clock), hosts=MemoryHostList(clock=clock))
    call = Call(
        step="test",
        peer=loop.listen(Site(app.resource(), reactor=loop.reactor)),
        path=path,
        body=body,
        timeout_s=1,
    )
    caller = JsonClient(reactor=loop.reactor, connect_timeout_s=1)
    with pytest.raises(RefusedError, match=expected):
        loop.run(caller.post(call, TypeAdapter(Nothing)))
