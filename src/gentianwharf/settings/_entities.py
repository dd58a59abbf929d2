"""Settings of what there is: domains, the host itself, the platform, services."""

from typing import Self

from pydantic import Field, model_validator

from ._mistakes import Mistake, MistakesError
from ._values import Address, Name, StrictModel, Url, is_loopback


class DomainSettings(StrictModel):
    """A failure domain and the data centre that it stands in."""

    name: Name
    site: Name


class HostSettings(StrictModel):
    """The daemon itself: who it is and where it listens.

    ``admin_token_file`` holds one line, the token of the admin port; without it the
    admin port may only listen on a loopback address. A relative path counts from the
    settings file.
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
                            "a loopback address, or admin_token_file: whoever reaches"
                            " the admin port could move keys"
                        ),
                    )
                ]
            )
        return self


class KnownHost(StrictModel):
    """A fellow host to talk to before the platform's list has come, or without it.

    A host that starts while its failure domain is cut off from the platform learns
    rules, table and rights from these; the list replaces them once it is there.
    """

    id: Name
    domain: Name
    peer_address: Address


class PlatformSettings(StrictModel):
    """Where the platform's store and host list answer, and for how long to wait."""

    store_url: Url
    hosts_url: Url
    call_timeout_s: float = Field(default=2.0, gt=0, le=30)


class BackendServerSettings(StrictModel):
    """One backend server."""

    id: Name
    domain: Name
    address: Address


class NumberedServers(StrictModel):
    """A run of backend servers on one IP number, dealt over the failure domains."""

    count: int = Field(gt=0, le=10_000)
    domains: tuple[Name, ...] = Field(min_length=1)
    ip: str
    first_port: int = Field(gt=0, le=65535)


class ServerCapabilities(StrictModel):
    """What the servers of a service can do; the weakest knows tokens alone.

    ``checks_giver``: refuses orders of a control holder whose term has passed.
    ``knows_validity``: lets a grant lapse by itself. ``gives_stamp``: gives a reading
    of its own clock, so that a delayed order can't lengthen a grant.
    """

    checks_giver: bool = False
    knows_validity: bool = False
    gives_stamp: bool = False


class ServiceSettings(StrictModel):
    """A service and its backend servers.

    ``deadline_cap_ms`` bounds the deadline of requests to a keyed service. When a
    server that knows tokens alone is lost, its keys stay unserved until the longest
    deadline that was sent for them has passed, so it bounds that time as well; up to
    some 400 ms cost nothing.
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
