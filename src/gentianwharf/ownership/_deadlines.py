"""Deadlines beyond the sender's right, which witnesses allow and record.

A server that checks only tokens may resume after a freeze and run buffered requests.
After its loss a shard therefore waits until the last deadline sent to it has expired. A
deadline that ends soon after the sender's right costs nothing, since the wait covers
that end anyway. A longer one may be sent only after a majority of the witnesses of the
server's domain has recorded its end. When all rights under the old version have
ended, the control holder asks a majority in turn. The two majorities have a witness in
common, which either holds the record or reports that it started later. No deadline is
missed, whichever host sent it and whether or not that host is still running.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import final

from ._announcer import ROUND_BITS
from ._context import Context
from ._messages import DeadlineAnswer, DeadlineAsk
from ._tables import WitnessList, witness_key
from ._timing import (
    ALLOWANCE_AGAIN_S,
    ALLOWANCE_REUSE_S,
    CLOCK_RATIO,
    HOLD_S,
    RIGHT_WAIT_S,
)

MAX_ROUNDS = 1024
"""Maximum number of open rounds. An answer to an older round would hardly matter."""

EVERY_SHARD = -1
"""Stands for all shards of the service in a request."""

MAX_SINGLE_SHARDS = 16
"""Maximum number of shards that a host asks for singly within ``ALLOWANCE_REUSE_S``.

