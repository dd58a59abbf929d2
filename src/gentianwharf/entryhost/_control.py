"""What an entry host agrees on with the others: store, leadership, grants, keys."""

from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Any, final

import msgspec
from twisted.internet.defer import Deferred

from gentianwharf.keyspace import (
    GrantManager,
    GrantTiming,
    Leadership,
    ObservedLoad,
    Planner,
    PreviousLeader,
    Span,
)
from gentianwharf.logs import log
from gentianwharf.platform import (
    CONFIG_KEY,
    SERVERS_PREFIX,
    SHARDS,
    HostSettings,
    PlatformStore,
    ServerEntry,
    ServerOrders,
)
from gentianwharf.relay import ServerLoad
from gentianwharf.store import (
    FORWARDING_PACE,
    Events,
    Item,
    Mirror,
    WatchPace,
    default_pace,
)
from gentianwharf.topology import BackendServer

from ._directory import Directory, takes_work
from ._entities import candidate_of, holder_of
from ._former_leader import FormerLeader
from ._host_list import HostList
from ._keys import KeyHolders, ServerOf
from ._messages import KNOWS_NOTHING
from ._peers import Peers
from ._rules import RulesInForce
from ._store_keys import FORMER_KEY, HOSTS_KEY, LEADER_KEY, TABLE_PREFIX
from ._telling import Known

STAND_BACK_S = 4.0
"""For how long a host that could reach few servers leaves the lead to others: about as
long as they need to find out whether they can."""

SMALL_STAND_BACK_S = 0.2
"""How much later a host with hardly any processor asks for the lead.

A leader's work grows with the deployment, and a host of four tenths of a core that led
85 servers had no time to renew their grants. Short beside the lease: where all hosts
are small, one of them leads.
"""

LACKING_S = 1.5
"""After so long a host asks the leader for what it was told of and lacks: its own watch
has been asked anew by then, and should have brought it."""

PROCESS_BITS = 53
"""Of the number that tells a host's process from the one before."""

FIRST_HOSTS = 10
"""How many hosts there are, until the leader tells."""


