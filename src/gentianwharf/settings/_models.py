"""The settings file as validated models; every address is an IP number and a port."""

from ipaddress import ip_address
from typing import Annotated, Self
from urllib.parse import urlsplit

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator


def _check_ip_and_port(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"expected IP:PORT, got {value!r}")
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(
            f"expected an IP number, got {host!r}: host names are not looked up,"
            " write the address"
        ) from None
    return value


def _check_ip_url(value: str) -> str:
    parts = urlsplit(value)
    if parts.scheme != "http" or parts.path not in ("", "/"):
        raise ValueError(f"expected http://IP:PORT, got {value!r}")
    _check_ip_and_port(parts.netloc)
    return value


Address = Annotated[str, AfterValidator(_check_ip_and_port)]
Url = Annotated[str, AfterValidator(_check_ip_url)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class DomainSettings(_Model):
    """A failure domain and the data centre that it stands in."""

    name: Name
    site: Name


class HostSettings(_Model):
    """The daemon itself: who it is and where it listens."""

    id: Name
    domain: Name
    callers_address: Address
    admin_address: Address
    peer_address: Address


class PlatformSettings(_Model):
    """Where the platform's store and host list answer."""

    store_url: Url
    hosts_url: Url


class BackendServerSettings(_Model):
    """One backend server."""

    id: Name
    domain: Name
    address: Address


class NumberedServers(_Model):
    """A run of backend servers on one IP number, dealt over the failure domains."""

    count: int = Field(gt=0, le=10_000)
    domains: tuple[Name, ...] = Field(min_length=1)
    ip: str
    first_port: int = Field(gt=0, le=65535)


class ServiceSettings(_Model):
    """A service and its backend servers."""

    name: Name
    keyed: bool = False
    shards: int = Field(default=0, ge=0, le=65_536)
    slots: int = Field(gt=0)
    connections: int = Field(gt=0)
    servers: tuple[BackendServerSettings, ...] | NumberedServers

    @model_validator(mode="after")
    def _check_shards(self) -> Self:
        if self.keyed != (self.shards > 0):
            raise ValueError(
                f"service {self.name}: keyed is {self.keyed} and shards is"
                f" {self.shards}; a keyed service needs shards, others none"
            )
        return self


class ClassSettings(_Model):
    """A class of requests: how long it may take and how it is weighed."""

    name: Name
    deadline_ms: int = Field(gt=0)
    weight: int = Field(default=1, gt=0)


class Settings(_Model):
    """Everything that one daemon is told."""

    customer: Name
    host: HostSettings
    platform: PlatformSettings
    domains: tuple[DomainSettings, ...] = Field(min_length=1)
    services: tuple[ServiceSettings, ...] = Field(min_length=1)
    classes: tuple[ClassSettings, ...] = Field(min_length=1)
    initial_rules: str | None = None

    @model_validator(mode="after")
    def _check_domains(self) -> Self:
        known = {domain.name for domain in self.domains}
        named = {("host.domain", self.host.domain)}
        for service in self.services:
            servers = service.servers
            if isinstance(servers, NumberedServers):
                named |= {(f"service {service.name}", name) for name in servers.domains}
            else:
                named |= {(f"server {one.id}", one.domain) for one in servers}
        for where, name in sorted(named):
            if name not in known:
                raise ValueError(
                    f"{where}: failure domain {name!r} is not in domains;"
                    f" expected one of {', '.join(sorted(known))}"
                )
        return self