Where most requests have long deadlines, for example because every rule of a service
sets one, asking for each shard would cost several messages per request. Above this
number the host asks for all shards at once; the cost is that after a loss all of them
wait.
"""

ASK_FOR_ALL_S = 1.0
"""Time for which a host then asks for all shards at once."""

PRUNE_INTERVAL_S = 1.0
"""Interval at which expired records are dropped."""

Settled = Callable[[Mapping[int, float]], None]
"""Callback that receives the end of the longest deadline by shard, on this host's
clock."""


@final
class DeadlineMemory:
    """The deadlines that one host has recorded as a witness of its domain.

    The records are lost on a restart. Deadlines allowed before the start are covered by
    ``_unknown_until_s``: none of them lasts longer than the service's longest deadline.
    The same applies whenever the domain's witness list changes, since hosts may have
    asked only witnesses of the earlier list. They cannot have sent under that list for
    longer than the length of a right after the new list was written.
    """

    def __init__(self, *, context: Context) -> None:
        self._context = context
        self._since_s = context.now_s
        self._revision = 0
        self._until_s: dict[tuple[str, int], float] = {}
        self._prune_due_s = float("-inf")

    def tick(self) -> None:
        """Check for a changed witness list and drop expired records."""
        self._note_list()
        now_s = self._context.now_s
        if now_s < self._prune_due_s:
            return
        self._prune_due_s = now_s + PRUNE_INTERVAL_S
        self._until_s = {
            which: until_s
            for which, until_s in self._until_s.items()
            if until_s > now_s
        }

    def _note_list(self) -> None:
        context = self._context
        key = witness_key(context.host.domain)
        revision = context.tables.versions.get(key, 0)
        if revision != self._revision:
            self._revision = revision
            self._since_s = context.now_s

    def _unknown_until_s(self, service: str) -> float:
        cap_s = self._context.deadline_caps_s[service]
        return self._since_s + RIGHT_WAIT_S + (cap_s + ALLOWANCE_REUSE_S) * CLOCK_RATIO

    def asked(self, host: str, ask: DeadlineAsk) -> None:
        """Record the deadlines that the requesting host may send, and answer."""
        context = self._context
        witness = context.witness
        if ask.domain != context.host.domain or not witness.is_listed:
            return
        if not witness.has_memory or ask.service not in context.deadline_caps_s:
            return
        self._note_list()
        now_s = context.now_s
        unknown_until_s = self._unknown_until_s(ask.service)
        every_until_s = self._note(ask.service, EVERY_SHARD, 0.0, now_s)
        min_until_s = max(every_until_s, unknown_until_s, now_s)
        left_s = {}
        for shard, wanted_s in ask.wanted_s.items():
            until_s = self._note(ask.service, shard, wanted_s, now_s)
            left_s[shard] = max(until_s, min_until_s) - now_s
        answer = DeadlineAnswer(
            domain=ask.domain,
            round=ask.round,
            witness_revision=self._revision,
            left_s=left_s,
        )
        context.send(host, answer)

    def _note(self, service: str, shard: int, wanted_s: float, now_s: float) -> float:
        which = (service, shard)
        until_s = self._until_s.get(which, float("-inf"))
        if wanted_s > 0:
            until_s = max(until_s, now_s + wanted_s * CLOCK_RATIO)
            self._until_s[which] = until_s
        return until_s


@final
@dataclass(kw_only=True, slots=True)
class _Round:
    witnesses: WitnessList
    revision: int
    settled: Settled
    until_s: dict[str, dict[int, float]] = field(default_factory=dict)


@final
class DeadlineAsker:
    """Asks a domain's witnesses and determines the result of a majority.

    Any majority is sufficient, so the one that gives the earliest end is used. A
    witness that started recently has no effect while the others answer.
    """

    def __init__(self, *, context: Context) -> None:
        self._context = context
        self._rounds: dict[int, _Round] = {}
        # Drawn at random at each start: a late answer to a request from before the
        # restart does not cover deadlines that were allowed since.
        self._last_round = context.rng.getrandbits(ROUND_BITS)

    def ask(
        self,
        *,
        domain: str,
        service: str,
        wanted_s: Mapping[int, float],
        settled: Settled,
    ) -> None:
        """Ask; ``settled`` is called at a majority and again at each further answer."""
        context = self._context
        witnesses = context.tables.witnesses(domain)
        if witnesses is None:
            return
        self._last_round += 1
        self._rounds[self._last_round] = _Round(
            witnesses=witnesses,
            revision=context.tables.versions[witness_key(domain)],
            settled=settled,
        )
        self._rounds.pop(self._last_round - MAX_ROUNDS, None)
        ask = DeadlineAsk(
            domain=domain,
            round=self._last_round,
            service=service,
            wanted_s=dict(wanted_s),
        )
        for host in witnesses.all():
            context.send(host, ask)

    def hear(self, host: str, answer: DeadlineAnswer) -> None:
        """Record an answer."""
        opened = self._rounds.get(answer.round)
        # Under another witness list, a majority may have no witness in common with the
        # one that the sending host asked.
        if opened is None or answer.witness_revision != opened.revision:
            return
        now_s = self._context.now_s
        opened.until_s[host] = {
            shard: now_s + left_s * CLOCK_RATIO
            for shard, left_s in answer.left_s.items()
        }
        if opened.witnesses.is_majority(opened.until_s):
            opened.settled({shard: _earliest(opened, shard) for shard in answer.left_s})


def _earliest(opened: _Round, shard: int) -> float:
    """Return the earliest end that a majority confirms."""
    by_end = sorted((ends[shard], host) for host, ends in opened.until_s.items())
    members: set[str] = set()
    for until_s, host in by_end:
        members.add(host)
        if opened.witnesses.is_majority(members):
            return until_s
    return float("inf")


@final
@dataclass(kw_only=True, slots=True)
class _Allowance:
    revision: int
    until_s: float = float("-inf")
    asked_s: float = float("-inf")
    asked_until_s: float = float("-inf")
    waits_since_s: float | None = None
    waited_s: float = float("-inf")


@final
@dataclass(kw_only=True, slots=True)
class _Scope:
    """Decides whether a host asks for single shards of a service or all at once."""

    since_s: float = float("-inf")
    every_until_s: float = float("-inf")
    shards: set[int] = field(default_factory=set)

    def of(self, shard: int, now_s: float) -> int:
        """Return the shard to ask for."""
        if now_s < self.every_until_s:
            return EVERY_SHARD
        if now_s >= self.since_s + ALLOWANCE_REUSE_S:
            self.since_s = now_s
            self.shards.clear()
        self.shards.add(shard)
        if len(self.shards) <= MAX_SINGLE_SHARDS:
            return shard
        self.every_until_s = now_s + ASK_FOR_ALL_S
        return EVERY_SHARD


@final
class Allowances:
    """The deadlines beyond its rights that this host may send."""

    def __init__(self, *, context: Context, asker: DeadlineAsker) -> None:
        self._context = context
        self._asker = asker
        self._known: dict[tuple[str, int, str], _Allowance] = {}
        self._scopes: dict[tuple[str, str], _Scope] = defaultdict(_Scope)

    def until_s(self, service: str, shard: int, domain: str) -> float:
        """Return the latest deadline that may be sent to ``domain`` now."""
        # Valid only under the witness list that was asked: witnesses of a newer list
        # may have no record of it.
        revision = self._revision(domain)
        ends_s = [
            known.until_s
            for scope in (shard, EVERY_SHARD)
            if (known := self._known.get((service, scope, domain))) is not None
            and known.revision == revision
        ]
        return max(ends_s, default=float("-inf"))

    def _revision(self, domain: str) -> int:
        return self._context.tables.versions.get(witness_key(domain), 0)

    def want(
        self, service: str, shard: int, domain: str, *, until_s: float, now_s: float
    ) -> float:
        """Ask for deadlines up to ``until_s``; return until when to wait for them."""
        known = self._ask_when_due(service, shard, domain, until_s, now_s)
        if known.waits_since_s is None or now_s >= known.waited_s + HOLD_S:
            known.waits_since_s = now_s
        known.waited_s = now_s
        return known.waits_since_s + HOLD_S

    def renew(
        self, service: str, shard: int, domain: str, *, until_s: float, now_s: float
    ) -> None:
        """Renew an allowance in use before it ends, so that no request has to wait."""
        if self.until_s(service, shard, domain) < until_s + ALLOWANCE_REUSE_S / 2:
            self._ask_when_due(service, shard, domain, until_s, now_s)

    def _ask_when_due(
        self, service: str, shard: int, domain: str, until_s: float, now_s: float
    ) -> _Allowance:
        scope = self._scopes[service, domain].of(shard, now_s)
        which = (service, scope, domain)
        revision = self._revision(domain)
        known = self._known.get(which)
        if known is None or known.revision != revision:
            self._drop_expired(now_s)
            known = self._known[which] = _Allowance(revision=revision)
        is_recent = now_s < known.asked_s + ALLOWANCE_AGAIN_S
        if not is_recent or until_s > known.asked_until_s:
            self._ask(which, known, until_s=until_s, now_s=now_s)
        return known

    def _ask(
        self,
        which: tuple[str, int, str],
        known: _Allowance,
        *,
        until_s: float,
        now_s: float,
    ) -> None:
        service, shard, domain = which
        wanted_s = until_s - now_s + ALLOWANCE_REUSE_S
        known.asked_s = now_s
        known.asked_until_s = now_s + wanted_s

        def settled(_: Mapping[int, float]) -> None:
            # Counted from before the request was sent, as for a right.
            known.until_s = max(known.until_s, now_s + wanted_s)
            known.waits_since_s = None

        self._asker.ask(
            domain=domain, service=service, wanted_s={shard: wanted_s}, settled=settled
        )

    def _drop_expired(self, now_s: float) -> None:
        expired = [
            which
            for which, known in self._known.items()
            if max(known.until_s, known.asked_until_s) < now_s
        ]
        for which in expired:
            del self._known[which]
