"""Connections to servers through another host, on real sockets."""

import socket
from dataclasses import replace
from typing import Any, cast

import msgspec
import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.web.http_headers import Headers

from gentianwharf.errors import PeerUnavailableError
from gentianwharf.relay import ServerConnectionPool
from gentianwharf.relay._connections import ServerConnection
from gentianwharf.tunnels import SharedNotice, _server
from gentianwharf.tunnels._messages import FramedProtocol, OpenTunnel
from tests.builders_late_answers import LateCopies, accepted, refused
from tests.builders_processes import wait_until
from tests.builders_relay import REACTOR, ScriptedServer, in_reactor, make_server
from tests.builders_tunnels import SECRET, Tunneling, User, tunneling

LARGE_BYTES = 3_000_000
SOCKET_BUFFER_BYTES = 8_000_000
"""More than the kernel buffers on loopback for the connections of one tunnel."""


def receive(connection: socket.socket, size: int) -> bytes:
    data = b""
    while len(data) < size:
        piece = connection.recv(65_536)
        assert piece, "the connection was closed"
        data += piece
    return data


def is_reset(connection: socket.socket) -> bool:
    try:
        return connection.recv(1) != b"" and False
    except ConnectionResetError:
        return True


def wait_for_end(user: User) -> str:
    return str(wait_until(lambda: user.ended, description="the end of the tunnel"))


def test_bytes_pass_in_both_directions() -> None:
    with tunneling() as hosts:
        user = hosts.opened()
        server = hosts.backend.connection()
        user.write(b"a" * LARGE_BYTES)
        assert receive(server, LARGE_BYTES) == b"a" * LARGE_BYTES
        server.sendall(b"b" * LARGE_BYTES)
        wait_until(lambda: len(user.received) == LARGE_BYTES, description="the answer")
        assert hosts.client.open_tunnels == hosts.carriers[0].open_tunnels == 1


@pytest.mark.parametrize("secret", ["", "guessed"])
def test_nobody_without_the_secret_opens_a_tunnel(secret: str) -> None:
    """Guards against callers and servers that reach servers through a host."""
    with tunneling(secret=secret) as hosts:
        assert hosts.open() is None
        assert not hosts.backend.connections


def test_host_that_knows_no_secret_accepts_no_tunnel() -> None:
    """Guards against an empty secret that equals an empty secret."""
    with tunneling(secret="") as hosts:
        hosts.carriers[0].secret = lambda: ""
        assert hosts.open() is None


def test_tunnel_leads_to_listed_servers_only() -> None:
    with tunneling() as hosts:
        stranger = make_server(7, hosts.backend.port)
        assert hosts.open(stranger) is None
        assert not hosts.backend.connections


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", id="http"),
        pytest.param(b"\xff\xff" + b"x" * 100, id="too-long"),
        pytest.param(b"\x00\x03abc", id="no-message"),
    ],
)
def test_other_bytes_end_the_connection(data: bytes) -> None:
    with tunneling() as hosts:
        port = hosts._ports[0].getHost().port
        with socket.create_connection(("127.0.0.1", port), 5.0) as connection:
            connection.sendall(data)
            assert is_reset(connection)
        assert not hosts.backend.connections


def test_server_that_can_not_be_reached_by_tunnel_got_no_byte() -> None:
    with tunneling() as hosts:
        hosts.backend.stop()
        with pytest.raises(PeerUnavailableError, match="through host-0"):
            hosts.open()


def test_other_host_is_asked_if_one_can_not_reach_the_server() -> None:
    with tunneling(carriers=2) as hosts:
        hosts.opened()
        hosts.carriers[0].server_by_id = lambda server_id: make_server(0, 9)
        for _ in range(4):
            hosts.opened()
        assert hosts.carriers[1].open_tunnels >= 4


def test_cut_off_host_accepts_no_tunnel() -> None:
    """Guards against loops: a tunnel never leads through a second host."""
    with tunneling(carriers=2) as hosts:
        hosts.is_cut_off[0] = True
        for _ in range(4):
            hosts.opened()
        assert hosts.carriers[0].opened == 0
        hosts.is_cut_off[1] = True
        assert hosts.open() is None
        assert hosts.carriers[1].refused.keys() <= {"cut-off"}


