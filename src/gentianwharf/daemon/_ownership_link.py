"""The ownership system's messages over the mesh of hosts."""

from collections.abc import Callable, Sequence
from typing import final

from gentianwharf import ownership
from gentianwharf.errors import InputError
from gentianwharf.logs import log
from gentianwharf.spread import Channel, PeerMesh

from ._hosts import HostTable

CONTROL_TIMEOUT_S = 3.0
"""A holder says that it lives several times a second, of which hosts of a large domain
hear one a second, and loses its lease in one."""


@final
class OwnershipLink:
    """Encodes, decodes, and notes who was heard."""

    def __init__(
        self, *, mesh: PeerMesh, hosts: HostTable, now_s: Callable[[], float]
    ) -> None:
        self._now_s = now_s
        self._control_contact_s: dict[str, float] = {}
        self.on_message: Callable[[str, ownership.Message], None] | None = None
        self._channel = mesh.channel(Channel.OWNERSHIP, self._received)
        self._hosts = hosts

    def send(self, host: str, message: ownership.Message) -> None:
        """Send without waiting."""
        self._channel.send(host, ownership.encode(message))

    def hosts_of(self, domain: str) -> Sequence[str]:
        """Return the entry hosts that are listed for a domain."""
        return self._hosts.hosts_of(domain)

    def is_live(self, host: str) -> bool:
        """Whether ``host`` has been heard lately."""
        return self._hosts.is_live(host)

    def has_live_control_holder(self, service: str) -> bool:
        """Whether a host has said lately that it holds the control of ``service``."""
        heard_s = self._control_contact_s.get(service)
        return heard_s is not None and self._now_s() - heard_s < CONTROL_TIMEOUT_S

    def _received(self, host_id: str, message: bytes) -> None:
        self._hosts.record_contact(host_id)
        if self.on_message is None:
            return
        try:
            decoded = ownership.decode(message, peer=host_id)
            if isinstance(decoded, ownership.ControlAlive):
                self._control_contact_s[decoded.service] = self._now_s()
            self.on_message(host_id, decoded)
        except InputError as error:
            log.warning(
                "message dropped: {}",
                error.message,
                extra={"step": error.step, "peer": host_id},
            )
