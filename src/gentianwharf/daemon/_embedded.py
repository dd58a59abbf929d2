"""A whole deployment in one process and event loop, for trying the daemon out."""

from pathlib import Path
from typing import Any, final

from gentianwharf.infra import ListedHost
from gentianwharf.settings import HostSettings, Settings, services_of
from gentianwharf.standin import StandInBackend, listen_store

from ._daemon import Daemon
from ._listen import listen

# Each further failure domain's daemon listens on the ports of the settings plus a
# multiple of this step.
PORT_STEP = 100


@final
class EmbeddedDeployment:
    """A store, a host list, every backend server and a daemon per failure domain.

    Grants are confirmed by a majority of the hosts of a server's own failure domain,
    so every domain needs one.
    """

    def __init__(self, *, settings: Settings, directory: Path, reactor: Any) -> None:
        self._settings = settings
        self._directory = directory
        self._reactor = reactor
        self.daemons: list[Daemon] = []

    def start(self) -> None:
        """Listen on every address."""
        hosts = self._hosts()
        listen_store(
            reactor=self._reactor,
            address=self._settings.platform.store_url.removeprefix("http://"),
            hosts=tuple(_listed(host) for host in hosts),
        )
        for service in services_of(self._settings):
            for server in service.servers:
                backend = StandInBackend(server=server, clock=self._reactor)
                listen(self._reactor, server.address, backend.site())
        for host in hosts:
            self._start_daemon(host)

    def _hosts(self) -> list[HostSettings]:
        own = self._settings.host
        others = [
            domain for domain in self._settings.domains if domain.name != own.domain
        ]
        return [own] + [
            _host_in_domain(own, domain=domain.name, step=number * PORT_STEP)
            for number, domain in enumerate(others, start=1)
        ]

    def _start_daemon(self, host: HostSettings) -> None:
        daemon = Daemon(
            settings=self._settings.model_copy(update={"host": host}),
            directory=self._directory,
            reactor=self._reactor,
        )
        daemon.start()
        self.daemons.append(daemon)


def _listed(host: HostSettings) -> ListedHost:
    return ListedHost(
        id=host.id, domain=host.domain, address=host.peer_address, leaving=False
    )


def _host_in_domain(host: HostSettings, *, domain: str, step: int) -> HostSettings:
    return HostSettings(
        id=f"{domain}-1",
        domain=domain,
        callers_address=_shift_port(host.callers_address, step),
        admin_address=_shift_port(host.admin_address, step),
        peer_address=_shift_port(host.peer_address, step),
    )


def _shift_port(address: str, step: int) -> str:
    ip, _, port = address.rpartition(":")
    return f"{ip}:{int(port) + step}"
