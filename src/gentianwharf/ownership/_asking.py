"""Requests for rights: a few hosts ask the witnesses, the others request shares.

Two hosts of each domain, the askers, send requests to the witnesses of their own
domain. For another domain they request a share of the right that one of its witnesses
holds. Every other host requests shares of all rights from one host that is nearer to
the askers. Each host therefore sends only a few requests, whatever the number of hosts
and domains, and a witness receives requests mainly from its own domain.
"""

from collections.abc import Container, Iterable, Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import final

from twisted.internet.interfaces import IDelayedCall

from gentianwharf.placement import rendezvous_rank

from ._context import Context
from ._messages import Pull, ShareAnswer, ShareAsk
from ._pace import (
    ASKERS,
    GAIN,
    OTHERS_AFTER_S,
    aimed_age_s,
    late_s,
    nearer_positions,
    steps_from_askers,
)
from ._tables import WitnessList
from ._timing import RIGHT_ASK_EVERY_S, RIGHT_USE_S, TICK_S

DIRECT_BELOW_S = 0.15
"""Remaining time of a right below which an asker asks the witnesses directly. After
one lost request about 160 ms remain, after two 60 ms."""

SHARED_DIRECT_BELOW_S = 0.08
"""The same limit for all other hosts. It is lower than that of the askers, so that the
thousands of hosts of a domain do not all ask the witnesses while the askers renew the
right."""

DIRECT_BACKOFF_AFTER_S = 0.5
"""Time without a right after which a host that requests shares limits its own requests
to the witnesses to one per ``DIRECT_BACKOFF_INTERVAL_S``. The domain is unreachable by
then; the askers continue at the normal rate and share the right once they get it."""

DIRECT_BACKOFF_INTERVAL_S = 0.4

PREFERRED_RETRY_ROUNDS = 20
"""Rounds after which the preferred host is tried again if it did not answer. A host
that is gone costs one round in two seconds."""

MAX_PULL_PEERS = 3
"""Number of hosts from which a host without tables requests them at a time. Each of
them sends all tables."""


def tree_order(
    listed: Iterable[str],
    witnesses: WitnessList | None,
    live: Container[str] | None = None,
) -> list[str]:
    """Return a domain's hosts ordered by their distance from the witnesses.

    Witnesses come first: their own answer needs no message, and hosts of other domains
    find them by the witness list. ``live`` witnesses precede the others (None treats
    all as live). Other hosts are included whether live or not: a host of a large domain
    receives messages from only some of the others and would otherwise rank itself
    among the first. A host whose request goes unanswered asks the next host.

    >>> tree_order(["a", "b", "c"], WitnessList(hosts=("a", "c")), {"c"})
    ['c', 'a', 'b']
    """
    ranked = rendezvous_rank("rights", listed)
    named = set(witnesses.hosts) if witnesses is not None else set()
    first = [host for host in ranked if host in named]
    if live is not None:
        first.sort(key=lambda host: host not in live)
    del first[ASKERS:]
    return [*first, *(host for host in ranked if host not in first)]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class TreePlace:
    """The inputs that determine the order of a domain's hosts."""

    listed: tuple[str, ...]
    witnesses: WitnessList | None
    live_witnesses: frozenset[str]

    def order(self) -> list[str]:
        """Return the domain's hosts in tree order."""
        return tree_order(self.listed, self.witnesses, self.live_witnesses)


def place_in_tree(context: Context) -> TreePlace:
    """Return the current inputs to the tree order of this host's own domain."""
    listed = tuple(context.peers.hosts_of(context.host.domain))
    witnesses = context.tables.witnesses(context.host.domain)
    named = witnesses.hosts if witnesses is not None else ()
    live = frozenset(host for host in named if context.peers.is_live(host))
    return TreePlace(listed=listed, witnesses=witnesses, live_witnesses=live)


