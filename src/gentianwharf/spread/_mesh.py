"""Messages between hosts over links that are probed and replaced on failure."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any, final

from gentianwharf.errors import InputError, PeerMismatchError
from gentianwharf.links import NngListener, dial
from gentianwharf.logs import log
from gentianwharf.topology import Host

from ._frames import (
    MAX_FRAME_BYTES,
    Channel,
    Frame,
    FrameKind,
    decode_frame,
    decode_hosts,
    encode_hosts,
)
from ._links import Dial, LinkStats, LinkTable
from ._messages import MAX_MESSAGE_BYTES

INCARNATION_BITS = 53
"""An incarnation is random, since a host stores no counter across restarts. Integers of
up to 53 bits are exact in JSON."""

HOSTS_REQUEST_INTERVAL_S = 0.2
"""Minimum time between requests for the host list. A host without a list asks one of
its senders at a time."""

OnMessage = Callable[[str, bytes], None]
OnHosts = Callable[[tuple[Host, ...]], None]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class MeshStats:
    """Counts and links of the mesh, for operators."""

    received: int
    malformed: int
    for_another_host: int
    unknown_channel: int
    failed: int
    links: dict[str, LinkStats]


@final
class PeerChannel:
    """Sends the messages of one system over the mesh."""

    def __init__(self, *, mesh: "PeerMesh", channel: Channel) -> None:
        self._mesh = mesh
        self._channel = channel

    def send(self, host_id: str, message: bytes) -> bool:
        """Queue a message; return False if it was dropped immediately."""
        return self._mesh.send(host_id, message, channel=self._channel)


@final
class PeerMesh:
    """Exchanges messages between one host and its peers.

    A message may be lost, delayed or duplicated; True from ``send`` only means that it
    was queued. Call ``tick`` every 50 to 100 ms.

    A host that starts while the platform's host list is unreachable has no peers, but
    its peers list it. Until ``set_peers`` is called with a peer, ``on_hosts`` is called
    with the host list of a peer that sent a message.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        host: Host,
        rng: Random,
        dial: Dial = dial,
        on_hosts: OnHosts | None = None,
    ) -> None:
        self._on_hosts = on_hosts
        self._hosts: tuple[Host, ...] = ()
        self._has_peers = False
        self._last_hosts_request_s = float("-inf")
        self._reactor = reactor
        self._host = host
        self._handlers: dict[int, OnMessage] = {}
        self._links = LinkTable(
            host_id=host.id,
            address=host.peer_address,
            incarnation=rng.getrandbits(INCARNATION_BITS),
            dial=dial,
            rng=rng,
        )
        self._listener: NngListener | None = None
        self._received = 0
        self._malformed = 0
        self._for_another_host = 0
        self._unknown_channel = 0
        self._failed = 0

    def channel(self, channel: Channel, on_message: OnMessage) -> PeerChannel:
        """Return a channel; ``on_message(host_id, message)`` handles its messages."""
        self._handlers[channel] = on_message
        return PeerChannel(mesh=self, channel=channel)

    def listen(self) -> None:
        """Listen on the host's peer address; raises ``InputError`` on failure."""
        self._listener = NngListener(
            reactor=self._reactor,
            address=self._host.peer_address,
            on_data=self.handle_frame,
            max_bytes=MAX_FRAME_BYTES,
        )

    def set_peers(self, hosts: Iterable[Host], *, leaving: Iterable[Host] = ()) -> None:
        """Set the list of hosts; links open with the first message to a host.

        ``leaving`` hosts still receive answers. The balancer continues to send requests
        to such a host for some seconds. Without answers from its peers, its right to
        send would lapse, and it would refuse the keyed requests it should finish.
        """
        self._hosts = tuple(hosts)
        addresses = {
            host.id: host.peer_address
            for host in (*leaving, *self._hosts)
            if host.id != self._host.id
        }
        self._has_peers = bool(addresses)
        self._links.set_peers(addresses)

    def send(self, host_id: str, message: bytes, *, channel: Channel) -> bool:
        """Queue a message; return False if the host is unknown or its queue is full."""
        if len(message) > MAX_MESSAGE_BYTES:
            raise InputError(
                f"expected at most {MAX_MESSAGE_BYTES} bytes, got {len(message)}",
                step="send to peer",
                peer=host_id,
            )
        return self._links.send(
            host_id, message, channel=channel, now_s=self._reactor.seconds()
        )

    def is_silent(self, host_id: str) -> bool:
        """Return whether a host with an open link does not answer probes."""
        return self._links.is_silent(host_id, self._reactor.seconds())

    def tick(self) -> None:
        """Probe, replace or close the links for which this is due."""
        self._links.tick(self._reactor.seconds())

    def close(self) -> None:
        """Close the links and stop listening."""
        self._links.close()
        if self._listener is not None:
            self._listener.close()

    def stats(self) -> MeshStats:
        """Return the state for operators."""
        return MeshStats(
            received=self._received,
            malformed=self._malformed,
            for_another_host=self._for_another_host,
            unknown_channel=self._unknown_channel,
            failed=self._failed,
            links=self._links.stats(self._reactor.seconds()),
        )

    def handle_frame(self, data: bytes) -> None:
        """Handle a received frame; one for another host is counted and dropped."""
        try:
            frame = decode_frame(data, peer=self._host.peer_address)
        except PeerMismatchError:
            self._malformed += 1
            return
        if frame.receiver != self._host.id:
            self._for_another_host += 1
            return
        self._received += 1
        if frame.kind is not FrameKind.HOSTS and not self._has_peers:
            self._request_hosts(frame)
        match frame.kind:
            case FrameKind.PROBE:
                self._links.answer_probe(frame, self._reactor.seconds())
            case FrameKind.PROBE_ANSWER:
                self._links.record_answer(frame, self._reactor.seconds())
            case FrameKind.DATA:
                self._dispatch(frame)
            case FrameKind.HOSTS_ASK:
                self._send_hosts(frame.sender)
            case FrameKind.HOSTS:
                self._apply_hosts(frame)

    def _dispatch(self, frame: Frame) -> None:
        handler = self._handlers.get(frame.channel)
        if handler is None:
            self._unknown_channel += 1
            return
        try:
            handler(frame.sender, frame.body)
        except Exception:
            # The reactor closes a reader that raises: after one message that a handler
            # fails on, this host would receive no more messages.
            self._failed += 1
            log.exception(
                "message from a peer could not be handled",
                extra={"step": "hand over", "peer": frame.sender},
            )

    def _request_hosts(self, frame: Frame) -> None:
        now_s = self._reactor.seconds()
        is_due = now_s >= self._last_hosts_request_s + HOSTS_REQUEST_INTERVAL_S
        if self._on_hosts is None or not frame.address or not is_due:
            return
        self._last_hosts_request_s = now_s
        self._links.set_peers({frame.sender: frame.address})
        self._links.send_control(frame.sender, FrameKind.HOSTS_ASK, now_s=now_s)

    def _send_hosts(self, host_id: str) -> None:
        if self._has_peers:
            self._links.send_control(
                host_id,
                FrameKind.HOSTS,
                encode_hosts(self._hosts),
                now_s=self._reactor.seconds(),
            )

    def _apply_hosts(self, frame: Frame) -> None:
        if self._on_hosts is None or self._has_peers:
            # The platform's list, or that of another peer, has already been set.
            return
        try:
            self._on_hosts(decode_hosts(frame.body, peer=frame.sender))
        except PeerMismatchError:
            self._malformed += 1
