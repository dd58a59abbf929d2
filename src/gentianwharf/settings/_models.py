"""The settings of a daemon, and the checks that involve several of their parts."""

from collections.abc import Iterator
from typing import Self

from pydantic import Field, model_validator

from ._entities import (
    DomainSettings,
    HostSettings,
    KnownHost,
    NumberedServers,
    PlatformSettings,
    ServiceSettings,
)
from ._mistakes import Mistake, MistakesError, find_duplicates
from ._policy import (
    CallerLimits,
    ClassSettings,
    LogSettings,
    ShutdownSettings,
    WeightSettings,
)
from ._values import Name, StrictModel


class Settings(StrictModel):
    """The settings of one daemon."""

    customer: Name
    host: HostSettings
    platform: PlatformSettings
    domains: tuple[DomainSettings, ...] = Field(min_length=1)
    services: tuple[ServiceSettings, ...] = Field(min_length=1)
    classes: tuple[ClassSettings, ...] = Field(min_length=1)
    known_hosts: tuple[KnownHost, ...] = ()
    initial_rules: str | None = None
    weights: WeightSettings = WeightSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    caller_limits: CallerLimits = CallerLimits()
    log: LogSettings = LogSettings()

    @model_validator(mode="after")
    def _check_consistency(self) -> Self:
        mistakes = [
            *self._unknown_domains(),
            *self._duplicate_names(),
            *self._shutdown_mistakes(),
        ]
        if mistakes:
            raise MistakesError(mistakes)
        return self

    def _unknown_domains(self) -> Iterator[Mistake]:
        known = {domain.name for domain in self.domains}
        for location, name in self._domain_references():
            if name not in known:
                yield Mistake(
                    location=location,
                    found=f"failure domain {name!r}",
                    expected=f"one of domains: {', '.join(sorted(known))}",
                )

    def _domain_references(self) -> Iterator[tuple[tuple[str | int, ...], str]]:
        yield ("host", "domain"), self.host.domain
        for index, host in enumerate(self.known_hosts):
            yield ("known_hosts", index, "domain"), host.domain
        for index, service in enumerate(self.services):
            location = ("services", index, "servers")
            if isinstance(service.servers, NumberedServers):
                for position, name in enumerate(service.servers.domains):
                    yield (*location, "domains", position), name
            else:
                for position, server in enumerate(service.servers):
                    yield (*location, position, "domain"), server.domain

    def _duplicate_names(self) -> Iterator[Mistake]:
        for field in ("domains", "services", "classes"):
            names = [
                ((field, index, "name"), item.name)
                for index, item in enumerate(getattr(self, field))
            ]
            yield from find_duplicates(names, "name")
        yield from find_duplicates(self._server_ids(), "server")

    def _server_ids(self) -> Iterator[tuple[tuple[str | int, ...], str]]:
        for index, service in enumerate(self.services):
            if not isinstance(service.servers, NumberedServers):
                for position, server in enumerate(service.servers):
                    yield ("services", index, "servers", position, "id"), server.id

    def _shutdown_mistakes(self) -> Iterator[Mistake]:
        """Check that a planned shutdown does not interrupt accepted requests.

        With a limit below the balancer's notice plus the longest deadline, the process
        could exit while accepted requests can still be answered in time.
        """
        longest_s = max(item.deadline_ms for item in self.classes) / 1000
        min_limit_s = self.shutdown.balancer_notice_s + longest_s
        if self.shutdown.drain_limit_s < min_limit_s:
            yield Mistake(
                location=("shutdown", "drain_limit_s"),
                found=f"{self.shutdown.drain_limit_s}",
                expected=(
                    f"at least {min_limit_s}, balancer_notice_s and the longest"
                    " deadline_ms of the classes, or a shutdown interrupts requests"
                ),
            )
