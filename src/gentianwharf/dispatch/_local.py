"""The dispatcher that runs on this host, as its node calls it."""

from collections.abc import Iterable
from typing import Protocol

from gentianwharf.topology import BackendServer

from ._types import Reply, SlotRequest, SlotReturn


class LocalDispatcher(Protocol):
    """What is called on this host's own dispatcher."""

    def set_servers(self, service: str, servers: Iterable[BackendServer]) -> None:
        """Set the usable servers of a service."""

    def request(self, host: str, request: SlotRequest) -> list[Reply]:
        """Decide a host's request."""

    def returned(self, host: str, slot: SlotReturn) -> list[Reply]:
        """Apply a host's return."""

    def tick(self) -> list[Reply]:
        """Run all periodic work."""

    def drop_host(self, host: str) -> list[Reply]:
        """Forget the requests of a host that restarted or is gone."""

    def reset(self) -> object:
        """Forget all requests and slots, and count as new; the result is not used."""

    def stop(self) -> list[Reply]:
        """Refuse all waiting requests with the reason ``moved``."""
