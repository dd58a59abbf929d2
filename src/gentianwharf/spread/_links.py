"""When a link to a peer is opened, probed, replaced and closed, without network code.

A link carries frames in one direction. nng detects only a closed connection, which it
dials again itself. A half-open connection (a middlebox lost its state, or the peer's
machine failed without closing it) stays open indefinitely, and its frames are lost.
Each link in use is therefore probed, and replaced if probes go unanswered for
``PROBE_TIMEOUT_S``.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol, final

from gentianwharf.logs import log
from gentianwharf.settings import check_address

from ._frames import FRAME_VERSION, Channel, Frame, FrameKind, encode_frame

PROBE_INTERVAL_S = 0.5
"""A probe and its answer have about 160 bytes: 3 KB/s for ten links in use."""

PROBE_TIMEOUT_S = 1.6
"""Three unanswered probes. A frozen peer is redialled once per time-out. A half-open
link loses messages for as long; rights and digests also travel through other peers."""

IDLE_TIMEOUT_S = 10.0
"""A link on which this host has sent no message for this long is closed, so that a host
keeps links only to the peers it communicates with, not to the whole fleet."""

NEVER_S = float("-inf")


class Link(Protocol):
    """A one-way connection to a peer that queues a bounded number of frames."""

    def send(self, data: bytes) -> bool:
        """Queue a frame; return False if the queue is full."""

    def close(self) -> None:
        """Close immediately and drop queued frames."""


Dial = Callable[[str], Link]
"""Opens a link to ``ip:port`` without waiting for the connection."""


@final
@dataclass(kw_only=True, slots=True)
class LinkStats:
    """State of the link to a peer, with counts since the peer was first listed."""

    open: bool = False
    silent: bool = False
    sent: int = 0
    dropped: int = 0
    redials: int = 0
    last_answer_age_s: float | None = None


@final
@dataclass(kw_only=True, slots=True)
class _Peer:
    host_id: str
    address: str
    link: Link | None = None
    sequence: int = 0
    last_used_s: float = NEVER_S
    last_control_s: float = NEVER_S
    last_dialled_s: float = 0.0
    next_probe_s: float = 0.0
    unanswered_since_s: float | None = None
    last_answer_s: float | None = None
    sent: int = 0
    dropped: int = 0
    redials: int = 0


@final
class LinkTable:
    """The links from one host to its peers."""

    def __init__(
        self,
        *,
        host_id: str,
        address: str,
        incarnation: int,
        dial: Dial,
        rng: Random,
    ) -> None:
        self._host_id = host_id
        self._address = address
        self._incarnation = incarnation
        self._dial = dial
        self._rng = rng
        self._peers: dict[str, _Peer] = {}
        self._open_ids: set[str] = set()
        self._invalid_addresses: dict[str, str] = {}

    def set_peers(self, addresses: dict[str, str]) -> None:
        """Set the peers' addresses by host id; links to other hosts are closed.

        A peer whose address is not IP:PORT is skipped. The list is external input: an
        invalid entry must not raise in the tick that renews all rights.
        """
        addresses = {
            host_id: address
            for host_id, address in addresses.items()
            if self._is_valid_address(host_id, address)
        }
        for host_id in [peer_id for peer_id in self._peers if peer_id not in addresses]:
            self._close(self._peers.pop(host_id))
        for host_id, address in addresses.items():
            peer = self._peers.get(host_id)
            if peer is None:
                self._peers[host_id] = _Peer(host_id=host_id, address=address)
            elif peer.address != address:
                self._close(peer)
                peer.unanswered_since_s = None
                peer.address = address

    def _is_valid_address(self, host_id: str, address: str) -> bool:
        try:
            check_address(address)
        except ValueError as error:
            if self._invalid_addresses.get(host_id) != address:
                log.error(
                    "host skipped: {}; correct its entry in the platform's host list",
                    error,
                    extra={"step": "set peers", "peer": host_id},
                )
            self._invalid_addresses[host_id] = address
            return False
        self._invalid_addresses.pop(host_id, None)
        return True

    def send(
        self, host_id: str, body: bytes, *, channel: Channel, now_s: float
    ) -> bool:
        """Send a message, opening the link if necessary; return False if dropped."""
        peer = self._peers.get(host_id)
        if peer is None:
            return False
        peer.last_used_s = now_s
        self._open(peer, now_s)
        sent = self._send_frame(host_id, peer, FrameKind.DATA, channel, body)
        if sent:
            peer.sent += 1
        else:
            peer.dropped += 1
        return sent

    def send_control(
        self, host_id: str, kind: FrameKind, body: bytes = b"", *, now_s: float
    ) -> None:
        """Send a control frame; like an answer, it does not reset the idle time-out."""
        peer = self._peers.get(host_id)
        if peer is not None:
            peer.last_control_s = now_s
            self._open(peer, now_s)
            self._send_frame(host_id, peer, kind, body=body)

    def answer_probe(self, probe: Frame, now_s: float) -> None:
        """Answer a peer's probe on the link to that peer."""
        peer = self._peers.get(probe.sender)
        if peer is None:
            return
        peer.last_control_s = now_s
        self._open(peer, now_s)
        frame = Frame(
            version=FRAME_VERSION,
            kind=FrameKind.PROBE_ANSWER,
            sender=self._host_id,
            receiver=probe.sender,
            incarnation=probe.incarnation,
            sequence=probe.sequence,
        )
        self._send(peer, frame)

    def record_answer(self, answer: Frame, now_s: float) -> None:
        """Record a peer's answer to a probe of this incarnation."""
        peer = self._peers.get(answer.sender)
        if peer is None or answer.incarnation != self._incarnation:
            return
        peer.last_answer_s = now_s
        peer.unanswered_since_s = None

    def is_silent(self, host_id: str, now_s: float) -> bool:
        """Return whether a peer has not answered probes for ``PROBE_TIMEOUT_S``."""
        peer = self._peers.get(host_id)
        return peer is not None and _is_silent(peer, now_s)

    def tick(self, now_s: float) -> None:
        """Probe, replace or close the links for which this is due."""
        # Only open links: of the whole fleet, a host communicates with about a dozen.
        for host_id in list(self._open_ids):
            peer = self._peers[host_id]
            if now_s - peer.last_used_s > IDLE_TIMEOUT_S:
                self._tick_idle(peer, now_s)
                continue
            if (
                _is_silent(peer, now_s)
                and now_s - peer.last_dialled_s >= PROBE_TIMEOUT_S
            ):
                self._redial(peer, now_s)
            if now_s >= peer.next_probe_s:
                self._probe(host_id, peer, now_s)

    def stats(self, now_s: float) -> dict[str, LinkStats]:
        """Return the state of each peer's link."""
        return {
            host_id: LinkStats(
                open=peer.link is not None,
                silent=_is_silent(peer, now_s),
                sent=peer.sent,
                dropped=peer.dropped,
                redials=peer.redials,
                last_answer_age_s=(
                    None if peer.last_answer_s is None else now_s - peer.last_answer_s
                ),
            )
            for host_id, peer in self._peers.items()
        }

    def close(self) -> None:
        """Close all links."""
        for peer in self._peers.values():
            self._close(peer)

    def _tick_idle(self, peer: _Peer, now_s: float) -> None:
        # The link is not probed while it only carries answers to the peer's probes.
        # Otherwise two idle hosts would keep each other's links open forever.
        peer.unanswered_since_s = None
        if now_s - peer.last_control_s > IDLE_TIMEOUT_S:
            self._close(peer)

    def _open(self, peer: _Peer, now_s: float) -> None:
        if peer.link is None:
            self._dial_peer(peer, now_s)
            peer.next_probe_s = now_s + self._next_probe_delay_s()

    def _next_probe_delay_s(self) -> float:
        return PROBE_INTERVAL_S * self._rng.uniform(0.8, 1.2)

    def _probe(self, host_id: str, peer: _Peer, now_s: float) -> None:
        peer.next_probe_s = now_s + self._next_probe_delay_s()
        if peer.unanswered_since_s is None:
            peer.unanswered_since_s = now_s
        peer.sequence += 1
        self._send_frame(host_id, peer, FrameKind.PROBE)

    def _redial(self, peer: _Peer, now_s: float) -> None:
        self._close(peer)
        peer.redials += 1
        self._dial_peer(peer, now_s)
        peer.next_probe_s = now_s

    def _dial_peer(self, peer: _Peer, now_s: float) -> None:
        peer.link = self._dial(peer.address)
        peer.last_dialled_s = now_s
        self._open_ids.add(peer.host_id)

    def _close(self, peer: _Peer) -> None:
        if peer.link is not None:
            peer.link.close()
        peer.link = None
        self._open_ids.discard(peer.host_id)

    def _send_frame(
        self,
        host_id: str,
        peer: _Peer,
        kind: FrameKind,
        channel: int = 0,
        body: bytes = b"",
    ) -> bool:
        frame = Frame(
            version=FRAME_VERSION,
            kind=kind,
            sender=self._host_id,
            receiver=host_id,
            incarnation=self._incarnation,
            sequence=peer.sequence,
            channel=channel,
            body=body,
            # Probes are the most frequent frames, so they omit the address. A host
            # without a host list receives messages as well.
            address=self._address if kind is FrameKind.DATA else "",
        )
        return self._send(peer, frame)

    @staticmethod
    def _send(peer: _Peer, frame: Frame) -> bool:
        return peer.link is not None and peer.link.send(encode_frame(frame))


def _is_silent(peer: _Peer, now_s: float) -> bool:
    unanswered_since_s = peer.unanswered_since_s
    return (
        unanswered_since_s is not None and now_s - unanswered_since_s >= PROBE_TIMEOUT_S
    )
