"""Entities as plain frozen data; tables of them belong to the systems using them."""

from dataclasses import dataclass, field
from typing import final


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Domain:
    """A failure domain and the data centre (``site``) that it stands in."""

    name: str
    site: str


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Host:
    """An entry host; ``peer_address`` is ``ip:port`` for its fellow hosts."""

    id: str
    domain: str
    peer_address: str


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """A backend server of one service.

    ``checks_giver``, ``knows_validity`` and ``gives_stamp`` are the capabilities
    that its adapter declares; the weakest server has none and knows tokens alone.
    """

    id: str
    service: str
    domain: str
    address: str
    slots: int
    connections: int
    checks_giver: bool = False
    knows_validity: bool = False
    gives_stamp: bool = False


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service and its backend servers; only a keyed one is divided by key.

    ``shards`` is fixed for the life of a keyed service, 0 for the others.
    """

    name: str
    keyed: bool
    shards: int
    servers: tuple[BackendServer, ...] = field(default=())
