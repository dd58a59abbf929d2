"""Transport of the ownership system's messages over the peer mesh."""

from collections.abc import Callable, Sequence
from typing import final

from gentianwharf import ownership
from gentianwharf.errors import InputError
from gentianwharf.logs import log
from gentianwharf.spread import Channel, PeerMesh

from ._hosts import HostTable

CONTROL_TIMEOUT_S = 3.0
"""A holder announces itself several times a second, and its lease lapses within one
second. Hosts of a large domain receive one announcement a second."""


@final
class OwnershipLink:
    """Encodes and decodes messages, and records when each peer last sent one."""

    def __init__(
        self, *, mesh: PeerMesh, hosts: HostTable, now_s: Callable[[], float]
    ) -> None:
        self._now_s = now_s
        self._control_announced_s: dict[str, float] = {}
        self.on_message: Callable[[str, ownership.Message], None] | None = None
        self._channel = mesh.channel(Channel.OWNERSHIP, self._received)
        self._hosts = hosts

    def send(self, host: str, message: ownership.Message) -> None:
        """Queue ``message`` for ``host``, without waiting for its delivery."""
        self._channel.send(host, ownership.encode(message))

    def hosts_of(self, domain: str) -> Sequence[str]:
        """Return the entry hosts that are listed for a domain."""
        return self._hosts.hosts_of(domain)

    def is_live(self, host: str) -> bool:
        """Whether a message of ``host`` arrived within the liveness time-out."""
        return self._hosts.is_live(host)

    def has_live_control_holder(self, service: str) -> bool:
        """Whether a host announced control of ``service`` within ``CONTROL_TIMEOUT_S``.

        The holder of a service's control orders the moves of its shards.
        """
        announced_s = self._control_announced_s.get(service)
        return (
            announced_s is not None and self._now_s() - announced_s < CONTROL_TIMEOUT_S
        )

    def _received(self, host_id: str, message: bytes) -> None:
        self._hosts.record_contact(host_id)
        if self.on_message is None:
            return
        try:
            decoded = ownership.decode(message, peer=host_id)
            if isinstance(decoded, ownership.ControlAlive):
                self._control_announced_s[decoded.service] = self._now_s()
            self.on_message(host_id, decoded)
        except InputError as error:
            log.warning(
                "unreadable ownership message dropped: {}",
                error.message,
                extra={"step": error.step, "peer": host_id},
            )
