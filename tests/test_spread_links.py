"""Links between hosts on a virtual clock and fake connections."""

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import final

import pytest
from twisted.internet.task import Clock

from gentianwharf.errors import InputError
from gentianwharf.spread import Channel, PeerMesh
from gentianwharf.spread._frames import (
    FRAME_VERSION,
    Frame,
    FrameKind,
    decode_frame,
    encode_frame,
    encode_hosts,
)
from gentianwharf.spread._links import IDLE_TIMEOUT_S, PROBE_INTERVAL_S, PROBE_TIMEOUT_S
from gentianwharf.spread._messages import MAX_MESSAGE_BYTES
from gentianwharf.topology import Host

LAC, ARIANA = (
    Host(id=name, domain=name, peer_address=f"127.0.0.{number}:7000")
    for number, name in enumerate(("lac", "ariana"), start=1)
)
TICK_S = 0.1
NOTICED_S = PROBE_TIMEOUT_S + 1.2 * PROBE_INTERVAL_S + TICK_S


@final
class FakeLink:
    """A connection that delivers immediately, loses all data, or has a full queue."""

    def __init__(self, deliver: Callable[[bytes], None]) -> None:
        self._deliver = deliver
        self.silent = False
        self.full = False
        self.closed = False

    def send(self, data: bytes) -> bool:
        """Deliver, lose or reject a frame."""
        if not self.silent and not self.full:
            self._deliver(data)
        return not self.full

    def close(self) -> None:
        """Record that the connection was closed."""
        self.closed = True


@final
class Pair:
    """The meshes of two hosts, connected by fake links."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.links: dict[str, list[FakeLink]] = {}
        self.answers = True
        self.received: list[tuple[str, bytes]] = []
        self.meshes: dict[str, PeerMesh] = {}
        for host in (LAC, ARIANA):
            self.start(host)
        self.channel = self.meshes["lac"].channel(Channel.SPREAD, self._record_message)

    def start(self, host: Host, address: str | None = None) -> None:
        """Start a host with a new incarnation, optionally at another host's address."""
        mesh = PeerMesh(reactor=self.clock, host=host, rng=Random(), dial=self._dial)
        mesh.set_peers([LAC, ARIANA])
        mesh.channel(Channel.SPREAD, self._record_message)
        self.meshes = {**self.meshes, host.id: mesh}
        self.at = {LAC.peer_address: "lac", ARIANA.peer_address: "ariana"}
        if address is not None:
            self.at[address] = host.id

    def _record_message(self, host_id: str, message: bytes) -> None:
        self.received.append((host_id, message))

    def _dial(self, address: str) -> FakeLink:
        link = FakeLink(lambda data: self.meshes[self.at[address]].handle_frame(data))
        self.links.setdefault(address, []).append(link)
        return link

    def to_ariana(self) -> FakeLink:
        """Return the current link from lac to ariana."""
        return self.links[ARIANA.peer_address][-1]

    def run(self, duration_s: float, *, sending: bool = False) -> None:
        """Let both hosts tick."""
        for _ in range(round(duration_s / TICK_S)):
            self.clock.advance(TICK_S)
            if sending:
                self.channel.send("ariana", b"x")
            for mesh in self.meshes.values():
                mesh.tick()


def test_link_opens_with_the_first_message() -> None:
    pair = Pair()
    pair.run(1)
    assert pair.links == {}
    assert pair.channel.send("ariana", b"hello")
    assert pair.received == [("lac", b"hello")]


@pytest.mark.parametrize(
    "address",
    [
        "",
        "nonsense",
        "127.0.0.1",
        "gateway:80",
        "::1:80",
        "127.0.0.1:²",
        "127.0.0.1:99999",
    ],
)
def test_bad_address_in_the_list_leaves_out_that_host_alone(address: str) -> None:
    """The platform's host list contains an invalid address.

    Dialling it raised in each tick, in which all rights are renewed, so that a single
    entry took every host of the fleet out of service.
    """
    pair = Pair()
    mesh = pair.meshes["lac"]
    bad = Host(id="charguia", domain="charguia", peer_address=address)
    mesh.set_peers([LAC, bad, ARIANA])
    assert not pair.channel.send("charguia", b"hello")
    assert pair.channel.send("ariana", b"hello")
    pair.run(1)
    assert pair.received == [("lac", b"hello")]
    mesh.set_peers([LAC, ARIANA, replace(bad, peer_address=ARIANA.peer_address)])
    assert pair.channel.send("charguia", b"mended")


