"""The facade of key ownership that the daemon calls."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from typing import final

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from gentianwharf.errors import GentianwharfError
from gentianwharf.infra import BackendControl, KeyValueStore
from gentianwharf.keys import shard_of
from gentianwharf.placement import PlacementWeights
from gentianwharf.topology import Domain, Host, Service

from ._announcer import ROUND_BITS, Announcer
from ._asking import Asking
from ._context import Context
from ._deadlines import Allowances, DeadlineAsker, DeadlineMemory
from ._evidence import OwnEvidence, Suspicions
from ._fanout import Fanout
from ._lag import LoopLag
from ._messages import (
    Acknowledge,
    Announce,
    ControlAlive,
    DeadlineAnswer,
    DeadlineAsk,
    Items,
    Leaving,
    Loads,
    Message,
    MoveRequest,
    Probe,
    Pull,
    RecoverAnswer,
    RecoverAsk,
    RightAnswer,
    RightAsk,
    ShareAnswer,
    ShareAsk,
    Suspect,
    VersionsWanted,
)
from ._move import MoveState
from ._protocols import Log, PeerLink, SingleKeySites, SiteOf
from ._ranks import LiveHosts, RankCache
from ._reader import Reader
from ._renewal import Renewal
from ._requests import OperatorRequests, RequestOutcome
from ._rights import Rights, Witness
from ._route import Route, Router
from ._service_control import ServiceControl
from ._tables import Tables
from ._witness_list import WitnessListKeeper, declare_lost
from ._witnessing import Witnessing


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Assignment:
    """The owner of a key according to this host's copy of the tables."""

    service: str
    shard: int
    owner: str
    token: int
    state: str
    target: str


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipState:
    """The ownership state that the admin port shows."""

    has_read_store: bool
    is_witness: bool
    has_memory: bool
    right_left_s: Mapping[str, float]
    versions: Mapping[str, int]
    holders: Mapping[str, str | None]
    controls: tuple[str, ...]
    moving: int