def test_planned_stop_lets_the_requests_in_tunnels_end() -> None:
    """Guards against answers that are cut off when the host that carries them stops."""
    with tunneling() as hosts:
        user = hosts.opened()
        in_reactor(hosts.carriers[0].stop_accepting)
        wait_until(lambda: user.retired, description="the notice")
        assert user.ended is None
        server = hosts.backend.connection()
        user.write(b"request")
        assert receive(server, 7) == b"request"
        server.sendall(b"answer")
        wait_until(lambda: user.received == b"answer", description="the answer")
        assert hosts.open() is None


def test_host_that_leaves_the_request_resets_the_connection_to_the_server() -> None:
    """Guards against servers that go on working for callers who have left."""
    with tunneling() as hosts:
        user = hosts.opened()
        server = hosts.backend.connection()
        in_reactor(user.abort_now)
        assert is_reset(server)
        wait_until(lambda: not hosts.carriers[0].open_tunnels, description="the end")
        assert hosts.client.open_tunnels == 1
        # The user of a tunnel reports its end; this one doesn't.


@pytest.mark.parametrize("clean", [True, False], ids=["closed", "reset"])
def test_end_of_an_answer_stays_what_it_is(clean: bool) -> None:
    """Guards against a truncated answer that looks complete."""
    with tunneling() as hosts:
        user = hosts.opened()
        server = hosts.backend.connection()
        server.sendall(b"part")
        wait_until(lambda: user.received == b"part", description="a part")
        if not clean:
            server.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0"
            )
        server.close()
        assert wait_for_end(user) == ("closed" if clean else "reset")


def test_tunnel_buffers_a_bounded_number_of_bytes() -> None:
    """Guards against hosts whose memory fills with the uploads of other hosts."""
    with tunneling() as hosts:
        user = hosts.opened()
        hosts.backend.connection()
        user.write(b"x" * SOCKET_BUFFER_BYTES)
        (entry,) = hosts.carriers[0]._connections - {
            each for each in hosts.carriers[0]._connections if each.is_subscriber
        }
        exit_transport = cast(Any, entry._exit).transport

        def buffered() -> int:
            return len(exit_transport.dataBuffer) + exit_transport._tempDataLen

        wait_until(lambda: in_reactor(buffered) > 0, description="a full connection")
        assert in_reactor(buffered) <= 2 * _server.BUFFER_BYTES


def test_number_of_tunnels_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_server, "MAX_TUNNELS", 2)
    with tunneling() as hosts:
        users = [hosts.opened(), hosts.opened()]
        assert hosts.open() is None
        assert hosts.carriers[0].refused == {"full": 1}
        in_reactor(users[0].abort_now)
        wait_until(
            lambda: hosts.carriers[0].open_tunnels == 1, description="a free tunnel"
        )


def test_tunnels_through_a_host_that_is_not_heard_are_reset() -> None:
    """Guards against requests that wait for a frozen host until their deadlines."""
    with tunneling() as hosts:
        user = hosts.opened()
        in_reactor(lambda: setattr(hosts.carriers[0], "send_state", lambda: None))

        def silence() -> None:
            for entry in hosts.carriers[0]._connections:
                if entry.is_subscriber:
                    entry._timer.cancel()

        in_reactor(silence)
        assert wait_for_end(user) == "reset"


def test_load_is_spread_over_the_hosts() -> None:
    with tunneling(carriers=3) as hosts:
        wait_until(
            lambda: in_reactor(lambda: hosts.client.usable_peers) == 3,
            description="three hosts",
        )
        for _ in range(9):
            hosts.opened()
        assert [carrier.open_tunnels for carrier in hosts.carriers] == [3, 3, 3]


def test_host_in_the_failure_domain_of_the_server_is_used_first() -> None:
    """Guards against bytes that cross between failure domains twice."""
    with tunneling(carriers=3, domains=("a", "b", "c")) as hosts:
        wait_until(
            lambda: in_reactor(lambda: hosts.client.usable_peers) == 3,
            description="three hosts",
        )
        server = replace(hosts.servers["s0"], domain="b")
        for _ in range(3):
            hosts.open(server)
        assert [carrier.open_tunnels for carrier in hosts.carriers] == [0, 3, 0]


REST = SharedNotice(server_id="s0", rest_s=2.0)