def test_leaving_host_is_answered_and_not_listed_to_others() -> None:
    """The platform lists a host as leaving while the balancer still sends to it.

    Its peers closed their links to it. Its right to send lapsed, and it refused all
    keyed requests until it was stopped.
    """
    pair = Pair()
    ariana = pair.meshes["ariana"]
    ariana.set_peers([ARIANA], leaving=[LAC])
    pair.channel.send("ariana", b"may I send?")
    assert ariana.channel(Channel.SPREAD, pair._record_message).send("lac", b"yes")
    assert pair.received == [("lac", b"may I send?"), ("ariana", b"yes")]
    assert [one.id for one in ariana._hosts] == ["ariana"]


def test_exception_in_a_handler_does_not_stop_the_mesh() -> None:
    """A handler raises on an invalid table from the store.

    The reactor closes a reader that raises, after which the host would receive no
    messages from any peer.
    """
    pair = Pair()

    def raise_error(host_id: str, message: bytes) -> None:
        raise IndexError(message)

    pair.meshes["ariana"].channel(Channel.OWNERSHIP, raise_error)
    ownership = pair.meshes["lac"].channel(Channel.OWNERSHIP, raise_error)
    assert ownership.send("ariana", b"bad")
    assert pair.meshes["ariana"].stats().failed == 1
    pair.channel.send("ariana", b"hello")
    assert pair.received == [("lac", b"hello")]


def test_answered_link_stays_as_it_is() -> None:
    pair = Pair()
    pair.run(60, sending=True)
    assert len(pair.links[ARIANA.peer_address]) == 1
    assert not pair.meshes["lac"].is_silent("ariana")


def test_half_open_link_is_replaced() -> None:
    """A middlebox between two hosts loses the state of their connection.

    Both ends keep it open and nng detects nothing, but all data is lost. Without
    probes, rules would never again reach that host through this peer.
    """
    pair = Pair()
    pair.run(1, sending=True)
    pair.to_ariana().silent = True
    pair.run(NOTICED_S, sending=True)
    old, new = pair.links[ARIANA.peer_address]
    assert old.closed
    assert not new.closed
    pair.received.clear()
    pair.run(1, sending=True)
    assert len(pair.received) == 10
    assert len(pair.links[ARIANA.peer_address]) == 2
    assert not pair.meshes["lac"].is_silent("ariana")


def test_frozen_peer_is_silent_until_it_answers_again() -> None:
    """A peer is paused for a minute and continues.

    It is redialled at a bounded rate meanwhile, and its answers are detected again.
    """
    pair = Pair()
    pair.run(1, sending=True)
    frozen = pair.meshes.pop("ariana")
    pair.meshes["ariana"] = PeerMesh(
        reactor=pair.clock, host=LAC, rng=Random(2), dial=pair._dial
    )
    pair.run(60, sending=True)
    assert pair.meshes["lac"].is_silent("ariana")
    redials = pair.meshes["lac"].stats().links["ariana"].redials
    assert 30 <= redials <= 60 / PROBE_TIMEOUT_S
    pair.meshes["ariana"] = frozen
    pair.run(1, sending=True)
    assert not pair.meshes["lac"].is_silent("ariana")


def test_other_host_at_the_address_gets_nothing() -> None:
    """A host is replaced, and its address is assigned to another host.

    The new host must not handle messages for the previous one, and the sender must
    detect that the previous one is gone.
    """
    pair = Pair()
    pair.run(1, sending=True)
    other = Host(id="charguia", domain="charguia", peer_address="127.0.0.9:7000")
    pair.start(other, address=ARIANA.peer_address)
    pair.received.clear()
    pair.run(NOTICED_S, sending=True)
    assert pair.received == []
    assert pair.meshes["charguia"].stats().for_another_host > 0
    assert pair.meshes["lac"].is_silent("ariana")


def test_answer_to_an_earlier_incarnation_is_ignored() -> None:
    pair = Pair()
    pair.run(1, sending=True)
    pair.to_ariana().silent = True
    late = Frame(
        version=FRAME_VERSION,
        kind=FrameKind.PROBE_ANSWER,
        sender="ariana",
        receiver="lac",
        incarnation=12345,
    )
    for _ in range(round(NOTICED_S / TICK_S)):
        pair.run(TICK_S, sending=True)
        pair.meshes["lac"].handle_frame(encode_frame(late))
    assert pair.meshes["lac"].stats().links["ariana"].redials == 1


