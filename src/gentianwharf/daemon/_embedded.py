"""Everything around the daemon, in its own process and loop, for a first look."""

from pathlib import Path
from typing import Any, final

from gentianwharf.infra import ListedHost
from gentianwharf.settings import HostSettings, Settings, services_of
from gentianwharf.standin import StandInBackend, listen_store

from ._daemon import Daemon
from ._listen import listen

# Ports of the daemons of the other failure domains, above those of the settings' own.
PORT_STEP = 100


@final
class EmbeddedDeployment:
    """Store, host list, every backend server, and a daemon for each failure domain.

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
        others = [one for one in self._settings.domains if one.name != own.domain]
        return [own] + [
            _host_in_domain(own, domain=one.name, step=number * PORT_STEP)
            for number, one in enumerate(others, start=1)
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
