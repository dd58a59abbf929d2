"""The state that all hosts share: store, leadership, grants and key tables."""

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any, final

import msgspec
from twisted.internet.defer import Deferred

from gentianwharf.dispatch import DispatchHost
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
    ServerOrders,
    evacuated_domain,
    probe_interval_s,
)
from gentianwharf.relay import ServerLoad, ServerNotice
from gentianwharf.store import (
    FORWARDING_PACE,
    Events,
    Item,
    Mirror,
    WatchPace,
    default_pace,
)
from gentianwharf.topology import BackendServer

from ._broadcaster import StorePosition
from ._campaign_delay import slow_link_delay_s, small_host_delay_s
from ._conversions import dispatch_host_of
from ._directory import Directory
from ._fleet_notices import FleetNotices
from ._host_list import HostList
from ._keys import KeyHolders, ServerLookup
from ._peer_messages import NO_REVISION, HostAddress, Notices
from ._peers import Peers
from ._previous_leader import RemainingGrantsExchange
from ._rules import RulesInForce
from ._server_speeds import ServerSpeeds
from ._shard_candidates import ShardCandidates
from ._store_keys import (
    HOSTS_KEY,
    LEADER_KEY,
    PREVIOUS_LEADER_KEY,
    TABLE_PREFIX,
    TUNNEL_SECRET_KEY,
)
from ._table_announcements import TableAnnouncements
from ._tunnel_secret import TunnelSecret

ISOLATED_CAMPAIGN_PAUSE_S = 4.0
"""How long a host that reached too few servers leaves leadership to others: about the
time that other hosts need to find out whether they reach more."""

CUT_OFF_CAMPAIGN_DELAY_S = 1.0
"""Additional delay before a host without links to servers tries to lead. It could grant
nothing; but one that tells the others of changes is better than none."""

MISSING_CHANGES_S = 1.5
"""How long changes may be missing before a host requests them from the leader. Within
this time its own watch has been repeated and should have returned them."""

MAX_OUTDATED_SHARE = 0.5
"""Share of the agreed rules delay. A host that has known of newer rules for this long
without receiving them refuses requests."""

INCARNATION_BITS = 53
"""Size of the random number that distinguishes successive processes of a host."""

INITIAL_HOST_COUNT = 10
"""Assumed number of hosts until the leader sends it."""


