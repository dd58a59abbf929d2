"""What the admin port tells of every host: rules in force and service-level burn."""

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
from ._peer_answers import read_answer
from ._rules import RulesInForce

RULES = "rules"
BURN = "burn"

RULES_HOST_TIMEOUT_S = 0.5
"""A host that is silent for so long is asked again in the next round, or named."""

BURN_HOST_TIMEOUT_S = 3.0
"""A host's part takes some tens of milliseconds to put together."""

PART_FRESH_S = 1.0

RULES_TIMEOUT_S = 3.0
BURN_TIMEOUT_S = 8.0
"""For all hosts; below the 10 s that the tool waits for an answer."""

ASK_AGAIN_S = 0.1
"""Between two rounds. A change takes a few tens of milliseconds to be everywhere."""


@final
class RulesHeld(msgspec.Struct, frozen=True, kw_only=True):
    """A host's answer: the revision it matches with, and the newest that it has."""

    in_force: int | None
    held: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RulesHeld)


@final
class FleetRulesView:
    """Which listed hosts have which rules in force.

    What counts is the revision that a host matches with: one that has a newer document
    and can't read it goes on with its older rules, and must not pass for up to date.
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
        queries.register_handler(RULES, lambda _: _encoder.encode(self._own()))

    async def rollout_status(
        self, *, revision: int | None, wait_s: float
    ) -> RolloutStatus:
        """Return once ``revision`` is in force everywhere, or after ``wait_s``."""
        end_s = self._clock.seconds() + wait_s
        held: dict[str, RulesHeld] = {}
        while True:
            silent = await self._ask(held, revision)
            found = self._everywhere(revision, held, silent)
            if found.everywhere or self._clock.seconds() >= end_s:
                return found
            await deferLater(self._clock, ASK_AGAIN_S)

    async def _ask(
        self, held: dict[str, RulesHeld], revision: int | None
    ) -> dict[str, str]:
        own = self._hosts.own.id
        held[own] = self._own()

        def take(host: str, answer: bytes) -> None:
            held[host] = read_answer(
                _decoder,
                answer,
                expected="the rules that a host holds",
                step="ask for rules",
                peer=host,
            )

        return await self._queries.gather(
            RULES,
            [
                host
                for host in sorted(self._hosts.hosts)
                if host != own and not _has(held.get(host), revision)
            ],
            on_answer=take,
            host_timeout_s=RULES_HOST_TIMEOUT_S,
            timeout_s=RULES_TIMEOUT_S,
        )

    def _own(self) -> RulesHeld:
        current = self._rules.current
        value = self._spread.value(self._rules_key)
        return RulesHeld(
            in_force=current.revision if current is not None else None,
            held=value.revision if value is not None else 0,
        )

    def _everywhere(
        self,
        revision: int | None,
        held: Mapping[str, RulesHeld],
        silent: Mapping[str, str],
    ) -> RolloutStatus:
        wanted = _newest(held.values()) if revision is None else revision
        hosts = tuple(
            _host_rules(
                host.id, host.domain, wanted, held.get(host.id), silent.get(host.id)
            )
            for host in sorted(
                self._hosts.hosts.values(), key=lambda one: (one.domain, one.id)
            )
        )
        return RolloutStatus(
            revision=wanted,
            everywhere=all(one.standing is HostRulesStatus.IN_FORCE for one in hosts),
            hosts=hosts,
        )


def _has(held: RulesHeld | None, revision: int | None) -> bool:
    """Whether a host needs no asking again; revisions in force never fall."""
    return (
        held is not None
        and revision is not None
        and held.in_force is not None
        and held.in_force >= revision
    )


def _newest(held: Iterable[RulesHeld]) -> int:
    return max((max(one.held, one.in_force or 0) for one in held), default=0)


def _host_rules(
    host: str, domain: str, wanted: int, held: RulesHeld | None, reason: str | None
) -> HostRules:
    if held is None or (reason is not None and not _has(held, wanted)):
        return HostRules(
            host=host,
            domain=domain,
            standing=HostRulesStatus.SILENT,
            in_force_revision=held.in_force if held is not None else None,
            reason=reason or "not asked yet: it has just been listed",
        )
    standing = HostRulesStatus.OLDER
    if _has(held, wanted):
        standing = HostRulesStatus.IN_FORCE
    elif held.held >= wanted:
        standing = HostRulesStatus.UNREADABLE
    return HostRules(
        host=host, domain=domain, standing=standing, in_force_revision=held.in_force
    )


@final
class FleetBurnView:
    """The service-level burn over all listed hosts, or of one."""

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
        self._part_made_s = float("-inf")
        queries.register_handler(BURN, lambda _: self._own_part())

    def _own_part(self) -> bytes:
        """Return this host's part, made anew at most once in ``PART_FRESH_S``.

        A question is repeated while its answer is on the way, and several operators
        may ask at once; each part holds the loop for some 20 ms.
        """
        now_s = self._clock.seconds()
        if now_s - self._part_made_s >= PART_FRESH_S:
            self._part = encode_part(self._recorder.burn_part())
            self._part_made_s = now_s
        return self._part

    async def burn(self, *, host: str | None) -> Mapping[str, JsonValue]:
        """Return the report as JSON; hosts that did not answer are named in it."""
        own = self._hosts.own.id
        asked = sorted(self._hosts.hosts) if host is None else [self._known(host)]
        whole = BurnAggregator(objectives=self._recorder.objectives)

        def take(name: str, answer: bytes) -> None:
            whole.add(name, decode_part(answer, peer=name))

        if own in asked:
            whole.add(own, self._recorder.burn_part())
        silent = await self._queries.gather(
            BURN,
            [one for one in asked if one != own],
            on_answer=take,
            host_timeout_s=BURN_HOST_TIMEOUT_S,
            timeout_s=BURN_TIMEOUT_S,
        )
        report = whole.report(
            silent=[
                MissingHost(host=name, reason=reason)
                for name, reason in sorted(silent.items())
            ]
        )
        return cast("Mapping[str, JsonValue]", report.as_builtins())

    def _known(self, host: str) -> str:
        if host not in self._hosts.hosts:
            raise InputError(
                f"{host!r} is not a listed host; see: gentianwharf hosts list",
                step="report burn",
                peer=host,
            )
        return host
