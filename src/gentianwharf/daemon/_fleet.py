"""Fleet-wide views of the admin port: rules in force and service-level burn."""

from collections.abc import Iterable, Mapping
from typing import cast, final

import msgspec
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from gentianwharf.admin import HostRules, HostRulesStatus, JsonValue, RolloutStatus
from gentianwharf.errors import InputError
from gentianwharf.metrics import (
    BurnAggregator,
    MissingHost,
    Recorder,
    decode_part,
    encode_part,
)
from gentianwharf.spread import PeerQueries, SpreadSystem

from ._hosts import HostTable
from ._peer_responses import decode_response
from ._rules import RulesInForce

RULES = "rules"
BURN = "burn"

RULES_HOST_TIMEOUT_S = 0.5
"""A host that has not answered within this time is queried again in the next round.
After the last round, the status lists it as silent."""

BURN_HOST_TIMEOUT_S = 3.0
"""A host takes some tens of milliseconds to compute its part of the report."""

PART_CACHE_S = 1.0

RULES_TIMEOUT_S = 3.0
BURN_TIMEOUT_S = 8.0
"""For all hosts together; less than the 10 s that the command-line tool waits for an
answer."""

POLL_INTERVAL_S = 0.1
"""Time between two rounds of queries. A change reaches all hosts within a few tens of
milliseconds."""


@final
class RuleRevisions(msgspec.Struct, frozen=True, kw_only=True):
    """A host's answer: the revision in force, and the newest one that it received."""

    in_force: int | None
    held: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RuleRevisions)