@final
class Coordinator:
    """The state that hosts share; ``tick`` is called about every 50 ms."""

    def __init__(
        self,
        *,
        settings: HostSettings,
        server_by_id: ServerLookup,
        reactor: Any,
        rng: Random,
    ) -> None:
        self.on_host_count: Callable[[int], None] = lambda host_count: None
        self.on_hosts: Callable[[Sequence[str]], None] = lambda names: None
        self.on_dispatch_hosts: Callable[[Sequence[DispatchHost]], None] = (
            lambda hosts: None
        )
        self.on_listed: Callable[[Sequence[HostAddress]], None] = lambda hosts: None
        self.on_notices: Callable[[Notices], None] = lambda notices: None
        self.is_cut_off: Callable[[], bool] = lambda: False
        self.host_count = INITIAL_HOST_COUNT
        self._link_bytes_per_s = settings.link_bytes_per_s
        now_s = self._now_s = reactor.seconds
        store = PlatformStore(reactor=reactor, address=settings.store.address)
        self.store = store
        self.mirror = Mirror(store=store, prefix="", reactor=reactor, rng=rng)
        self.rules = RulesInForce(
            now_s=now_s,
            max_lacking_s=settings.agreements.rules_delay_s * MAX_OUTDATED_SHARE,
        )
        self.directory = Directory(mirror=self.mirror, reactor=reactor)
        self.keys = KeyHolders(server_by_id=server_by_id, reactor=reactor, rng=rng)
        self.peers = Peers(
            host=settings.name,
            address=f"{settings.ip}:{settings.first_internal_port}",
            link_bytes_per_s=settings.link_bytes_per_s,
            reactor=reactor,
            incarnation=rng.getrandbits(INCARNATION_BITS),
            domain=settings.domain,
            cores=settings.cores,
        )
        self.leadership = Leadership(
            store=store,
            key=LEADER_KEY,
            previous_leader_key=PREVIOUS_LEADER_KEY,
            value=msgspec.json.encode(self.peers.identity),
            now_s=now_s,
            rng=rng,
            campaign_delay_s=small_host_delay_s(settings.cores),
        )
        timing = GrantTiming(
            longest_grant_s=settings.agreements.longest_grant_s, cores=settings.cores
        )
        self._grant_manager = GrantManager(
            orders=ServerOrders(reactor=reactor), timing=timing, now_s=now_s
        )
        self._announcements = TableAnnouncements(
            peers=self.peers, grant_manager=self._grant_manager, reactor=reactor
        )
        self._grants_exchange = RemainingGrantsExchange(
            identity=self.peers.identity,
            grant_manager=self._grant_manager,
            leadership=self.leadership,
            timing=timing,
            reactor=reactor,
        )
        self._planner = Planner(
            store=store,
            leadership=self.leadership,
            leader_key=LEADER_KEY,
            table_prefix=TABLE_PREFIX,
            grant_manager=self._grant_manager,
            shards=SHARDS,
            now_s=now_s,
        )
        self.placement_of = self._planner.snapshot
        self._candidates = ShardCandidates(
            directory=self.directory,
            planner=self._planner,
            grant_manager=self._grant_manager,
            configuration=lambda: self.rules.configuration,
        )
        self.keyed = self._candidates.keyed
        self._host_list = HostList(
            store=store,
            leadership=self.leadership,
            membership=self.peers.membership,
            now_s=now_s,
        )
        self.tunnel_secret = TunnelSecret(
            store=store,
            leadership=self.leadership,
            is_copy_complete=lambda: self.mirror.is_current,
            now_s=now_s,
        )
        self._server_speeds = ServerSpeeds(now_s=now_s)
        self._fleet_notices = FleetNotices(now_s=now_s)
        self._connect_store()
        self._connect_peers()

    def _connect_store(self) -> None:
        self.leadership.handicap_s = self._campaign_handicap_s
        self.mirror.add_listener(self._note_item)
        self.mirror.on_read = self._on_store_read
        self.mirror.on_events = self._forward
        self.mirror.receives_changes = self.peers.receives_changes
        self.mirror.forwards_changes = lambda: self.leadership.leads
        self.mirror.pace = self._pace
        self.leadership.on_gained = self._start_leading
        self.leadership.on_lost = self._stop_leading
        self._grant_manager.on_granted = self._note_granted
        self._planner.limits_per_s = self._fleet_notices.limits_per_s
        self._planner.on_table = self.keys.set_table
        self._planner.on_isolated = self.resign_isolated
        self._planner.on_previous_leader = self._grants_exchange.request_grants

    def _connect_peers(self) -> None:
        peers, mirror = self.peers, self.mirror
        peers.on_requests = self._add_requests
        peers.on_load = self._add_load
        peers.on_reported_notices = self._add_notices
        peers.on_notices = self._apply_notices
        # The first shard and the token identify a span.
        peers.on_granted = lambda service, first, last, token: self.keys.note_granted(
            service, first, token
        )
        peers.on_events = lambda after_revision, events: mirror.apply_forwarded(
            events, after_revision=after_revision
        )
        peers.on_host_count = self._set_host_count
        peers.store_position = self._store_position
        peers.stored_item = mirror.items.get
        peers.missing_after = self._missing_after
        peers.stored_revision = lambda: mirror.revision if mirror.is_current else None
        peers.changes_after = mirror.changes_after
        peers.page = mirror.page
        peers.granted_moves = self._grant_manager.granted_moves
        peers.rules_revision = lambda: self.rules.newest.revision
        peers.received_rules = lambda: self.rules.newest.received_revision
        peers.on_rules_stated = self.rules.newest.note_stated
        self.rules.leader_revision = lambda: peers.followed_revision
        peers.on_page = mirror.apply_forwarded_page
        peers.on_superseded = self.leadership.step_down
        peers.on_grants_request = self._grants_exchange.handle_request
        peers.on_grants_response = self._grants_exchange.handle_response
        self.keys.on_request = peers.observed.note_request
        self.keys.receives_updates = peers.receives_updates

    def _campaign_handicap_s(self) -> float:
        cut_off_s = CUT_OFF_CAMPAIGN_DELAY_S if self.is_cut_off() else 0.0
        membership = self.peers.membership
        return cut_off_s + slow_link_delay_s(self._link_bytes_per_s, membership.listed)

    def start(self) -> None:
        """Start to follow the store, and to listen for other hosts."""
        self.peers.start()
        self.mirror.start()

    def stop(self) -> None:
        """Stop following the store, and close all links."""
        self.mirror.stop()
        self.peers.stop()
        self._grants_exchange.stop()

    def tick(self) -> None:
        """Run all periodic work."""
        self._grant_manager.holders.note_tick()
        self._candidates.tick()
        self.leadership.tick()
        self._planner.tick()
        self._grant_manager.tick()
        self._grants_exchange.tick()
        self.peers.tick()
        self._host_list.tick()
        self.tunnel_secret.tick()
        self._broadcast()

    def resign(self, campaign_pause_s: float) -> None:
        """Give up leadership, and do not try to regain it for ``campaign_pause_s``."""
        held_s = self._grant_manager.holders.held_s
        resigning = self.leadership.resign(held_s, campaign_pause_s=campaign_pause_s)
        done = Deferred.fromCoroutine(resigning)
        done.addErrback(lambda failure: log.error(failure.getTraceback()))

    def set_keyed_services(self, warm_ups_s: Mapping[str, float]) -> None:
        """Set the services divided by key, and the warm-up time of their shards."""
        self._candidates.set_keyed_services(warm_ups_s)

    def note_servers(self, service: str) -> None:
        """Apply a change of a service's servers."""
        self._candidates.note_servers(service)
        if service in self.keyed:
            self.keys.wake(service)

    # Observations of servers by this host.

    def note_server_load(
        self, server: BackendServer, load: ServerLoad, elapsed_s: float | None
    ) -> None:
        """Add a server's load to the next report."""
        # Servers that report their slowdown are chosen by their speeds as well.
        if server.service in self.keyed or load.slowdown is not None:
            self.peers.observed.note_load(server, load, elapsed_s)

    def note_notice(self, server: BackendServer, notice: ServerNotice) -> None:
        """Apply what a server stated in an answer, and add it to the next report."""
        self.peers.observed.note_notice(server, notice)
        if notice.is_leaving:
            self.directory.set_leaving(server.id)

    def note_unanswered(self, server: BackendServer) -> None:
        """Add to the next report that a server did not answer a request."""
        if server.service in self.keyed:
            self.peers.observed.note_unanswered(server)

    # Changes of the store.

    def _note_item(self, key: str, item: Item | None) -> None:
        if key == CONFIG_KEY:
            self.rules.note_item(item)
        elif key.startswith(SERVERS_PREFIX):
            self.directory.note_item(key, item)
        elif (domain := evacuated_domain(key)) is not None:
            self.directory.set_evacuated(domain, item is not None)
        elif key == LEADER_KEY:
            self.peers.follow(item)
            self.leadership.note_item(item)
        elif key == HOSTS_KEY:
            self._host_list.note_item(item)
            self.on_hosts(self._host_list.names())
            self.on_dispatch_hosts([*map(dispatch_host_of, self._host_list.listed())])
            self.on_listed(self._host_list.listed())
        elif key == TUNNEL_SECRET_KEY:
            self.tunnel_secret.note_item(item)
        elif key == PREVIOUS_LEADER_KEY:
            self.leadership.note_previous_leader(item)
        elif key.startswith(TABLE_PREFIX) and item is not None:
            self._planner.note_table(item)

    def _forward(self, after_revision: int, events: Events) -> None:
        """Send changes of the store to all hosts if this host is the leader."""
        for change in events.changes:
            if change.key == CONFIG_KEY and isinstance(change, Item):
                self.rules.newest.note_stated(change.revision)
                self.peers.announce_rules()
        self._announcements.forward(after_revision, events)

    def _on_store_read(self) -> None:
        self.peers.reset_deltas()
        if LEADER_KEY not in self.mirror.items:
            self.leadership.note_item(None)

    def _store_position(self) -> StorePosition | None:
        """Return the position in the store, or None if this host may not lead."""
        mirror = self.mirror
        is_complete = mirror.is_current and mirror.silent_s() == 0
        if not is_complete or not self.leadership.holds_lease():
            return None
        age_s = self._now_s() - mirror.complete_until_s
        return StorePosition(revision=mirror.revision, age_s=age_s)

    def _missing_after(self) -> int | None:
        mirror = self.mirror
        if not mirror.is_current:
            return NO_REVISION if mirror.silent_s() > MISSING_CHANGES_S else None
        # A host whose requests the store refuses has no other source.
        wait_s = 0.0 if mirror.silent_s() else MISSING_CHANGES_S
        return mirror.revision if mirror.behind_s() > wait_s else None

    def _pace(self) -> WatchPace:
        return (
            FORWARDING_PACE if self.leadership.leads else default_pace(self.host_count)
        )

    # Messages of other hosts.

    def _set_host_count(self, host_count: int) -> None:
        if host_count != self.host_count:
            self.host_count = host_count
            self.store.set_probe_interval_s(probe_interval_s(host_count))
            self.on_host_count(host_count)

    def _add_requests(self, service: str, counts: Mapping[int, float]) -> None:
        demand = self._planner.demand(service)
        if demand is not None:
            demand.note_requests(counts)

    def _add_load(self, service: str, server_id: str, load: ObservedLoad) -> None:
        demand = self._planner.demand(service)
        if demand is not None:
            demand.note_load(server_id, load)
        else:
            self._server_speeds.note_load(service, server_id, load)

    def _apply_notices(self, notices: Notices) -> None:
        for server_id, report in notices.items():
            if report.is_leaving:
                self.directory.set_leaving(server_id)
        self.on_notices(notices)

    def _add_notices(self, notices: Notices) -> None:
        for server_id, report in notices.items():
            self._fleet_notices.note(server_id, report)

    # Work of the leader.

    def _broadcast(self) -> None:
        if self.leadership.leads:
            self.peers.broadcast_speeds(self._server_speeds.due())
            self.peers.broadcast_notices(self._fleet_notices.due())

    def _start_leading(self, previous: PreviousLeader | None) -> None:
        term = self.leadership.term
        assert term is not None, "a leading host has a term"
        self.peers.start_leading(term.revision)
        self._planner.note_gained(previous)

    def _stop_leading(self) -> None:
        self.peers.stop_leading()
        self._grant_manager.stop()

    def _note_granted(self, service: str, span: Span) -> None:
        self.keys.note_granted(service, span.first, span.token)
        self.peers.broadcast_grant(service, span)

    def resign_isolated(self) -> None:
        """Give up leadership, because this host reaches too few servers to lead."""
        if self.host_count > 1 and self.leadership.term is not None:
            log.warning(
                "most servers are unreachable from this host: no longer leading"
            )
            self.resign(ISOLATED_CAMPAIGN_PAUSE_S)
