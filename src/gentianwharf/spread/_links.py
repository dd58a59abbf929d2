"""When a link to a peer is opened, probed, made anew and closed. No network.

A link carries frames one way. nng notices only a closed connection and dials again by
itself. One that went silent (a box between two hosts forgot it, the peer's machine is
gone without a word) stays open for good and swallows what it is given. So each link in
use is probed; a probe that goes unanswered for ``SILENT_AFTER_S`` makes the link anew.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol, final

from gentianwharf.logs import log
from gentianwharf.settings import check_address

from ._frames import FRAME_VERSION, Channel, Frame, FrameKind, encode_frame

PROBE_EVERY_S = 0.5
"""About 160 bytes both ways: at ten links in use, 3 KB/s for a host."""

SILENT_AFTER_S = 1.6
"""Three probes without an answer. A frozen peer costs a redial in this time, a link
gone silent loses messages for as long; rights and digests go over other peers too."""

IDLE_AFTER_S = 10.0
"""A link that carried nothing of ours for this long is closed: a host keeps links to
the peers it talks to, not to the whole fleet."""


NEVER_S = float("-inf")


class Link(Protocol):
    """A one-way connection to a peer that queues a bounded number of frames."""

    def send(self, data: bytes) -> bool:
        """Queue a frame; False when the queue is full."""

    def close(self) -> None:
        """Close at once and drop what is queued."""


Dial = Callable[[str], Link]
"""Opens a link to ``ip:port`` without waiting for it."""


@final
@dataclass(kw_only=True, slots=True)
class LinkStats:
    """One peer's link, as an operator sees it; counts since the peer was named."""

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
    used_s: float = NEVER_S
    answering_s: float = NEVER_S
    dialled_s: float = 0.0
    next_probe_s: float = 0.0
    waits_since_s: float | None = None
    answered_s: float | None = None
    sent: int = 0
    dropped: int = 0
    redials: int = 0


@final
class LinkTable:
    """The links of one host to its peers."""

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
        self._refused: dict[str, str] = {}

    def set_peers(self, addresses: dict[str, str]) -> None:
        """Take the peers' addresses by host id; links to others are closed.

        A peer whose address is no IP:PORT is left out. The list comes from outside,
        and one bad line in it must not end the tick that renews every right.
        """
        addresses = {
            host_id: address
            for host_id, address in addresses.items()
            if self._is_address(host_id, address)
        }
        for host_id in [one for one in self._peers if one not in addresses]:
            self._close(self._peers.pop(host_id))
        for host_id, address in addresses.items():
            peer = self._peers.get(host_id)
            if peer is None:
                self._peers[host_id] = _Peer(host_id=host_id, address=address)
            elif peer.address != address:
                self._close(peer)
                peer.waits_since_s = None
                peer.address = address

    def _is_address(self, host_id: str, address: str) -> bool:
        try:
            check_address(address)
        except ValueError as error:
            if self._refused.get(host_id) != address:
                log.error(
                    "host left out: {}; mend its line in the platform's host list",
                    error,
                    extra={"step": "set peers", "peer": host_id},
                )
            self._refused[host_id] = address
            return False
        self._refused.pop(host_id, None)
        return True

    def send(
        self, host_id: str, body: bytes, *, channel: Channel, now_s: float
    ) -> bool:
        """Send a message, opening the link if need be; False when it was dropped."""
        peer = self._peers.get(host_id)
        if peer is None:
            return False
        peer.used_s = now_s
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
        """Send a frame of the mesh's own; like an answer it keeps no link open."""
        peer = self._peers.get(host_id)
        if peer is not None:
            peer.answering_s = now_s
            self._open(peer, now_s)
            self._send_frame(host_id, peer, kind, body=body)

    def answer(self, probe: Frame, now_s: float) -> None:
        """Answer a peer's probe over the link to it."""
        peer = self._peers.get(probe.sender)
        if peer is None:
            return
        peer.answering_s = now_s
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

    def answered(self, answer: Frame, now_s: float) -> None:
        """Note a peer's answer to a probe of this host's present life."""
        peer = self._peers.get(answer.sender)
        if peer is None or answer.incarnation != self._incarnation:
            return
        peer.answered_s = now_s
        peer.waits_since_s = None

    def is_silent(self, host_id: str, now_s: float) -> bool:
        """Say whether a peer left probes unanswered for too long."""
        peer = self._peers.get(host_id)
        return peer is not None and _is_silent(peer, now_s)

    def tick(self, now_s: float) -> None:
        """Probe, make anew or close what is due."""
        # Only the open ones: a host knows the fleet and talks to a dozen.
        for host_id in list(self._open_ids):
            peer = self._peers[host_id]
            if now_s - peer.used_s > IDLE_AFTER_S:
                self._tick_idle(peer, now_s)
                continue
            if _is_silent(peer, now_s) and now_s - peer.dialled_s >= SILENT_AFTER_S:
                self._redial(peer, now_s)
            if now_s >= peer.next_probe_s:
                self._probe(host_id, peer, now_s)

    def stats(self, now_s: float) -> dict[str, LinkStats]:
        """Return each peer's link."""
        return {
            host_id: LinkStats(
                open=peer.link is not None,
                silent=_is_silent(peer, now_s),
                sent=peer.sent,
                dropped=peer.dropped,
                redials=peer.redials,
                last_answer_age_s=(
                    None if peer.answered_s is None else now_s - peer.answered_s
                ),
            )
            for host_id, peer in self._peers.items()
        }

    def close(self) -> None:
        """Close every link."""
        for peer in self._peers.values():
            self._close(peer)

    def _tick_idle(self, peer: _Peer, now_s: float) -> None:
        # Unprobed while only the peer's own probes are answered over it: two idle
        # hosts that probed on account of each other would never close their links.
        peer.waits_since_s = None
        if now_s - peer.answering_s > IDLE_AFTER_S:
            self._close(peer)

    def _open(self, peer: _Peer, now_s: float) -> None:
        if peer.link is None:
            self._dial_peer(peer, now_s)
            peer.next_probe_s = now_s + self._probe_pause_s()

    def _probe_pause_s(self) -> float:
        return PROBE_EVERY_S * self._rng.uniform(0.8, 1.2)

    def _probe(self, host_id: str, peer: _Peer, now_s: float) -> None:
        peer.next_probe_s = now_s + self._probe_pause_s()
        if peer.waits_since_s is None:
            peer.waits_since_s = now_s
        peer.sequence += 1
        self._send_frame(host_id, peer, FrameKind.PROBE)

    def _redial(self, peer: _Peer, now_s: float) -> None:
        self._close(peer)
        peer.redials += 1
        self._dial_peer(peer, now_s)
        peer.next_probe_s = now_s

    def _dial_peer(self, peer: _Peer, now_s: float) -> None:
        peer.link = self._dial(peer.address)
        peer.dialled_s = now_s
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
            # Probes are the most frequent frames; a host in need gets messages too.
            address=self._address if kind is FrameKind.DATA else "",
        )
        return self._send(peer, frame)

    @staticmethod
    def _send(peer: _Peer, frame: Frame) -> bool:
        return peer.link is not None and peer.link.send(encode_frame(frame))


def _is_silent(peer: _Peer, now_s: float) -> bool:
    waits_since_s = peer.waits_since_s
    return waits_since_s is not None and now_s - waits_since_s >= SILENT_AFTER_S