def test_host_without_a_list_gets_that_of_a_peer() -> None:
    """A host is replaced while the platform and its host list are unreachable.

    Its peers still list it and send messages to it. Without a host list it has no
    addresses to answer to, and would stay out of service until the platform is back.
    """
    pair = Pair()
    lists: list[tuple[Host, ...]] = []
    alone = PeerMesh(
        reactor=pair.clock,
        host=ARIANA,
        rng=Random(3),
        dial=pair._dial,
        on_hosts=lists.append,
    )
    pair.meshes["ariana"] = alone
    assert pair.channel.send("ariana", b"hello")
    assert lists == [(LAC, ARIANA)]
    alone.set_peers(lists[0])
    pair.run(1, sending=True)
    assert lists == [(LAC, ARIANA)]
    assert alone.send("lac", b"found you", channel=Channel.SPREAD)
    assert ("ariana", b"found you") in pair.received


def test_list_of_a_peer_does_not_replace_the_platforms() -> None:
    pair = Pair()
    lists: list[tuple[Host, ...]] = []
    pair.meshes["lac"]._on_hosts = lists.append
    body = encode_hosts([ARIANA])
    pair.meshes["lac"].handle_frame(_frame(kind=FrameKind.HOSTS, body=body))
    assert lists == []


def test_idle_links_close_on_both_sides() -> None:
    pair = Pair()
    pair.run(1, sending=True)
    pair.run(3 * IDLE_TIMEOUT_S)
    for mesh in pair.meshes.values():
        assert not any(link.open for link in mesh.stats().links.values())
    assert all(link.closed for links in pair.links.values() for link in links)


def test_full_queue_drops_and_counts() -> None:
    pair = Pair()
    pair.channel.send("ariana", b"1")
    pair.to_ariana().full = True
    assert not pair.channel.send("ariana", b"2")
    link = pair.meshes["lac"].stats().links["ariana"]
    assert (link.sent, link.dropped) == (1, 1)


def test_unknown_host_is_not_sent_to() -> None:
    assert not Pair().channel.send("nobody", b"1")


def test_peer_that_moved_is_dialled_at_its_new_address() -> None:
    pair = Pair()
    pair.channel.send("ariana", b"1")
    old = pair.to_ariana()
    moved = Host(id="ariana", domain="ariana", peer_address="127.0.0.3:7000")
    pair.at[moved.peer_address] = "ariana"
    pair.meshes["lac"].set_peers([LAC, moved])
    assert old.closed
    assert pair.channel.send("ariana", b"2")
    assert list(pair.links) == [ARIANA.peer_address, moved.peer_address]


def test_peer_off_the_list_is_closed() -> None:
    pair = Pair()
    pair.channel.send("ariana", b"1")
    pair.meshes["lac"].set_peers([LAC])
    assert pair.to_ariana().closed
    assert not pair.channel.send("ariana", b"2")


def test_message_beyond_the_limit_is_an_error_that_says_so() -> None:
    with pytest.raises(InputError, match=str(MAX_MESSAGE_BYTES)):
        Pair().channel.send("ariana", b"x" * (MAX_MESSAGE_BYTES + 1))


def _frame(**changes: object) -> bytes:
    known: dict[str, object] = {
        "version": FRAME_VERSION,
        "kind": FrameKind.DATA,
        "sender": "ariana",
        "receiver": "lac",
        "incarnation": 1,
        "channel": Channel.SPREAD,
    }
    return encode_frame(Frame(**{**known, **changes}))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("data", "counter"),
    [
        pytest.param(b"", "malformed", id="empty"),
        pytest.param(b"\xff\x00", "malformed", id="not-msgpack"),
        pytest.param(_frame(version=2), "malformed", id="version"),
        pytest.param(_frame(kind=9), "malformed", id="kind"),
        pytest.param(_frame(receiver="other"), "for_another_host", id="receiver"),
        pytest.param(_frame(channel=99), "unknown_channel", id="channel"),
    ],
)
def test_unexpected_frame_is_counted_and_dropped(data: bytes, counter: str) -> None:
    pair = Pair()
    pair.meshes["lac"].handle_frame(data)
    assert getattr(pair.meshes["lac"].stats(), counter) == 1
    assert pair.received == []


def test_frame_comes_back_as_sent() -> None:
    frame = decode_frame(_frame(body=bytes(range(256))), peer="lac")
    assert frame.body == bytes(range(256))
    assert frame.kind is FrameKind.DATA