@final
class OwnershipSystem:
    """Rights, grants and moves of one host; every host runs one.

    ``clock`` must be monotonic. ``rng`` must have a new seed at each start, since
    the witness's incarnation number is drawn from it. ``deadline_caps_s`` gives the
    longest deadline of a request for each keyed service, in seconds.
    """

    def __init__(
        self,
        *,
        host: Host,
        domains: Sequence[Domain],
        services: Sequence[Service],
        clock: IReactorTime,
        store: KeyValueStore,
        prefix: str,
        servers: BackendControl,
        peers: PeerLink,
        site_of: SiteOf,
        deadline_caps_s: Mapping[str, float],
        rng: Random,
        log: Log,
        weights: PlacementWeights | None = None,
        single_key_sites: SingleKeySites = lambda service: {},
    ) -> None:
        keyed = {service.name: service for service in services if service.keyed}
        tables = Tables(shards={name: svc.shards for name, svc in keyed.items()})
        witness = Witness(
            host=host.id, domain=host.domain, incarnation=rng.getrandbits(63)
        )
        self._context = context = Context(
            host=host,
            domains={domain.name: domain for domain in domains},
            services=keyed,
            servers={
                server.id: server for svc in keyed.values() for server in svc.servers
            },
            clock=clock,
            store=store,
            prefix=prefix,
            control=servers,
            peers=peers,
            site_of=site_of,
            single_key_sites=single_key_sites,
            deadline_caps_s=dict(deadline_caps_s),
            weights=weights or PlacementWeights(),
            rng=rng,
            log=log,
            tables=tables,
            rights=Rights(first_round=rng.getrandbits(ROUND_BITS)),
            witness=witness,
            receive=self.received,
            lag=LoopLag(),
            live=LiveHosts(peers=peers),
            ranks=RankCache(),
        )
        self._evidence = OwnEvidence()
        self._suspicions = Suspicions()
        self._announcer = Announcer(context=context)
        self._witnessing = Witnessing(context=context)
        self._asking = Asking(context=context)
        self._fanout = Fanout(context=context)
        self._reader = Reader(context=context, fanout=self._fanout)
        self._witness_list = WitnessListKeeper(
            context=context, announcer=self._announcer, fanout=self._fanout
        )
        self._deadline_memory = DeadlineMemory(context=context)
        self._deadline_asker = DeadlineAsker(context=context)
        self._controls = {
            name: ServiceControl(
                context=context,
                service=service,
                announcer=self._announcer,
                fanout=self._fanout,
                suspicions=self._suspicions,
                asker=self._deadline_asker,
            )
            for name, service in keyed.items()
        }
        self._renewal = Renewal(
            context=context,
            evidence=self._evidence,
            told_of=lambda service: self._controls[service].suspicion_recipients(),
        )
        self._requests = OperatorRequests(
            context=context, holder_of=lambda service: self._controls[service].holder
        )
        self._router = Router(
            tables=tables,
            rights=context.rights,
            servers=context.servers,
            allowances=Allowances(context=context, asker=self._deadline_asker),
            deadline_caps_s=context.deadline_caps_s,
            sent={name: control.sent for name, control in self._controls.items()},
        )
        self._handlers = self._build_handlers()
        self._is_stopping = False

    def _build_handlers(self) -> dict[type, Callable[..., None]]:
        witnessing = self._witnessing
        return {
            RightAsk: witnessing.asked,
            RightAnswer: witnessing.answered,
            ShareAsk: witnessing.share_asked,
            ShareAnswer: self._asking.share_answered,
            VersionsWanted: witnessing.versions_wanted,
            Announce: witnessing.announced,
            RecoverAsk: witnessing.recovery_asked,
            RecoverAnswer: witnessing.recovery_answered,
            Acknowledge: self._handle_acknowledge,
            Items: self._handle_items,
            Pull: self._handle_pull,
            ControlAlive: self._handle_control_alive,
            DeadlineAsk: self._deadline_memory.asked,
            DeadlineAnswer: self._deadline_asker.hear,
            Probe: self._handle_probe,
            Suspect: self._handle_suspect,
            Leaving: self._handle_leaving,
            Loads: self._handle_loads,
            MoveRequest: self._handle_move_request,
        }

    def tick(self) -> None:
        """Run the periodic work once; must be called every ``TICK_S``."""
        self._context.lag.note_tick(self._context.now_s)
        self._reader.tick()
        self._witnessing.tick()
        self._asking.tick()
        self._deadline_memory.tick()
        self._witness_list.tick(has_read=self._reader.has_read)
        self._renewal.tick()
        self._announcer.tick()
        self._requests.tick()
        if not self._is_stopping:
            for control in self._controls.values():
                control.tick()

    def received(self, host: str, message: Message) -> None:
        """Handle a message from another entry host."""
        self._handlers[type(message)](host, message)

    def route(
        self,
        service: str,
        shard: int,
        key: str | None = None,
        *,
        deadline_s: float | None = None,
    ) -> Route:
        """Decide where a request for a keyed service is sent.

        ``deadline_s`` is the request's deadline on this host's clock: the request is
        held until a deadline that long may be sent. Without one, ``Send`` carries the
        longest deadline that is allowed at once.
        """
        return self._router.route(
            service, shard, key, self._context.now_s, deadline_s=deadline_s
        )

    def refused_not_owner(self, service: str, shard: int, token: int) -> None:
        """Record that a server refused a request because it does not own the shard."""
        self._router.block(service, shard, token, self._context.now_s)

    def answered(self, server: str, *, ok: bool, busy_s: float | None = None) -> None:
        """Record whether a request to ``server`` was answered.

        ``busy_s`` is the time that the server spent on a request that it executed.
        """
        if server not in self._context.servers:
            return
        if busy_s is not None:
            service = self._context.servers[server].service
            self._controls[service].sent.answered(busy_s)
        if self._evidence.note(server, answered=ok):
            self._renewal.probe(self._context.servers[server])

    def set_leaving(self, servers: Iterable[str]) -> None:
        """Set the servers that the platform or an operator lists as leaving."""
        leaving = set(servers)
        for name, control in self._controls.items():
            server_ids = {server.id for server in self._context.services[name].servers}
            control.plans.listed_leaving = leaving & server_ids

    async def declare_lost(self, domain: str, *, lost: bool = True) -> None:
        """Write an operator's declaration that a failure domain is lost or restored.

        The keys of a lost domain move without the consent of its hosts. If one of
        these hosts were running but partitioned, it would go on sending to its
        servers, and keys would have two owners.
        """
        await declare_lost(self._context, self._fanout, domain, lost=lost)

    def move(self, service: str, shard: int, server: str) -> Deferred[RequestOutcome]:
        """Ask the control holder to move a shard; fires once the move is stored.

        Raises ``InputError`` and ``RefusedError`` synchronously.
        """
        return self._requests.ask(
            MoveRequest(service=service, shard=shard, server=server)
        )

    def pin(self, service: str, key: str, server: str) -> Deferred[RequestOutcome]:
        """Ask for a separate entry for ``key`` at ``server``; "" removes the entry."""
        keyed = self._context.services.get(service)
        shard = shard_of(key, keyed.shards) if keyed is not None else 0
        return self._requests.ask(
            MoveRequest(service=service, shard=shard, server=server, key=key)
        )

    def _handle_acknowledge(self, host: str, message: Acknowledge) -> None:
        self._announcer.handle_acknowledge(host, message)
        for control in self._controls.values():
            control.mover.tick_soon()

    def _handle_items(self, host: str, message: Items) -> None:
        new = [item for item in message.items if self._context.install(item)]
        self._fanout.forward_items(new)

    def _handle_pull(self, host: str, message: Pull) -> None:
        newer = self._context.tables.newer_than(message.versions)
        self._context.send_items(host, newer)

    def _handle_control_alive(self, host: str, message: ControlAlive) -> None:
        control = self._controls.get(message.service)
        if control is not None:
            control.handle_alive(message)

    def _handle_probe(self, host: str, message: Probe) -> None:
        server = self._context.servers.get(message.server)
        if server is not None:
            self._renewal.probe(server, asker=message.control, is_second=True)

    def _handle_suspect(self, host: str, message: Suspect) -> None:
        self._suspicions.record(host, message.server, self._context.now_s)
        server = self._context.servers.get(message.server)
        if server is not None:
            self._controls[server.service].tick_soon()

    def _handle_leaving(self, host: str, message: Leaving) -> None:
        server = self._context.servers.get(message.server)
        if server is not None:
            self._controls[server.service].plans.said_leaving(server.id)

    def _handle_loads(self, host: str, message: Loads) -> None:
        control = self._controls.get(message.service)
        if control is not None:
            control.plans.loads.hear(message, self._context.now_s)

    def _handle_move_request(self, host: str, message: MoveRequest) -> None:
        control = self._controls.get(message.service)
        if control is not None and control.lease.is_held:
            control.plans.request(message)

    def owner(self, service: str, shard: int, key: str | None = None) -> Assignment:
        """Return the owner of a key according to this host's tables."""
        tables = self._context.tables
        number = tables.shard_for(service, shard, key)
        entry = tables.entry(service, number)
        return Assignment(
            service=service,
            shard=number,
            owner=entry.owner if entry else "",
            token=entry.token if entry else 0,
            state=entry.state.name.lower() if entry else "unknown",
            target=entry.target if entry else "",
        )

    def count_shards(self, server: str) -> int:
        """Return how many shards ``server`` owns according to this host's tables."""
        found = self._context.servers.get(server)
        if found is None:
            return 0
        return self._context.tables.count_shards(found.service, server)

    def moves(self) -> list[MoveState]:
        """Return the moves in progress that this host controls."""
        return [
            state for control in self._controls.values() for state in control.moves()
        ]

    def state(self) -> OwnershipState:
        """Return the state that the admin port shows."""
        context = self._context
        now_s = context.now_s
        return OwnershipState(
            has_read_store=self._reader.has_read,
            is_witness=context.witness.is_listed,
            has_memory=context.witness.has_memory,
            right_left_s={
                name: max(context.rights.until_s(name) - now_s, 0.0)
                for name in context.domains
            },
            versions=dict(context.tables.versions),
            holders={name: control.holder for name, control in self._controls.items()},
            controls=tuple(
                name
                for name, control in self._controls.items()
                if control.lease.is_held
            ),
            moving=sum(len(control.mover.moves) for control in self._controls.values()),
        )

    async def stop(self) -> None:
        """Release the control leases; other hosts continue the grants and rights."""
        self._is_stopping = True
        self._requests.stop()
        for control in self._controls.values():
            try:
                await control.lease.revoke()
            except GentianwharfError as error:
                self._context.log("hand-over-failed", error=str(error))