def test_host_that_carries_a_tunnel_knows_what_the_server_stated() -> None:
    """Guards against requests of a host to a server that asked it for rest.

    To the server, requests through a tunnel come from the host that carries it.
    """
    with tunneling() as hosts:
        noted: list[SharedNotice] = []
        hosts.carriers[0].on_notice = noted.append
        tunnel = in_reactor(hosts.open_tunnel)
        in_reactor(
            lambda: tunnel.share_notice(rest_s=REST.rest_s, is_leaving=REST.is_leaving)
        )
        wait_until(lambda: noted == [REST], description="the notice")


def test_hosts_whose_tunnels_are_carried_know_what_the_server_stated() -> None:
    """Guards against requests through a host that a server has asked for rest."""
    with tunneling() as hosts:
        hosts.opened()
        noted: list[SharedNotice] = []
        in_reactor(lambda: setattr(hosts.client, "on_notice", noted.append))
        in_reactor(lambda: hosts.carriers[0].share(REST))
        wait_until(lambda: noted == [REST], description="the notice")


def test_tunnel_to_a_server_that_rests_is_refused() -> None:
    with tunneling() as hosts:
        hosts.carriers[0].may_send = lambda server_id: False
        assert hosts.open() is None
        assert hosts.carriers[0].refused == {"resting": 1}
        assert not hosts.backend.connections


def test_notice_of_a_host_that_has_not_subscribed_is_not_taken() -> None:
    """Guards against outsiders who keep hosts from sending to a server."""
    with tunneling() as hosts:
        noted: list[SharedNotice] = []
        hosts.carriers[0].on_notice = noted.append
        data = msgspec.msgpack.encode(REST)
        port = hosts._ports[0].getHost().port
        with socket.create_connection(("127.0.0.1", port), 5.0) as connection:
            connection.sendall(len(data).to_bytes(2, "big") + data)
            assert is_reset(connection)
        assert noted == []


def test_bytes_of_a_server_before_the_request_are_not_used() -> None:
    """Guards against answers to nobody's request that are given to a caller."""

    class Early(FramedProtocol):
        pass

    hosts = Tunneling()
    try:
        frame = Early()
        sent: list[bytes] = []
        frame.sendString = sent.append  # type: ignore[method-assign]
        frame.send(OpenTunnel(secret=SECRET, host="x", server_id="s0"))
        data = len(sent[0]).to_bytes(2, "big") + sent[0]
        port = hosts._ports[0].getHost().port
        with socket.create_connection(("127.0.0.1", port), 5.0) as connection:
            connection.sendall(data + b"early")
            assert is_reset(connection)
    finally:
        hosts.stop()


def test_tunnel_carries_a_request_once() -> None:
    """Guards against a late copy that is read as the next answer through a tunnel."""
    copies = LateCopies(answers=[refused, accepted])
    scripted = ScriptedServer(scripts=[copies])
    server = make_server(1, scripted.start())
    pool = ServerConnectionPool(server=server, reactor=REACTOR)

    async def open_tunnel(hosts: Tunneling) -> ServerConnection:
        tunnel = await hosts.client.open(server, timeout_s=1.0)
        assert tunnel is not None
        connection = ServerConnection(pool=pool, tunnel=tunnel)
        tunnel.attach(connection)
        pool.release(connection)
        return connection

    async def send(request_id: str) -> tuple[ServerConnection, int]:
        connection = await pool.acquire(request_id=request_id)
        answer = await connection.send_request(
            method=b"POST",
            uri=b"/",
            headers=Headers({b"Host": [b"a"], b"Attempt-Id": [request_id.encode()]}),
            body=None,
            request_id=request_id,
        )
        await deferLater(REACTOR, 0.0)
        return connection, int(answer.code)

    with tunneling() as hosts:
        hosts.servers["s1"] = server
        through = in_reactor(lambda: Deferred.fromCoroutine(open_tunnel(hosts)))
        assert in_reactor(lambda: Deferred.fromCoroutine(send("a"))) == (through, 503)
        other, status = in_reactor(lambda: Deferred.fromCoroutine(send("a")))
        assert other is not through
        assert status == 200
        in_reactor(pool.close)
    scripted.stop()
    assert copies.copies_sent == 0
