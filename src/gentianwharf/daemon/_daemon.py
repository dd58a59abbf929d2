"""The daemon's parts, put together."""

from pathlib import Path
from random import SystemRandom
from typing import Any

from gentianwharf.errors import InputError
from gentianwharf.relay import Answered, CallerSite, RelayApp, ServerConnections
from gentianwharf.rules import RuleSet
from gentianwharf.settings import Settings, load_rules, services_of

from ._direct import FixedOwnership, LeastOutstanding
from ._embedded import listen


class _Silent:
    def answered(self, answered: Answered) -> None:
        """Record nothing."""


class Daemon:
    """One daemon: callers' port, deciding parts, connections to servers."""

    def __init__(self, *, settings: Settings, directory: Path, reactor: Any) -> None:
        self._settings = settings
        self._reactor = reactor
        services = {service.name: service for service in services_of(settings)}
        if settings.initial_rules is None:
            raise InputError(
                "initial_rules is missing: expected the name of a rule file",
                step="start",
                peer=str(directory),
            )
        rules = RuleSet(
            document=load_rules(directory / settings.initial_rules),
            revision=1,
            shards={name: service.shards for name, service in services.items()},
        )
        self.relay = RelayApp(
            rules=rules,
            ownership=FixedOwnership(services=services),
            admission=LeastOutstanding(services=services),
            connections={
                server.id: ServerConnections(
                    server=server, reactor=reactor, most=server.connections
                )
                for service in services.values()
                for server in service.servers
            },
            observer=_Silent(),
            deadlines_ms={one.name: one.deadline_ms for one in settings.classes},
            keyed=frozenset(name for name, one in services.items() if one.keyed),
            reactor=reactor,
            rng=SystemRandom(),
        )

    def start(self) -> None:
        """Listen for callers."""
        site = CallerSite(resource=self.relay.klein.resource(), reactor=self._reactor)
        site.noisy = False
        listen(self._reactor, self._settings.host.callers_address, site)
