"""Settings of the failure domains, the host, the platform and the services."""

from typing import Self

from pydantic import Field, model_validator

from ._mistakes import Mistake, MistakesError
from ._values import Address, Name, StrictModel, Url, is_loopback


class DomainSettings(StrictModel):
    """A failure domain and the site (data centre) that it belongs to."""

    name: Name
    site: Name


class HostSettings(StrictModel):
    """The identity of the daemon and the addresses on which it listens.

    ``admin_token_file`` contains one line, the token of the admin port; without it the
    admin port may only listen on a loopback address. A relative path is relative to the
    directory of the settings file.
    """

    id: Name
    domain: Name
    callers_address: Address
    admin_address: Address
    peer_address: Address
    admin_token_file: str | None = None

    @model_validator(mode="after")
    def _check_admin(self) -> Self:
        if self.admin_token_file is None and not is_loopback(self.admin_address):
            raise MistakesError(
                [
                    Mistake(
                        location=("admin_address",),
                        found=f"{self.admin_address} without admin_token_file",
                        expected=(
                            "a loopback address, or admin_token_file: anyone who can"
                            " reach the admin port could move keys"
                        ),
                    )
                ]
            )
        return self


class KnownHost(StrictModel):
    """Another host to connect to while the platform's list of hosts is unavailable.

    A host that starts while its failure domain is disconnected from the platform
    receives rules, table and rights from these hosts. The platform's list replaces them
    as soon as it has been received.
    """

    id: Name
    domain: Name
    peer_address: Address


class PlatformSettings(StrictModel):
    """The URLs of the platform's store and host list, and the timeout of calls."""

    store_url: Url
    hosts_url: Url
    call_timeout_s: float = Field(default=2.0, gt=0, le=30)


class BackendServerSettings(StrictModel):
    """One backend server."""

    id: Name
    domain: Name
    address: Address


class NumberedServers(StrictModel):
    """Backend servers on consecutive ports of one IP number.

    They are assigned to the failure domains in turn.
    """

    count: int = Field(gt=0, le=10_000)
    domains: tuple[Name, ...] = Field(min_length=1)
    ip: str
    first_port: int = Field(gt=0, le=65535)


class ServerCapabilities(StrictModel):
    """What the servers of a service support besides tokens.

    ``checks_giver``: rejects orders of a control holder whose term has ended.
    ``knows_validity``: expires a grant at the end of its validity. ``gives_stamp``:
    returns a reading of its clock, so that a delayed order cannot extend a grant.
    """

    checks_giver: bool = False
    knows_validity: bool = False
    gives_stamp: bool = False


class ServiceSettings(StrictModel):
    """A service and its backend servers.

    ``deadline_cap_ms`` limits the deadline of requests to a keyed service. If a server
    that supports only tokens is lost, its keys are unavailable until the longest
    deadline that was sent for them has passed, so the limit also bounds that time.
    Values up to about 400 ms do not prolong it.
    """

    name: Name
    keyed: bool = False
    shards: int = Field(default=0, ge=0, le=65_536)
    slots: int = Field(gt=0)
    connections: int = Field(gt=0)
    servers: tuple[BackendServerSettings, ...] | NumberedServers
    capabilities: ServerCapabilities = ServerCapabilities()
    deadline_cap_ms: int | None = Field(default=None, gt=0, le=3_600_000)

    @model_validator(mode="after")
    def _check_shards(self) -> Self:
        if self.keyed != (self.shards > 0):
            raise ValueError(
                f"service {self.name}: keyed is {self.keyed} and shards is"
                f" {self.shards}; a keyed service needs shards, others none"
            )
        return self