@final
class FleetRulesView:
    """The revision of the rules that each listed host has in force.

    A host counts as up to date by the revision that it matches requests with. A host
    that has received a newer document but can't read it keeps its older rules in force,
    so it must not be reported as up to date.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        queries: PeerQueries,
        hosts: HostTable,
        rules: RulesInForce,
        spread: SpreadSystem,
        rules_key: str,
    ) -> None:
        self._clock = clock
        self._queries = queries
        self._hosts = hosts
        self._rules = rules
        self._spread = spread
        self._rules_key = rules_key
        queries.register_handler(
            RULES, lambda _: _encoder.encode(self._own_revisions())
        )

    async def rollout_status(
        self, *, revision: int | None, wait_s: float
    ) -> RolloutStatus:
        """Return once ``revision`` is in force on all hosts, or after ``wait_s``."""
        end_s = self._clock.seconds() + wait_s
        held: dict[str, RuleRevisions] = {}
        while True:
            silent = await self._query_hosts(held, revision)
            status = self._rollout(revision, held, silent)
            if status.everywhere or self._clock.seconds() >= end_s:
                return status
            await deferLater(self._clock, POLL_INTERVAL_S)

    async def _query_hosts(
        self, held: dict[str, RuleRevisions], revision: int | None
    ) -> dict[str, str]:
        own = self._hosts.own.id
        held[own] = self._own_revisions()

        def add_response(host: str, response: bytes) -> None:
            held[host] = decode_response(
                _decoder,
                response,
                expected="the rules that a host holds",
                step="ask for rules",
                peer=host,
            )

        return await self._queries.gather(
            RULES,
            [
                host
                for host in sorted(self._hosts.hosts)
                if host != own and not _is_up_to_date(held.get(host), revision)
            ],
            on_answer=add_response,
            host_timeout_s=RULES_HOST_TIMEOUT_S,
            timeout_s=RULES_TIMEOUT_S,
        )

    def _own_revisions(self) -> RuleRevisions:
        current = self._rules.current
        value = self._spread.value(self._rules_key)
        return RuleRevisions(
            in_force=current.revision if current is not None else None,
            held=value.revision if value is not None else 0,
        )

    def _rollout(
        self,
        revision: int | None,
        held: Mapping[str, RuleRevisions],
        silent: Mapping[str, str],
    ) -> RolloutStatus:
        target_revision = (
            _newest_revision(held.values()) if revision is None else revision
        )
        hosts = tuple(
            _host_rules(
                host.id,
                host.domain,
                target_revision,
                held.get(host.id),
                silent.get(host.id),
            )
            for host in sorted(
                self._hosts.hosts.values(), key=lambda host: (host.domain, host.id)
            )
        )
        return RolloutStatus(
            revision=target_revision,
            everywhere=all(host.standing is HostRulesStatus.IN_FORCE for host in hosts),
            hosts=hosts,
        )


def _is_up_to_date(held: RuleRevisions | None, revision: int | None) -> bool:
    """Whether a host need not be queried again.

    The revision in force on a host never decreases.
    """
    return (
        held is not None
        and revision is not None
        and held.in_force is not None
        and held.in_force >= revision
    )


def _newest_revision(held: Iterable[RuleRevisions]) -> int:
    return max(
        (max(revisions.held, revisions.in_force or 0) for revisions in held), default=0
    )


def _host_rules(
    host: str,
    domain: str,
    target_revision: int,
    held: RuleRevisions | None,
    reason: str | None,
) -> HostRules:
    if held is None or (
        reason is not None and not _is_up_to_date(held, target_revision)
    ):
        return HostRules(
            host=host,
            domain=domain,
            standing=HostRulesStatus.SILENT,
            in_force_revision=held.in_force if held is not None else None,
            reason=reason or "not asked yet: it has just been listed",
        )
    standing = HostRulesStatus.OLDER
    if _is_up_to_date(held, target_revision):
        standing = HostRulesStatus.IN_FORCE
    elif held.held >= target_revision:
        standing = HostRulesStatus.UNREADABLE
    return HostRules(
        host=host, domain=domain, standing=standing, in_force_revision=held.in_force
    )


@final
class FleetBurnView:
    """The service-level burn of all listed hosts together, or of one host."""

    def __init__(
        self,
        *,
        clock: IReactorTime,
        queries: PeerQueries,
        hosts: HostTable,
        recorder: Recorder,
    ) -> None:
        self._clock = clock
        self._queries = queries
        self._hosts = hosts
        self._recorder = recorder
        self._part = b""
        self._part_computed_s = float("-inf")
        queries.register_handler(BURN, lambda _: self._own_part())

    def _own_part(self) -> bytes:
        """Return this host's part, computed at most once in ``PART_CACHE_S``.

        Computing a part blocks the event loop for some 20 ms. A query is repeated while
        its answer is on the way, and several operators may send one at the same time.
        """
        now_s = self._clock.seconds()
        if now_s - self._part_computed_s >= PART_CACHE_S:
            self._part = encode_part(self._recorder.burn_part())
            self._part_computed_s = now_s
        return self._part

    async def burn(self, *, host: str | None) -> Mapping[str, JsonValue]:
        """Return the report as JSON; it names the hosts that did not answer."""
        own = self._hosts.own.id
        queried = (
            sorted(self._hosts.hosts) if host is None else [self._check_listed(host)]
        )
        aggregator = BurnAggregator(objectives=self._recorder.objectives)

        def add_response(name: str, response: bytes) -> None:
            aggregator.add(name, decode_part(response, peer=name))

        if own in queried:
            aggregator.add(own, self._recorder.burn_part())
        silent = await self._queries.gather(
            BURN,
            [name for name in queried if name != own],
            on_answer=add_response,
            host_timeout_s=BURN_HOST_TIMEOUT_S,
            timeout_s=BURN_TIMEOUT_S,
        )
        report = aggregator.report(
            silent=[
                MissingHost(host=name, reason=reason)
                for name, reason in sorted(silent.items())
            ]
        )
        return cast("Mapping[str, JsonValue]", report.as_builtins())

    def _check_listed(self, host: str) -> str:
        if host not in self._hosts.hosts:
            raise InputError(
                f"{host!r} is not a listed host; see: gentianwharf hosts list",
                step="report burn",
                peer=host,
            )
        return host
