"""An answer that is cut within its head or its body never looks whole to a caller."""

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import count

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.web._newclient import Response, ResponseDone
from twisted.web.http_headers import Headers

from gentianwharf.platform import PlatformHeaderCodec
from gentianwharf.relay import ConnectionLimits, ServerConnectionPool
from gentianwharf.relay._connections import ServerConnection
from tests.builders_answers import ok
from tests.builders_answers_fuzz import lead_through_tunnels
from tests.builders_cut_heads import (
    ENDS,
    FORMS,
    CuttingServer,
    Form,
    Received,
    after_hints,
    exchange,
    receive,
    unseen_cuts,
)
from tests.builders_early_answers import StalledTransport
from tests.builders_processes import wait_until
from tests.builders_relay import (
    RunningRelay,
    Script,
    make_server,
    read_to_end,
    request,
    running_relay,
)
from tests.builders_tunnels import tunneling

DEADLINE_MS = 10_000
IDLE_TIMEOUT_S = 0.3
HEDGE_AFTER_S = 0.002
UPLOAD_BYTES = 100
BEGUN_BYTES = 3

every_form = pytest.mark.parametrize(
    "form", [pytest.param(form, id=name) for name, form in FORMS.items()]
)
every_form_of_get = pytest.mark.parametrize(
    "form",
    [
        pytest.param(form, id=name)
        for name, form in FORMS.items()
        if form.method == "GET"
    ],
)
every_end = pytest.mark.parametrize(
    "end", [pytest.param(end, id=name) for name, end in ENDS.items()]
)


@contextmanager
def cutting_relay(
    server: CuttingServer, *others: Script, servers: int = 1, **options: object
) -> Iterator[RunningRelay]:
    """Run a relay that sends each request once, to servers that cut their answers."""
    scripts: list[list[Script]] = [[server] for _ in range(servers)]
    scripts += [[other] for other in others]
    with running_relay(*scripts, deadline_ms=DEADLINE_MS, **options) as relay:  # type: ignore[arg-type]
        relay.admission.retries_allowed = 0
        yield relay


def sender(
    relay: RunningRelay,
    method: str = "GET",
    *,
    version: str = "1.1",
    has_ids: bool = False,
) -> Callable[[], Received]:
    """Return a function that sends a request on a connection of its own."""
    numbers = count(1)

    def send() -> Received:
        headers = f"Attempt-Id: {next(numbers):06}\r\n" if has_ids else ""
        data = request(method, headers=headers)
        return exchange(relay, data.replace(b"HTTP/1.1", f"HTTP/{version}".encode()))

    return send


def assert_cuts_are_seen(
    server: CuttingServer, relay: RunningRelay, send: Callable[[], Received]
) -> None:
    """Cut the answer after each of its bytes, then let it be whole."""
    send()
    lengths = server.form.incomplete_lengths(relay.servers[0].heads[-1])
    assert unseen_cuts(server, send, lengths=lengths) == []
    if server.form.has_end:
        server.length_bytes = lengths.stop
        received = send()
        assert received.looks_whole(server.form.method)
        assert not received.is_own_error(server.form.method)


@every_end
@every_form
@pytest.mark.parametrize("codec", [None, PlatformHeaderCodec()], ids=["daemon", "host"])
def test_cut_on_a_new_connection_is_seen(
    form: Form, end: Callable[..., None], codec: PlatformHeaderCodec | None
) -> None:
    """Guards against a short answer that a caller takes for a whole one."""
    server = CuttingServer(form=form, end=end)
    with cutting_relay(server, codec=codec) as relay:
        send = sender(relay, form.method, has_ids=codec is not None)
        assert_cuts_are_seen(server, relay, send)


@every_form
def test_cut_on_a_used_connection_is_seen(form: Form) -> None:
    """Guards against state of the last answer that completes the next one."""
    server = CuttingServer(form=form, end=ENDS["close"], answers_first=True)
    with cutting_relay(server) as relay:
        send = sender(relay, form.method)

        def send_twice() -> Received:
            assert sender(relay)().data.endswith(b"\r\n\r\nok")
            return send()

        assert_cuts_are_seen(server, relay, send_twice)
        assert relay.servers[0].connections * 2 == len(relay.servers[0].heads)


@every_form
def test_cut_after_an_informational_answer_is_seen(form: Form) -> None:
    """Guards against an informational answer that counts as the head."""
    server = CuttingServer(form=after_hints(form), end=ENDS["close"])
    with cutting_relay(server) as relay:
        assert_cuts_are_seen(server, relay, sender(relay, form.method))


@every_end
@every_form_of_get
@pytest.mark.parametrize("ends_meanwhile", [False, True], ids=["begun", "ended"])
def test_cut_within_an_upload_is_seen(
    form: Form, end: Callable[..., None], ends_meanwhile: bool
) -> None:
    """Guards against an end that Twisted does not report while it sends a request."""
    server = CuttingServer(form=form, end=end, reads_body=ends_meanwhile)
    upload = request("POST", body=b"x" * UPLOAD_BYTES)
    begun = len(upload) - UPLOAD_BYTES + BEGUN_BYTES

    def send() -> Received:
        server.is_begun.clear()
        with relay.connect() as caller:
            caller.sendall(upload[:begun])
            if ends_meanwhile:
                assert server.is_begun.wait(DEADLINE_MS / 1000)
                caller.sendall(upload[begun:])
            return receive(caller)

    with cutting_relay(server) as relay:
        assert_cuts_are_seen(server, relay, send)


