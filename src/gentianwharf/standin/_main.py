"""``gentianwharf-stand-in``: the stand-ins as processes of their own."""

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

USAGE_EXIT = 2

app = App(name="gentianwharf-stand-in", help="Stand-ins for tests and trials.")


def listen_store(
    *, reactor: Any, address: str, hosts: tuple[ListedHost, ...] = ()
) -> Any:
    """Serve an empty store and a host list on ``ip:port``; return the listening port.

    Port 0 takes a free one.
    """
    ip, port = _split(address)
    store = MemoryStore(clock=reactor)
    host_list = MemoryHostList(clock=reactor, hosts=hosts)
    site = Site(StoreApp(store=store, hosts=host_list).resource(), reactor=reactor)
    return reactor.listenTCP(port, site, interface=ip)


def hosts_of(settings: Settings) -> tuple[ListedHost, ...]:
    """Return the host list of a deployment that has the settings' one host."""
    host = settings.host
    return (
        ListedHost(
            id=host.id, domain=host.domain, address=host.peer_address, leaving=False
        ),
    )


def _split(address: str) -> tuple[str, int]:
    try:
        checked: str = TypeAdapter(Address).validate_python(address)
    except ValidationError as error:
        raise InputError(
            error.errors()[0]["msg"], step="check", peer=address
        ) from error
    ip, _, port = checked.rpartition(":")
    return ip.strip("[]"), int(port)


def _serve(address: str, hosts: tuple[ListedHost, ...]) -> None:
    # Importing it installs it; whoever only imports this module brings his own.
    from twisted.internet import reactor

    port = listen_store(reactor=reactor, address=address, hosts=hosts)
    at = port.getHost()
    print(f"store {at.host}:{at.port}", flush=True)
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
    found = {one.id: one for service in services for one in service.servers}
    if server not in found:
        raise InputError(
            f"{server}: expected one of {', '.join(sorted(found))}",
            step="find server",
            peer=str(settings),
        )
    _listen_backend(found[server], reactor=reactor, service_time_s=service_time_s)
    freeze_objects()
    reactor.run()


def main() -> None:
    """Run the command; a mistake in its arguments ends with exit code 2."""
    try:
        app()
    except GentianwharfError as error:
        print(error, file=sys.stderr)
        sys.exit(USAGE_EXIT)