@final
class Control:
    """One host's part in what all hosts agree on; ``tick`` is due every 50 ms or so."""

    def __init__(
        self,
        *,
        settings: HostSettings,
        server_of: ServerOf,
        reactor: Any,
        rng: Random,
    ) -> None:
        self.on_hosts: Callable[[int], None] = lambda hosts: None
        self.hosts = FIRST_HOSTS
        self.keyed: set[str] = set()
        self._listed_changed = False
        now_s = self._now_s = reactor.seconds
        store = PlatformStore(reactor=reactor, address=settings.store.address)
        self.mirror = Mirror(store=store, prefix="", reactor=reactor, rng=rng)
        self.rules = RulesInForce(now_s=now_s)
        self.directory = Directory(mirror=self.mirror, reactor=reactor)
        self.keys = KeyHolders(server_of=server_of, reactor=reactor)
        self.peers = Peers(
            host=settings.name,
            address=f"{settings.ip}:{settings.first_internal_port}",
            link_bytes_per_s=settings.link_bytes_per_s,
            reactor=reactor,
            process=rng.getrandbits(PROCESS_BITS),
        )
        self.leadership = Leadership(
            store=store,
            key=LEADER_KEY,
            previous_leader_key=FORMER_KEY,
            value=msgspec.json.encode(self.peers.name),
            now_s=now_s,
            rng=rng,
            campaign_delay_s=SMALL_STAND_BACK_S * max(0.0, 1.0 - settings.cores),
        )
        timing = GrantTiming(longest_grant_s=settings.agreements.longest_grant_s)
        self._keeper = GrantManager(
            orders=ServerOrders(reactor=reactor), timing=timing, now_s=now_s
        )
        self._former = FormerLeader(
            name=self.peers.name,
            keeper=self._keeper,
            leadership=self.leadership,
            timing=timing,
            reactor=reactor,
        )
        self._planner = Planner(
            store=store,
            leadership=self.leadership,
            leader_key=LEADER_KEY,
            table_prefix=TABLE_PREFIX,
            grant_manager=self._keeper,
            shards=SHARDS,
            now_s=now_s,
        )
        self._host_list = HostList(
            store=store,
            leadership=self.leadership,
            roster=self.peers.roster,
            now_s=now_s,
        )
        self._connect_store()
        self._connect_peers()

    def _connect_store(self) -> None:
        self.mirror.add_listener(self._note_item)
        self.mirror.on_read = self._note_read
        self.mirror.on_events = self.peers.tell_events
        self.mirror.receives_changes = self.peers.is_fed
        self.mirror.forwards_changes = lambda: self.leadership.leads
        self.mirror.pace = self._pace
        self.leadership.on_gained = self._begin_to_lead
        self.leadership.on_lost = self._cease_to_lead
        self._keeper.on_granted = self._note_granted
        self._planner.on_table = self.keys.take
        self._planner.on_isolated = self._step_aside
        self._planner.on_previous_leader = self._former.ask

    def _connect_peers(self) -> None:
        peers = self.peers
        peers.on_requests = self._note_requests
        peers.on_load = self._note_load
        peers.on_granted = self._note_told_granted
        peers.on_events = self._note_events
        peers.on_hosts = self._note_hosts
        peers.known = self._known
        peers.item = self.mirror.items.get
        peers.lacks_after = self._lacks_after
        peers.changes_after = self.mirror.changes_after
        peers.page = self.mirror.page
        peers.on_page = self.mirror.apply_forwarded_page
        peers.on_superseded = self.leadership.step_down
        peers.on_asked = self._former.note_asked
        peers.on_told = self._former.note_told
        self.keys.on_request = peers.seen.note_request
        self.keys.hears_leader = peers.hears_leader

    def start(self) -> None:
        """Begin to follow the store, and to hear other hosts."""
        self.peers.start()
        self.mirror.start()

    def stop(self) -> None:
        """Follow nothing any more."""
        self.mirror.stop()
        self.peers.stop()
        self._former.stop()

    def tick(self) -> None:
        """Do what is due."""
        self._note_listed()
        self.leadership.tick()
        self._planner.tick()
        self._keeper.tick()
        self._former.tick()
        self.peers.tick()
        self._host_list.tick()

    def resign(self, stand_back_s: float) -> None:
        """Let another host lead, and do not ask for it for a while."""
        held_s = self._keeper.holders.held_s()
        done = Deferred.fromCoroutine(
            self.leadership.resign(held_s, campaign_pause_s=stand_back_s)
        )
        done.addErrback(lambda failure: log.error(failure.getTraceback()))

    def divide(self, warm_ups_s: Mapping[str, float]) -> None:
        """Follow which services are divided by key, and how long shards warm up."""
        self.keyed.update(warm_ups_s)
        self._planner.set_services(warm_ups_s)

    def note_servers(self, service: str) -> None:
        """Follow a change in the directory of a service's servers."""
        self._listed_changed = True
        if service in self.keyed:
            # One in doubt keeps its keys until it is sure that it is gone.
            self._set_candidates(service, self.directory.entries(service))
            self.keys.wake(service)

    def _note_listed(self) -> None:
        """Tell the keeper of all servers, once for all changes since the last tick.

        Told at each change of each service, 1,219 services with a server each held a
        host for 4.3 s when their configuration came.
        """
        if self._listed_changed:
            self._listed_changed = False
            self._keeper.note_listed(holder_of(one) for one in self.directory.all())

    def _set_candidates(self, service: str, listed: Iterable[ServerEntry]) -> None:
        candidates = [candidate_of(one) for one in listed if takes_work(one)]
        self._planner.set_candidates(service, candidates)

    # What this host sees of servers.

    def note_server_load(
        self, server: BackendServer, load: ServerLoad, elapsed_s: float | None
    ) -> None:
        """Report what a server said of its load."""
        if server.service in self.keyed:
            self.peers.seen.note_load(server, load, elapsed_s)

    def note_unanswered(self, server: BackendServer) -> None:
        """Report that a server left a request without an answer."""
        if server.service in self.keyed:
            self.peers.seen.note_unanswered(server)

    # What the store says.

    def _note_item(self, key: str, item: Item | None) -> None:
        if key == CONFIG_KEY:
            self.rules.note_item(item)
        elif key.startswith(SERVERS_PREFIX):
            self.directory.note_item(key, item)
        elif key == LEADER_KEY:
            self.peers.follow(item)
            self.leadership.note_item(item)
        elif key == HOSTS_KEY:
            self._host_list.note_item(item)
        elif key == FORMER_KEY:
            self.leadership.note_previous_leader(item)
        elif key.startswith(TABLE_PREFIX) and item is not None:
            self._planner.note_table(item)

    def _note_read(self) -> None:
        self.peers.forget_told()
        if LEADER_KEY not in self.mirror.items:
            self.leadership.note_item(None)

    def _known(self) -> Known | None:
        """Return up to where this host knows the store, None if it may not lead."""
        mirror = self.mirror
        is_sure = mirror.is_current and mirror.silent_s() == 0
        if not is_sure or not self.leadership.holds_lease():
            return None
        age_s = self._now_s() - mirror.last_contact_s
        return Known(revision=mirror.revision, age_s=age_s)

    def _lacks_after(self) -> int | None:
        mirror = self.mirror
        if not mirror.is_current:
            return KNOWS_NOTHING if mirror.silent_s() > LACKING_S else None
        # One that the store turns away has nobody else to ask.
        patience_s = 0.0 if mirror.silent_s() else LACKING_S
        return mirror.revision if mirror.behind_s() > patience_s else None

    def _pace(self) -> WatchPace:
        return FORWARDING_PACE if self.leadership.leads else default_pace(self.hosts)

    # What other hosts say.

    def _note_events(self, after_revision: int, events: Events) -> None:
        self.mirror.apply_forwarded(events, after_revision=after_revision)

    def _note_told_granted(
        self, service: str, first: int, last: int, token: int
    ) -> None:
        # Its first shard and its token name a span.
        self.keys.open(service, first, token)

    def _note_hosts(self, hosts: int) -> None:
        if hosts != self.hosts:
            self.hosts = hosts
            self.on_hosts(hosts)

    def _note_requests(self, service: str, counts: Mapping[int, float]) -> None:
        demand = self._planner.demand(service)
        if demand is not None:
            demand.note_requests(counts)

    def _note_load(self, service: str, server_id: str, seen: ObservedLoad) -> None:
        demand = self._planner.demand(service)
        if demand is not None:
            demand.note_load(server_id, seen)

    # While this host leads.

    def _begin_to_lead(self, former: PreviousLeader | None) -> None:
        term = self.leadership.term
        assert term is not None, "a host that leads has a term"
        self.peers.begin_to_lead(term.revision)
        self._planner.note_gained(former)

    def _cease_to_lead(self) -> None:
        self.peers.cease_to_lead()
        self._keeper.stop()

    def _note_granted(self, service: str, span: Span) -> None:
        self.keys.open(service, span.first, span.token)
        self.peers.tell_granted(service, span)

    def _step_aside(self) -> None:
        if self.hosts > 1 and self.leadership.term is not None:
            log.warning("most servers can't be reached from here: no longer leading")
            self.resign(STAND_BACK_S)
