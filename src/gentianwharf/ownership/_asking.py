"""Asking for rights: a few hosts ask the witnesses, the others ask these for a share.

Two hosts of each domain ask their own domain's witnesses. For another domain they ask
one of its witnesses for a share of what that host has; and every other host asks one
host that is nearer to these two for all that it has. So each host sends a few
questions however many hosts and domains there are, and a witness hears its own domain.
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
"""What must be left of a right for an asker to rely on a share: with one question
lost some 160 ms are left, with two 60 ms."""

SHARED_DIRECT_BELOW_S = 0.08
"""The same for all other hosts: after the askers, so that a domain of thousands does
not turn to the witnesses at once for what its askers just mend."""

DIRECT_SLOWLY_AFTER_S = 0.5
"""Time without a right after which a host that takes shares asks the witnesses
itself no more than every ``DIRECT_SLOWLY_EVERY_S``: the domain is out of reach, and the
askers, which go on, share the right once they have it."""

DIRECT_SLOWLY_EVERY_S = 0.4

PREFERRED_AFTER = 20
"""Rounds after which a host that did not answer is asked again: if it is gone, that
costs one round in two seconds."""

PULLED = 3
"""Hosts that one without any tables asks for them at a time; each sends all."""


def tree_order(
    listed: Iterable[str],
    witnesses: WitnessList | None,
    live: Container[str] | None = None,
) -> list[str]:
    """Return a domain's hosts in the order in which they are near to the witnesses.

    Witnesses go first: their own answer needs no message, and hosts of other domains,
    who know the list, find them. Of these the ``live`` ones (None for all), of the
    others all that are listed: a host of a large domain hears a part of the others
    only, and would take itself for one of the first. Who asks one that is gone asks
    the next one.

    >>> tree_order(["a", "b", "c"], WitnessList(hosts=("a", "c")), {"c"})
    ['c', 'a', 'b']
    """
    ranked = rendezvous_rank("rights", listed)
    named = set(witnesses.hosts) if witnesses is not None else set()
    first = [one for one in ranked if one in named]
    if live is not None:
        first.sort(key=lambda one: one not in live)
    del first[ASKERS:]
    return [*first, *(one for one in ranked if one not in first)]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class TreePlace:
    """What the order of a domain's hosts follows from; equal places, equal order."""

    listed: tuple[str, ...]
    witnesses: WitnessList | None
    live_witnesses: frozenset[str]

    def order(self) -> list[str]:
        """Return the domain's hosts in the order of their tree."""
        return tree_order(self.listed, self.witnesses, self.live_witnesses)


def place_in_tree(context: Context) -> TreePlace:
    """Return what the order of this host's own domain follows from now."""
    listed = tuple(context.peers.hosts_of(context.host.domain))
    witnesses = context.tables.witnesses(context.host.domain)
    named = witnesses.hosts if witnesses is not None else ()
    live = frozenset(one for one in named if context.peers.is_live(one))
    return TreePlace(listed=listed, witnesses=witnesses, live_witnesses=live)


@lru_cache(maxsize=256)
def ranked_witnesses(hosts: tuple[str, ...]) -> tuple[str, ...]:
    """Return another domain's witnesses, those that ask for its rights first."""
    return tuple(rendezvous_rank("rights", hosts))


@final
@dataclass(kw_only=True, slots=True)
class _Source:
    """Which of several hosts is asked for a share, and whether it has answered.

    ``first`` is the place of the one to prefer. One that did not answer is left for
    the next one, and tried again after ``PREFERRED_AFTER`` rounds: others may be
    farther from the witnesses.
    """

    first: int
    skipped: int = 0
    rounds: int = 0
    is_awaited: bool = False

    def choose(self, hosts: Sequence[str]) -> str:
        """Return whom to ask now."""
        self.rounds += 1
        if self.is_awaited:
            self.skipped += 1
            self.rounds = 0
        elif self.rounds >= PREFERRED_AFTER:
            self.skipped = 0
        self.is_awaited = True
        return hosts[(self.first + self.skipped) % len(hosts)]


