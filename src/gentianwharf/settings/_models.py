"""Everything that one daemon is told, and what must fit together in it."""

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
from ._mistakes import Mistake, MistakesError, repeated
from ._policy import (
    CallerLimits,
    ClassSettings,
    LogSettings,
    ShutdownSettings,
    WeightSettings,
)
from ._values import Name, StrictModel


class Settings(StrictModel):
    """Everything that one daemon is told."""

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
    def _check_together(self) -> Self:
        mistakes = [
            *self._unknown_domains(),
            *self._repeated_names(),
            *self._short_shutdown(),
        ]
        if mistakes:
            raise MistakesError(mistakes)
        return self

    def _unknown_domains(self) -> Iterator[Mistake]:
        known = {domain.name for domain in self.domains}
        for location, name in self._named_domains():
            if name not in known:
                yield Mistake(
                    location=location,
                    found=f"failure domain {name!r}",
                    expected=f"one of domains: {', '.join(sorted(known))}",
                )

    def _named_domains(self) -> Iterator[tuple[tuple[str | int, ...], str]]:
        yield ("host", "domain"), self.host.domain
        for number, host in enumerate(self.known_hosts):
            yield ("known_hosts", number, "domain"), host.domain
        for number, service in enumerate(self.services):
            place = ("services", number, "servers")
            if isinstance(service.servers, NumberedServers):
                for position, name in enumerate(service.servers.domains):
                    yield (*place, "domains", position), name
            else:
                for position, server in enumerate(service.servers):
                    yield (*place, position, "domain"), server.domain

    def _repeated_names(self) -> Iterator[Mistake]:
        for field in ("domains", "services", "classes"):
            names = [
                ((field, number, "name"), one.name)
                for number, one in enumerate(getattr(self, field))
            ]
            yield from repeated(names, "name")
        yield from repeated(self._server_ids(), "server")

    def _server_ids(self) -> Iterator[tuple[tuple[str | int, ...], str]]:
        for number, service in enumerate(self.services):
            if not isinstance(service.servers, NumberedServers):
                for position, server in enumerate(service.servers):
                    yield ("services", number, "servers", position, "id"), server.id

    def _short_shutdown(self) -> Iterator[Mistake]:
        """Guard against a planned stop that cuts requests off.

        A limit below the balancer's notice and the longest deadline would end the
        process under requests that were taken and may still be answered in time.
        """
        longest_s = max(one.deadline_ms for one in self.classes) / 1000
        least_s = self.shutdown.balancer_notice_s + longest_s
        if self.shutdown.drain_limit_s < least_s:
            yield Mistake(
                location=("shutdown", "drain_limit_s"),
                found=f"{self.shutdown.drain_limit_s}",
                expected=(
                    f"at least {least_s}, balancer_notice_s and the longest"
                    " deadline_ms of the classes, or a stop cuts requests off"
                ),
            )
