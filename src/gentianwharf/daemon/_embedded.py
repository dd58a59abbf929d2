"""Stand-ins of everything around the daemon, in its own process and loop."""

from typing import Any

from twisted.web.server import Site

from gentianwharf.settings import Settings, services_of
from gentianwharf.standin import StandInBackend


class Embedded:
    """Backend servers of every service, on the addresses that the settings give."""

    def __init__(self, *, settings: Settings, reactor: Any) -> None:
        self._settings = settings
        self._reactor = reactor

    def start(self) -> None:
        """Listen on every address."""
        for service in services_of(self._settings):
            for server in service.servers:
                backend = StandInBackend(
                    server_id=server.id, service=service.name, clock=self._reactor
                )
                site = Site(backend.klein.resource())
                site.noisy = False
                listen(self._reactor, server.address, site)


def listen(reactor: Any, address: str, factory: Any) -> Any:
    """Listen on ``IP:PORT`` and return the port."""
    host, _, port = address.rpartition(":")
    return reactor.listenTCP(int(port), factory, interface=host.strip("[]"))
