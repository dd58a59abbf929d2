"""Updates a domain's witness list as hosts are added and removed.

The list changes one host at a time, through a value that holds both the earlier and
the new list; rights and announcements then need a majority of each. The earlier list
is dropped only after a majority of it has acknowledged the change. From then on, a host
that announces to the earlier list alone learns of the change from at least one of its
members.
"""

from collections.abc import Iterable
from typing import final

import msgspec
from twisted.internet.defer import Deferred

from gentianwharf.errors import GentianwharfError, InputError
from gentianwharf.infra import ABSENT_REVISION
from gentianwharf.placement import rendezvous_rank

from ._announcer import Announcer
from ._context import Context
from ._fanout import Fanout
from ._messages import Item
from ._protocols import answer_within
from ._tables import WitnessList, witness_key
from ._timing import STORE_TIMEOUT_S

MAX_WITNESSES = 5
"""Maximum number of witnesses. Two of five may be lost; more would only cost
messages."""

CHECK_INTERVAL_S = 1.0
"""Interval at which one host of the domain checks the list."""

REPLACE_AFTER_S = 10.0
"""Time without a message after which a witness is replaced. It is longer than a
restart takes."""


def next_list(
    witnesses: WitnessList, *, listed: Iterable[str], live: Iterable[str]
) -> WitnessList | None:
    """Return the list with one host changed, or None if no change is needed.

    ``listed`` are the hosts in the platform's list, ``live`` those that have been live
    within ``REPLACE_AFTER_S``.

    >>> now = WitnessList(hosts=("a", "b", "c"))
    >>> next_list(now, listed=["a", "b", "d"], live=["a", "b", "d"]).hosts
    ('a', 'b', 'd')
    >>> next_list(now, listed=["a", "b", "c"], live=["a", "b"]) is None
    True
    """
    usable = [host for host in live if host in set(listed)]
    spare = [host for host in usable if host not in witnesses.hosts]
    gone = [host for host in witnesses.hosts if host not in usable]
    hosts = list(witnesses.hosts)
    if gone and spare:
        hosts[hosts.index(gone[0])] = spare[0]
    elif spare and len(hosts) < MAX_WITNESSES:
        hosts.append(spare[0])
    else:
        return None
    return WitnessList(hosts=tuple(hosts), leaving=witnesses.hosts, lost=witnesses.lost)


async def declare_lost(
    context: Context, fanout: Fanout, domain: str, *, lost: bool
) -> None:
    """Record in a domain's witness list whether an operator declared it lost.

    Raises the errors of the store. After ``OutcomeUnknownError`` the call may be
    repeated, since it reads the current value first.
    """
    key = witness_key(domain)
    found = await answer_within(
        context.clock,
        STORE_TIMEOUT_S,
        context.store.get(context.prefix + key),
        step="declare domain lost",
        peer=key,
    )
    if found is None:
        raise InputError(
            f"expected a failure domain with a witness list, got {domain!r};"
            f" the domains are {', '.join(context.domains)}",
            step="declare domain lost",
            peer=key,
        )
    listed = msgspec.msgpack.decode(found.value, type=WitnessList)
    if listed.lost is not lost:
        changed = msgspec.structs.replace(listed, lost=lost)
        found = await answer_within(
            context.clock,
            STORE_TIMEOUT_S,
            context.store.compare_and_swap(
                context.prefix + key,
                msgspec.msgpack.encode(changed),
                expected_revision=found.revision,
            ),
            step="declare domain lost",
            peer=key,
        )
    item = Item(key, found.revision, found.value)
    context.tables.install(item)
    context.log("domain-declared", domain=domain, lost=lost)
    fanout.broadcast_item(item)


@final
class WitnessListKeeper:
    """Writes the initial witness list of this host's domain and its later changes."""

    def __init__(
        self, *, context: Context, announcer: Announcer, fanout: Fanout
    ) -> None:
        self._context = context
        self._fanout = fanout
        self._announcer = announcer
        self._key = witness_key(context.host.domain)
        self._due_s = float("-inf")
        self._last_live_s: dict[str, float] = {}
        self._is_checking = False

    def tick(self, *, has_read: bool) -> None:
        """Check the list if this host is the one in its domain that does so."""
        context = self._context
        now_s = context.now_s
        if now_s < self._due_s:
            return
        self._due_s = now_s + CHECK_INTERVAL_S
        domain = context.host.domain
        for host in context.peers.hosts_of(domain):
            if context.peers.is_live(host) or host not in self._last_live_s:
                self._last_live_s[host] = now_s
        if (
            has_read
            and not self._is_checking
            and context.is_selected("witness list", 1)
        ):
            self._is_checking = True
            Deferred.fromCoroutine(self._check())

    async def _check(self) -> None:
        try:
            await self._change()
        except GentianwharfError as error:
            self._context.log("witnesses-not-written", error=str(error))
        finally:
            self._is_checking = False

    async def _change(self) -> None:
        context = self._context
        domain = context.host.domain
        listed = context.tables.witnesses(domain)
        hosts = rendezvous_rank(domain, context.peers.hosts_of(domain))
        if listed is None:
            await self._write(WitnessList(hosts=tuple(hosts[:MAX_WITNESSES])))
            return
        if listed.leaving:
            await self._finish_change(listed)
            return
        now_s = context.now_s
        live = [
            host
            for host in hosts
            if now_s - self._last_live_s.get(host, now_s) < REPLACE_AFTER_S
        ]
        changed = next_list(listed, listed=hosts, live=live)
        if changed is not None:
            await self._write(changed)

    async def _finish_change(self, listed: WitnessList) -> None:
        revision = self._context.tables.versions[self._key]
        announcement = self._announcer.announce_list(
            domain=self._context.host.domain,
            witnesses=WitnessList(hosts=listed.leaving),
            revision=revision,
        )
        if announcement.complete_since_s is not None:
            await self._write(WitnessList(hosts=listed.hosts, lost=listed.lost))

    async def _write(self, listed: WitnessList) -> None:
        context = self._context
        written = await answer_within(
            context.clock,
            STORE_TIMEOUT_S,
            context.store.compare_and_swap(
                context.prefix + self._key,
                msgspec.msgpack.encode(listed),
                expected_revision=context.tables.versions.get(
                    self._key, ABSENT_REVISION
                ),
            ),
            step="write witnesses",
            peer=self._key,
        )
        item = Item(self._key, written.revision, written.value)
        if context.tables.install(item):
            context.log("witnesses-written", hosts=listed.hosts, revision=item.revision)
            self._fanout.broadcast_item(item)