@every_end
@every_form
def test_cut_through_another_host_is_seen(form: Form, end: Callable[..., None]) -> None:
    """Guards against a carrier that turns a cut into an end."""
    server = CuttingServer(form=form, end=end)
    with cutting_relay(server) as relay, tunneling() as hosts:
        lead_through_tunnels(relay, hosts)
        assert_cuts_are_seen(server, relay, sender(relay, form.method))
        assert hosts.carriers[0].opened == len(relay.servers[0].heads)


@every_form
def test_cut_of_both_copies_of_a_request_is_seen(form: Form) -> None:
    """Guards against a race that is won by a part of an answer."""
    server = CuttingServer(form=form, end=ENDS["close"], together=2)
    with cutting_relay(server, servers=2) as relay:
        relay.admission.hedge_after_s = HEDGE_AFTER_S
        send = sender(relay, form.method)

        def send_in_copies() -> Received:
            relay.admission.retries_allowed = 1
            return send()

        assert_cuts_are_seen(server, relay, send_in_copies)


@every_form
def test_head_that_is_cut_loses_against_a_whole_copy(form: Form) -> None:
    """Guards against the end of one copy that ends the other."""
    server = CuttingServer(form=form, end=ENDS["close"])
    with cutting_relay(server, ok) as relay:
        relay.admission.hedge_after_s = HEDGE_AFTER_S
        send = sender(relay, form.method)
        for length in range(len(form.head_of())):
            relay.admission.outcomes.clear()
            relay.admission.retries_allowed = 1
            server.length_bytes = length
            received = send()
            assert received.looks_whole(form.method)


@every_end
@every_form
def test_cut_is_seen_by_a_caller_of_http_1_0(
    form: Form, end: Callable[..., None]
) -> None:
    """Guards against a closed connection that ends the answer to an old client."""
    server = CuttingServer(form=form, end=end)
    with cutting_relay(server) as relay:
        assert_cuts_are_seen(server, relay, sender(relay, form.method, version="1.0"))


@every_form
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_cut_behind_an_answer_in_progress_is_seen(form: Form, version: str) -> None:
    """Guards against a cut answer that is held back, and then ends like a whole one."""
    server = CuttingServer(form=form, end=ENDS["close"])

    def serve(connection, head):  # type: ignore[no-untyped-def]
        if b"/plain/slow" not in head:
            server(connection, head)
            return
        wait_until(lambda: relay.records.responses, description="the cut")
        ok(connection, head)

    second = request(form.method, "/plain/cut")
    data = request(path="/plain/slow", close=False) + second.replace(
        b"HTTP/1.1", f"HTTP/{version}".encode()
    )

    def send() -> Received:
        relay.records.responses.clear()
        received = exchange(relay, data)
        first, _, rest = received.data.partition(b"\r\n\r\nok")
        assert first.startswith(b"HTTP/1.1 200 ")
        return Received(data=rest, was_reset=received.was_reset)

    with running_relay([serve], deadline_ms=DEADLINE_MS) as relay:
        relay.admission.retries_allowed = 0
        assert_cuts_are_seen(server, relay, send)


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_cut_at_the_idle_timeout_of_an_upload_is_seen(version: str) -> None:
    """Guards against an answer that ends where its caller has stopped sending."""

    def begin(connection: socket.socket, head: bytes) -> None:
        connection.sendall(FORMS["chunked"].answer(head)[:-5])
        read_to_end(connection)

    upload = request("POST", body=b"x" * UPLOAD_BYTES)[:-1]
    limits = ConnectionLimits(idle_timeout_s=IDLE_TIMEOUT_S)
    with running_relay([begin], deadline_ms=DEADLINE_MS, limits=limits) as relay:
        received = exchange(
            relay, upload.replace(b"HTTP/1.1", f"HTTP/{version}".encode())
        )
    assert received.data.startswith(f"HTTP/{version} 200 ".encode())
    assert not received.looks_whole("POST")


class Ending(Protocol):
    """Records how a body has ended."""

    was_whole: bool | None = None

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Record the end."""
        self.was_whole = reason.check(ResponseDone) is not None


@pytest.mark.parametrize("name", ["until-closed", "until-closed-1.0"])
def test_body_without_a_length_that_has_ended_is_not_whole(name: str) -> None:
    """Guards against a body that is checked for an end only after its connection's."""
    pool = ServerConnectionPool(server=make_server(0, 1), reactor=Clock())
    connection = ServerConnection(pool=pool)
    connection.makeConnection(StalledTransport())
    pending: Deferred[Response] = connection.send_request(
        method=b"GET", uri=b"/", headers=Headers({b"Host": [b"a"]}), body=None
    )
    responses: list[Response] = []
    pending.addCallback(responses.append)
    connection.dataReceived(FORMS[name].answer())
    connection.connectionLost(Failure(ConnectionDone()))
    ending = Ending()
    responses[0].deliverBody(ending)
    assert ending.was_whole is False
