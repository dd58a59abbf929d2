"""Entities as plain frozen data; each subsystem keeps its own tables of them."""

from dataclasses import dataclass, field
from typing import final


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Domain:
    """A failure domain and the data centre (``site``) that it is located in."""

    name: str
    site: str


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Host:
    """An entry host; other hosts reach it at ``peer_address``, an ``ip:port``."""

    id: str
    domain: str
    peer_address: str


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """A backend server of one service.

    ``checks_giver``, ``knows_validity`` and ``gives_stamp`` are the capabilities that
    its adapter declares. A server with none of them checks fencing tokens only.

    ``cold_requests_per_s`` is how many requests the server tolerates from all hosts
    together while it is cold, None if it has no such limit.
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
    cold_requests_per_s: float | None = None


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service and its backend servers; only a keyed service is sharded.

    ``shards`` is fixed for the lifetime of a keyed service, and 0 for other services.
    """

    name: str
    keyed: bool
    shards: int
    servers: tuple[BackendServer, ...] = field(default=())
