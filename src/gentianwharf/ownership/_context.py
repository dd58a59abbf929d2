"""What every system of this package works on: one host's tables and links."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from random import Random
from typing import final

from twisted.internet.interfaces import IReactorTime

from gentianwharf.errors import InputError
from gentianwharf.infra import BackendControl, KeyValueStore
from gentianwharf.placement import PlacementWeights
from gentianwharf.topology import BackendServer, Domain, Host, Service

from ._lag import LoopLag
from ._messages import Item, Message, batches
from ._protocols import Log, PeerLink, SiteOf
from ._ranks import LiveHosts, RankCache
from ._rights import Rights, Witness
from ._tables import Tables
from ._timing import ORDER_TIMEOUT_S


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Context:
    """One host's view, shared by its systems."""

    host: Host
    domains: Mapping[str, Domain]
    services: Mapping[str, Service]
    servers: Mapping[str, BackendServer]
    clock: IReactorTime
    store: KeyValueStore
    prefix: str
    control: BackendControl
    peers: PeerLink
    site_of: SiteOf
    single_key_sites: Callable[[str], Mapping[str, str | None]]
    deadline_caps_s: Mapping[str, float]
    weights: PlacementWeights
    rng: Random
    log: Log
    tables: Tables
    rights: Rights
    witness: Witness
    receive: Callable[[str, Message], None]
    lag: LoopLag
    live: LiveHosts
    ranks: RankCache

    @property
    def now_s(self) -> float:
        """Return this host's monotonic time."""
        return self.clock.seconds()

    @property
    def order_timeout_s(self) -> float:
        """Return how long to wait for a server's answer to an order or a probe."""
        return self.lag.timeout_s(ORDER_TIMEOUT_S)

    def send(self, host: str, message: Message) -> None:
        """Send to a fellow host, or to this one."""
        if host == self.host.id:
            self.clock.callLater(0, self.receive, host, message)
        else:
            self.peers.send(host, message)

    def send_items(self, host: str, items: Iterable[Item]) -> None:
        """Send store values to a host, in as many messages as they need."""
        for batch in batches(items):
            self.send(host, batch)

    def take(self, item: Item) -> bool:
        """Take a value, and say whether it was new.

        One that can't be read is named in the log and left: newer hosts may have
        written it. No host that can't read a version ever confirms it, and the values
        that come with it are not lost.
        """
        try:
            return self.tables.install(item)
        except InputError as error:
            self.log("value-not-read", value=item.key, error=str(error))
            return False

    def live_hosts(self, domain: str) -> tuple[str, ...]:
        """Return the hosts of ``domain`` that have been heard lately."""
        return self.live.of(domain, self.now_s)

    def own_live_hosts(self) -> tuple[str, ...]:
        """Return the live hosts of this host's own domain."""
        return self.live_hosts(self.host.domain)

    def is_among(
        self, name: str, count: int, live: tuple[str, ...] | None = None
    ) -> bool:
        """Whether this host is one of ``count`` of its domain for a job ``name``."""
        if live is None:
            live = self.own_live_hosts()
        return self.host.id in self.ranks.first(name, live, count=count)

    def relative(self, key: str) -> str:
        """Return a store key without the customer's prefix."""
        return key.removeprefix(self.prefix)
