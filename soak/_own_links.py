"""Links that each host has for itself, which are cut without touching others."""

from collections.abc import Mapping, Sequence
from typing import Any, final

from ._server_link import LinkCut, ServerLink

FIRST_PORT = 8500
"""Of the first host; each has one port, on the IP address of what its link leads to."""


@final
class OwnLinks:
    """A link from each host to each of ``addresses``, which are of other programs."""

    def __init__(
        self, *, reactor: Any, hosts: Sequence[str], addresses: Mapping[str, str]
    ) -> None:
        self._hosts = hosts
        self._addresses = addresses
        self._links = {
            (host, name): ServerLink(
                reactor=reactor,
                listens_on=f"{address.rpartition(':')[0]}:{self._port(host)}",
                target=address,
            )
            for host in hosts
            for name, address in addresses.items()
            if name != host
        }

    def _port(self, host: str) -> int:
        return FIRST_PORT + self._hosts.index(host)

    def ports(self, host: str) -> dict[str, int]:
        """Return the port of a host's link to each address, on the same IP address."""
        return {
            address: self._port(host)
            for name, address in self._addresses.items()
            if name != host
        }

    def cut(self, name: str, form: LinkCut) -> None:
        """Cut all links from and to a program."""
        for ends, link in self._links.items():
            if name in ends:
                link.cut(form)

    def restore(self) -> None:
        """Restore all links."""
        for link in self._links.values():
            link.restore()

    def reset(self, name: str) -> None:
        """Reset all connections from and to a program."""
        for ends, link in self._links.items():
            if name in ends:
                link.reset()

    def stop(self) -> None:
        """Close everything."""
        for link in self._links.values():
            link.stop()