@final
class Asking:
    """Asks for this host's rights."""

    def __init__(self, *, context: Context) -> None:
        self._context = context
        self._domains = sorted(context.domains)
        self._due_s = float("-inf")
        self._timer: IDelayedCall | None = None
        self._is_paced = False
        self._direct_due_s: dict[str, float] = {}
        self._sources: dict[str, _Source] = {}
        self._asked: dict[str, str] = {}
        self._place: TreePlace | None = None
        self._position = 0
        self._steps = 0
        self._nearer: tuple[str, ...] = ()
        self._first = context.host.id

    def tick(self) -> None:
        """Ask when the timer did not, and the witnesses where a right runs out."""
        self._find_place()
        if self._context.now_s >= self._due_s + TICK_S:
            self._ask()
        self._ask_where_low()

    def _find_place(self) -> None:
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
        self._nearer = tuple(order[one] for one in nearer_positions(self._position))
        self._first = order[0] if is_listed else context.host.id

    def _ask(self) -> None:
        context = self._context
        self._is_paced = False
        self._ask_again_in(RIGHT_ASK_EVERY_S)
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

    def _ask_again_in(self, delay_s: float) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._due_s = self._context.now_s + delay_s
        self._timer = self._context.clock.callLater(delay_s, self._ask)

    def _ask_others(self) -> None:
        """Ask other domains' hosts for their rights, as an asker does."""
        context = self._context
        number = context.rights.open_share(tables=context.tables, now_s=context.now_s)
        for domain in self._domains:
            witnesses = context.tables.witnesses(domain)
            if domain != context.host.domain and witnesses is not None:
                hosts = ranked_witnesses(witnesses.hosts)
                self._ask_share(domain, hosts, number, domain=domain)
        if self._first != context.host.id:
            # For its pace alone: all askers ask at one time.
            domain = context.host.domain
            self._ask_share(domain, (self._first,), number, domain=domain)

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
        """Take what another host passes on, and keep pace with it."""
        context = self._context
        context.rights.hear_share(answer)
        name = self._asked.get(host)
        source = self._sources.get(name) if name is not None else None
        if name is None or source is None or answer.left_s(name) <= 0:
            return
        source.is_awaited = False
        if self._is_paced or not self._sets_pace(name):
            return
        self._is_paced = True
        age_s = RIGHT_USE_S - answer.left_s(name)
        late = late_s(age_s, aimed_age_s(self._steps)) * (1 if self._nearer else GAIN)
        self._ask_again_in(max(self._due_s - context.now_s - late, 0.0))

    def _sets_pace(self, name: str) -> bool:
        """Whether to keep pace with the host asked for the rights for ``name``."""
        own = self._context.host.domain
        if self._nearer or self._first != self._context.host.id:
            return name == own
        # The first askers of all domains keep pace with the first domain's one.
        fresh_s = self._context.now_s + RIGHT_USE_S / 2
        rights = self._context.rights
        earlier = (one for one in self._domains if one < own)
        return name == next((o for o in earlier if rights.until_s(o) > fresh_s), None)

    def _choose(self, domain: str, witnesses: WitnessList) -> Sequence[str]:
        """Return a majority that confirmed the last time, or all witnesses."""
        confirmed = self._context.rights.confirmed(domain)
        own = self._context.host.id
        chosen = [one for one in witnesses.hosts if one in confirmed and one != own]
        if self._context.witness.has_memory and own in witnesses.hosts:
            # Costs no message, so also when it had no memory at the last round.
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

    def _ask_where_low(self) -> None:
        context = self._context
        now_s = context.now_s
        for domain in context.domains:
            left_s = context.rights.until_s(domain) - now_s
            if domain not in self._direct_due_s:
                # At the start shares come first, within a round.
                self._direct_due_s[domain] = now_s + RIGHT_ASK_EVERY_S
            below_s = SHARED_DIRECT_BELOW_S if self._nearer else DIRECT_BELOW_S
            if left_s > below_s or now_s < self._direct_due_s[domain]:
                continue
            witnesses = context.tables.witnesses(domain)
            is_asked = domain == context.host.domain and not self._nearer
            if witnesses is None or is_asked:
                continue
            is_slow = self._nearer and left_s < -DIRECT_SLOWLY_AFTER_S
            pause_s = DIRECT_SLOWLY_EVERY_S if is_slow else RIGHT_ASK_EVERY_S
            self._direct_due_s[domain] = now_s + pause_s - TICK_S / 2
            self._ask_witnesses(domain, witnesses, witnesses.all())

    def _pull_from_peers(self) -> None:
        context = self._context
        hosts = context.peers.hosts_of(context.host.domain)
        others = [one for one in hosts if one != context.host.id]
        for host in context.rng.sample(others, min(PULLED, len(others))):
            context.send(host, Pull(versions={}))