@lru_cache(maxsize=256)
def ranked_witnesses(hosts: tuple[str, ...]) -> tuple[str, ...]:
    """Return another domain's witnesses, with the askers of that domain first."""
    return tuple(rendezvous_rank("rights", hosts))


@final
@dataclass(kw_only=True, slots=True)
class _Source:
    """Selects the host to request a share from, and tracks whether it has answered.

    ``first`` is the index of the preferred host. After an unanswered request the next
    host is used. The preferred host is tried again after ``PREFERRED_RETRY_ROUNDS``
    rounds, because the others may be farther from the witnesses.
    """

    first: int
    skipped: int = 0
    rounds: int = 0
    is_awaited: bool = False

    def choose(self, hosts: Sequence[str]) -> str:
        """Return the host to send the next request to."""
        self.rounds += 1
        if self.is_awaited:
            self.skipped += 1
            self.rounds = 0
        elif self.rounds >= PREFERRED_RETRY_ROUNDS:
            self.skipped = 0
        self.is_awaited = True
        return hosts[(self.first + self.skipped) % len(hosts)]


@final
class Asking:
    """Requests this host's rights from witnesses and other hosts."""

    def __init__(self, *, context: Context) -> None:
        self._context = context
        self._domains = sorted(context.domains)
        self._due_s = float("-inf")
        self._timer: IDelayedCall | None = None
        self._is_synchronized = False
        self._direct_due_s: dict[str, float] = {}
        self._sources: dict[str, _Source] = {}
        self._asked: dict[str, str] = {}
        self._place: TreePlace | None = None
        self._position = 0
        self._steps = 0
        self._nearer: tuple[str, ...] = ()
        self._first_asker = context.host.id

    def tick(self) -> None:
        """Request rights if the timer is overdue, and renew those that expire soon."""
        self._update_place()
        if self._context.now_s >= self._due_s + TICK_S:
            self._ask()
        self._ask_for_expiring()

    def _update_place(self) -> None:
        context = self._context
        place = place_in_tree(context)
        if place == self._place:
            return
        self._place = place
        order = place.order()
        is_listed = context.host.id in order
        position = order.index(context.host.id) if is_listed else 0
        if position != self._position:
            self._sources.clear()
        self._position = position
        self._steps = steps_from_askers(self._position)
        self._nearer = tuple(order[index] for index in nearer_positions(self._position))
        self._first_asker = order[0] if is_listed else context.host.id

    def _ask(self) -> None:
        context = self._context
        self._is_synchronized = False
        self._schedule_ask(RIGHT_ASK_EVERY_S)
        if not context.tables.versions:
            self._pull_from_peers()
        domain = context.host.domain
        if self._nearer:
            number = context.rights.open_share(
                tables=context.tables, now_s=context.now_s
            )
            self._ask_share(domain, self._nearer, number, domain=None)
            return
        context.clock.callLater(OTHERS_AFTER_S, self._ask_others)
        witnesses = context.tables.witnesses(domain)
        if witnesses is not None:
            self._ask_witnesses(domain, witnesses, self._choose(domain, witnesses))

    def _schedule_ask(self, delay_s: float) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._due_s = self._context.now_s + delay_s
        self._timer = self._context.clock.callLater(delay_s, self._ask)

    def _ask_others(self) -> None:
        """Request shares from the hosts of other domains, as an asker."""
        context = self._context
        number = context.rights.open_share(tables=context.tables, now_s=context.now_s)
        for domain in self._domains:
            witnesses = context.tables.witnesses(domain)
            if domain != context.host.domain and witnesses is not None:
                hosts = ranked_witnesses(witnesses.hosts)
                self._ask_share(domain, hosts, number, domain=domain)
        if self._first_asker != context.host.id:
            # Sent only to synchronize with the first asker: all askers send their
            # requests at the same time.
            domain = context.host.domain
            self._ask_share(domain, (self._first_asker,), number, domain=domain)

    def _ask_share(
        self, name: str, hosts: Sequence[str], number: int, *, domain: str | None
    ) -> None:
        context = self._context
        if not hosts:
            return
        source = self._sources.setdefault(name, _Source(first=self._position))
        ask = ShareAsk(round=number, checksum=context.tables.checksum, domain=domain)
        host = source.choose(hosts)
        self._asked[host] = name
        context.send(host, ask)

    def share_answered(self, host: str, answer: ShareAnswer) -> None:
        """Apply a share from another host and synchronize the request timer with it."""
        context = self._context
        context.rights.hear_share(answer)
        name = self._asked.get(host)
        source = self._sources.get(name) if name is not None else None
        if name is None or source is None or answer.left_s(name) <= 0:
            return
        source.is_awaited = False
        if self._is_synchronized or not self._synchronizes_with(name):
            return
        self._is_synchronized = True
        age_s = RIGHT_USE_S - answer.left_s(name)
        late = late_s(age_s, aimed_age_s(self._steps)) * (1 if self._nearer else GAIN)
        self._schedule_ask(max(self._due_s - context.now_s - late, 0.0))

    def _synchronizes_with(self, name: str) -> bool:
        """Whether to synchronize with the host that was asked for ``name``."""
        own = self._context.host.domain
        if self._nearer or self._first_asker != self._context.host.id:
            return name == own
        # The first asker of each domain synchronizes with that of the first domain.
        fresh_s = self._context.now_s + RIGHT_USE_S / 2
        rights = self._context.rights
        earlier = (domain for domain in self._domains if domain < own)
        return name == next((d for d in earlier if rights.until_s(d) > fresh_s), None)

    def _choose(self, domain: str, witnesses: WitnessList) -> Sequence[str]:
        """Return a majority that confirmed the last round, or all witnesses."""
        confirmed = self._context.rights.confirmed(domain)
        own = self._context.host.id
        chosen = [host for host in witnesses.hosts if host in confirmed and host != own]
        if self._context.witness.has_memory and own in witnesses.hosts:
            # This needs no message, so it is included even if it had no memory in
            # the last round.
            chosen.insert(0, own)
        enough = len(witnesses.hosts) // 2 + 1
        if witnesses.leaving or len(chosen) < enough:
            return witnesses.all()
        return chosen[:enough]

    def _ask_witnesses(
        self, domain: str, witnesses: WitnessList, hosts: Sequence[str]
    ) -> None:
        context = self._context
        ask = context.rights.ask_briefly(
            domain=domain,
            witnesses=witnesses,
            checksum=context.tables.checksum,
            now_s=context.now_s,
        )
        for host in hosts:
            context.send(host, ask)

    def _ask_for_expiring(self) -> None:
        context = self._context
        now_s = context.now_s
        for domain in context.domains:
            left_s = context.rights.until_s(domain) - now_s
            if domain not in self._direct_due_s:
                # After a start, allow one round for shares to arrive.
                self._direct_due_s[domain] = now_s + RIGHT_ASK_EVERY_S
            below_s = SHARED_DIRECT_BELOW_S if self._nearer else DIRECT_BELOW_S
            if left_s > below_s or now_s < self._direct_due_s[domain]:
                continue
            witnesses = context.tables.witnesses(domain)
            is_asked = domain == context.host.domain and not self._nearer
            if witnesses is None or is_asked:
                continue
            is_slow = self._nearer and left_s < -DIRECT_BACKOFF_AFTER_S
            pause_s = DIRECT_BACKOFF_INTERVAL_S if is_slow else RIGHT_ASK_EVERY_S
            self._direct_due_s[domain] = now_s + pause_s - TICK_S / 2
            self._ask_witnesses(domain, witnesses, witnesses.all())

    def _pull_from_peers(self) -> None:
        context = self._context
        hosts = context.peers.hosts_of(context.host.domain)
        others = [host for host in hosts if host != context.host.id]
        for host in context.rng.sample(others, min(MAX_PULL_PEERS, len(others))):
            context.send(host, Pull(versions={}))
