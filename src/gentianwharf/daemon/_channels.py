"""The ownership system's messages over the mesh of hosts."""

from collections.abc import Callable, Sequence
from typing import final

from gentianwharf import ownership
from gentianwharf.errors import InputError
from gentianwharf.logs import log
from gentianwharf.spread import Channel, PeerMesh

from ._hosts import HostTable


@final
class OwnershipLink:
    """Encodes, decodes, and notes who was heard."""

    def __init__(self, *, mesh: PeerMesh, hosts: HostTable) -> None:
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

    def _received(self, host_id: str, message: bytes) -> None:
        self._hosts.heard(host_id)
        if self.on_message is None:
            return
        try:
            self.on_message(host_id, ownership.decode(message, peer=host_id))
        except InputError as error:
            log.warning(
                "message dropped: {}",
                error.message,
                extra={"step": error.step, "peer": host_id},
            )
