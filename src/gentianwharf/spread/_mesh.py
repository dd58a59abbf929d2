"""Messages between hosts over links that are probed and made anew."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any, final

from gentianwharf.errors import InputError, PeerMismatchError
from gentianwharf.links import NngListener, dial
from gentianwharf.logs import log
from gentianwharf.topology import Host

from ._frames import (
    MOST_FRAME_BYTES,
    Channel,
    Frame,
    FrameKind,
    decode_frame,
    decode_hosts,
    encode_hosts,
)
from ._links import Dial, LinkStats, LinkTable
from ._messages import MOST_MESSAGE_BYTES

INCARNATION_BITS = 53
"""Random, since a host keeps nothing from which to count on; as wide as JSON takes."""

HOSTS_ASK_EVERY_S = 0.2
"""A host without a list asks one of those that write to it at a time."""

OnMessage = Callable[[str, bytes], None]
OnHosts = Callable[[tuple[Host, ...]], None]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class MeshStats:
    """What an operator sees of the mesh."""

    received: int
    malformed: int
    for_another_host: int
    unknown_channel: int
    failed: int
    links: dict[str, LinkStats]


@final
class PeerChannel:
    """One system's way to its peers over the mesh."""

    def __init__(self, *, mesh: "PeerMesh", channel: Channel) -> None:
        self._mesh = mesh
        self._channel = channel

    def send(self, host_id: str, message: bytes) -> bool:
        """Hand a message over for sending; False when it was dropped at once."""
        return self._mesh.send(host_id, message, channel=self._channel)


@final
class PeerMesh:
    """One host's messages to and from its fellow hosts.

    A message may be lost, come late or come twice, as over any network; True from
    ``send`` says only that it was queued. Call ``tick`` every 50 to 100 ms.

    A host that starts while the platform's list is out of reach knows no peers, but
    they know it: ``on_hosts`` is called with the list of one that wrote to it, until
    ``set_peers`` names a peer.
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
        self._knows_peers = False
        self._hosts_asked_s = float("-inf")
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
        """Return a system's channel; its messages go to ``on_message(host_id, m)``."""
        self._handlers[channel] = on_message
        return PeerChannel(mesh=self, channel=channel)

    def listen(self) -> None:
        """Listen on the host's peer address; raises ``InputError`` when it can't."""
        self._listener = NngListener(
            reactor=self._reactor,
            address=self._host.peer_address,
            on_data=self.handle_frame,
            max_bytes=MOST_FRAME_BYTES,
        )

    def set_peers(self, hosts: Iterable[Host], *, leaving: Iterable[Host] = ()) -> None:
        """Take the list of hosts; links open with the first message to a host.

        ``leaving`` hosts are answered still. The balancer goes on sending to one for
        some seconds, and without its peers' answers its right to send would lapse: it
        would refuse every keyed request that it is meant to finish.
        """
        self._hosts = tuple(hosts)
        addresses = {
            one.id: one.peer_address
            for one in (*leaving, *self._hosts)
            if one.id != self._host.id
        }
        self._knows_peers = bool(addresses)
        self._links.set_peers(addresses)

    def send(self, host_id: str, message: bytes, *, channel: Channel) -> bool:
        """Queue a message; False when the host is unknown or its queue is full."""
        if len(message) > MOST_MESSAGE_BYTES:
            raise InputError(
                f"expected at most {MOST_MESSAGE_BYTES} bytes, got {len(message)}",
                step="send to peer",
                peer=host_id,
            )
        return self._links.send(
            host_id, message, channel=channel, now_s=self._reactor.seconds()
        )

    def is_silent(self, host_id: str) -> bool:
        """Say whether a host that we talk to left our probes unanswered."""
        return self._links.is_silent(host_id, self._reactor.seconds())

    def tick(self) -> None:
        """Probe, make anew or close links that are due."""
        self._links.tick(self._reactor.seconds())

    def close(self) -> None:
        """Close the links and stop listening."""
        self._links.close()
        if self._listener is not None:
            self._listener.close()

    def stats(self) -> MeshStats:
        """Return what an operator sees."""
        return MeshStats(
            received=self._received,
            malformed=self._malformed,
            for_another_host=self._for_another_host,
            unknown_channel=self._unknown_channel,
            failed=self._failed,
            links=self._links.stats(self._reactor.seconds()),
        )

    def handle_frame(self, data: bytes) -> None:
        """Handle a frame that came in; one not meant for us is counted, dropped."""
        try:
            frame = decode_frame(data, peer=self._host.peer_address)
        except PeerMismatchError:
            self._malformed += 1
            return
        if frame.receiver != self._host.id:
            self._for_another_host += 1
            return
        self._received += 1
        if frame.kind is not FrameKind.HOSTS and not self._knows_peers:
            self._ask_for_hosts(frame)
        match frame.kind:
            case FrameKind.PROBE:
                self._links.answer(frame, self._reactor.seconds())
            case FrameKind.PROBE_ANSWER:
                self._links.answered(frame, self._reactor.seconds())
            case FrameKind.DATA:
                self._hand_over(frame)
            case FrameKind.HOSTS_ASK:
                self._tell_hosts(frame.sender)
            case FrameKind.HOSTS:
                self._take_hosts(frame)

    def _hand_over(self, frame: Frame) -> None:
        handler = self._handlers.get(frame.channel)
        if handler is None:
            self._unknown_channel += 1
            return
        try:
            handler(frame.sender, frame.body)
        except Exception:
            # The reactor closes a reader whose reading raises: one message that a
            # system stumbles over would leave this host deaf to all others for good.
            self._failed += 1
            log.exception(
                "message failed", extra={"step": "hand over", "peer": frame.sender}
            )

    def _ask_for_hosts(self, frame: Frame) -> None:
        now_s = self._reactor.seconds()
        is_due = now_s >= self._hosts_asked_s + HOSTS_ASK_EVERY_S
        if self._on_hosts is None or not frame.address or not is_due:
            return
        self._hosts_asked_s = now_s
        self._links.set_peers({frame.sender: frame.address})
        self._links.send_control(frame.sender, FrameKind.HOSTS_ASK, now_s=now_s)

    def _tell_hosts(self, host_id: str) -> None:
        if self._knows_peers:
            self._links.send_control(
                host_id,
                FrameKind.HOSTS,
                encode_hosts(self._hosts),
                now_s=self._reactor.seconds(),
            )

    def _take_hosts(self, frame: Frame) -> None:
        if self._on_hosts is None or self._knows_peers:
            # The platform's own list, or an earlier peer's, is there.
            return
        try:
            self._on_hosts(decode_hosts(frame.body, peer=frame.sender))
        except PeerMismatchError:
            self._malformed += 1
