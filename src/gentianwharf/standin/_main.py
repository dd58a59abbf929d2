"""The command ``gentianwharf-stand-in``, which runs stand-ins as processes."""

import sys
from pathlib import Path
from typing import Any

from cyclopts import App
from pydantic import TypeAdapter, ValidationError
from twisted.web.server import Site

from gentianwharf.collector import freeze_objects
from gentianwharf.errors import GentianwharfError, InputError
from gentianwharf.infra import ListedHost, MemoryHostList, MemoryStore
from gentianwharf.settings import Address, Settings, load_settings, services_of
from gentianwharf.topology import BackendServer

from ._backend import StandInBackend
from ._store import StoreApp

EXIT_USAGE = 2

app = App(name="gentianwharf-stand-in", help="Stand-ins for tests and trials.")


def listen_store(
    *, reactor: Any, address: str, hosts: tuple[ListedHost, ...] = ()
) -> Any:
    """Serve an empty store and a host list on ``ip:port``; return the listening port.

    Port 0 selects a free port.
    """
    ip, port = _split(address)
    store = MemoryStore(clock=reactor)
    host_list = MemoryHostList(clock=reactor, hosts=hosts)
    site = Site(StoreApp(store=store, hosts=host_list).resource(), reactor=reactor)
    return reactor.listenTCP(port, site, interface=ip)


def hosts_of(settings: Settings) -> tuple[ListedHost, ...]:
    """Return the host list of a deployment whose only host is that of the settings."""
    host = settings.host
    return (
        ListedHost(
            id=host.id, domain=host.domain, address=host.peer_address, leaving=False
        ),
    )


def _split(address: str) -> tuple[str, int]:
    try:
        validated: str = TypeAdapter(Address).validate_python(address)
    except ValidationError as error:
        raise InputError(
            error.errors()[0]["msg"], step="check", peer=address
        ) from error
    ip, _, port = validated.rpartition(":")
    return ip.strip("[]"), int(port)


def _serve(address: str, hosts: tuple[ListedHost, ...]) -> None:
    # Importing the reactor installs it, which must not happen when this module is
    # merely imported by a program with another reactor.
    from twisted.internet import reactor

    port = listen_store(reactor=reactor, address=address, hosts=hosts)
    listening = port.getHost()
    print(f"store {listening.host}:{listening.port}", flush=True)
    freeze_objects()
    reactor.run()


@app.command
def store(address: str, *, hosts: Path | None = None) -> None:
    """Serve the store and the host list on IP:PORT.

    Parameters
    ----------
    address
        Where to listen; port 0 takes a free one, which is printed.
    hosts
        A JSON file with the host list: id, domain, address and leaving of each.

    """
    listed: tuple[ListedHost, ...] = ()
    if hosts is not None:
        listed = _read_hosts(hosts)
    _serve(address, listed)


def _read_hosts(path: Path) -> tuple[ListedHost, ...]:
    try:
        return TypeAdapter(tuple[ListedHost, ...]).validate_json(path.read_bytes())
    except (OSError, ValidationError) as error:
        raise InputError(
            f"{path}: expected a list of hosts with id, domain, address, leaving:"
            f" {error}",
            step="read hosts",
            peer=str(path),
        ) from error


@app.command
def all(settings: Path) -> None:  # noqa: A001
    """Serve everything around a daemon where its SETTINGS expect it.

    That is the store, the host list and every backend server.
    """
    from twisted.internet import reactor

    loaded = load_settings(settings)
    for service in services_of(loaded):
        for server in service.servers:
            _listen_backend(server, reactor=reactor)
    address = loaded.platform.store_url.removeprefix("http://").rstrip("/")
    _serve(address, hosts_of(loaded))


def _listen_backend(
    server: BackendServer, *, reactor: Any, service_time_s: float = 0.0
) -> None:
    ip, port = _split(server.address)
    stand_in = StandInBackend(
        server=server, clock=reactor, service_time_s=service_time_s
    )
    reactor.listenTCP(port, stand_in.site(), interface=ip)
    print(f"server {server.id} {server.address}", flush=True)


@app.command
def backend(settings: Path, server: str, *, service_time_s: float = 0.0) -> None:
    """Serve one backend server of a daemon's SETTINGS.

    Parameters
    ----------
    settings
        The daemon's settings file.
    server
        The server's id in it.
    service_time_s
        How long each request takes.

    """
    from twisted.internet import reactor

    services = services_of(load_settings(settings))
    servers = {listed.id: listed for service in services for listed in service.servers}
    if server not in servers:
        raise InputError(
            f"{server}: expected one of {', '.join(sorted(servers))}",
            step="find server",
            peer=str(settings),
        )
    _listen_backend(servers[server], reactor=reactor, service_time_s=service_time_s)
    freeze_objects()
    reactor.run()


def main() -> None:
    """Run the command line interface; invalid arguments exit with code 2."""
    try:
        app()
    except GentianwharfError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
