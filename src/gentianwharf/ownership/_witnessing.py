"""A host's share in its domain's rights: asking, answering, recovering."""

from typing import final

from gentianwharf.placement import rendezvous_rank

from ._context import Context
from ._messages import (
    Acknowledge,
    Announce,
    Pull,
    RecoverAnswer,
    RecoverAsk,
    RightAnswer,
    RightAsk,
    ShareAnswer,
    ShareAsk,
    VersionsWanted,
)
from ._rights import knows_newer
from ._tables import WitnessList, witness_key
from ._timing import RIGHT_ASK_EVERY_S

ASKERS = 2
"""Hosts of a domain that ask the witnesses; one may be lost without being felt."""

FAN_OUT = 16
"""Hosts that ask one host for a share, twice that when its neighbour is lost. Two
steps reach 546 hosts a domain; each step costs up to one round of 100 ms."""

ASK_DIRECTLY_BELOW_S = 0.12
"""What must be left of a right for a host to rely on shares: one more round."""

RECOVER_EVERY_S = 0.2
"""How often a witness without memory asks the others, while the store is down."""


@final
class Witnessing:
    """Asks every domain's witnesses for rights and answers as a witness."""

    def __init__(self, *, context: Context) -> None:
        self._context = context
        self._ask_due_s = float("-inf")
        self._recover_due_s = float("-inf")
        self._live: tuple[str, ...] = ()
        self._kept_sharers: list[str] = []

    def tick(self) -> None:
        """Ask for rights; recover a lost memory."""
        context = self._context
        now_s = context.now_s
        own = context.tables.witnesses(context.host.domain)
        context.witness.note_list(own)
        if now_s >= self._ask_due_s:
            self._ask_due_s = now_s + RIGHT_ASK_EVERY_S
            self._ask_all(now_s)
        lacks_memory = own is not None and not context.witness.has_memory
        if own is not None and lacks_memory and now_s >= self._recover_due_s:
            self._recover_due_s = now_s + RECOVER_EVERY_S
            self._recover(own)

    def _ask_all(self, now_s: float) -> None:
        context = self._context
        if not context.tables.versions:
            self._pull_from_peers()
        sharers = self._sharers()
        if sharers:
            share_ask = context.rights.ask_share_briefly(
                checksum=context.tables.checksum, now_s=now_s
            )
            for host in sharers:
                context.send(host, share_ask)
        for domain in context.domains:
            witnesses = context.tables.witnesses(domain)
            left_s = context.rights.until_s(domain) - now_s
            if witnesses is None or (sharers and left_s > ASK_DIRECTLY_BELOW_S):
                continue
            ask = context.rights.ask_briefly(
                domain=domain,
                witnesses=witnesses,
                checksum=context.tables.checksum,
                now_s=now_s,
            )
            for host in witnesses.all():
                context.send(host, ask)

    def _sharers(self) -> list[str]:
        """Return the hosts that this one asks for what is left of their rights.

        The first ``ASKERS`` of the domain's hosts, by rendezvous order, ask the
        witnesses; each other one asks two of those ``FAN_OUT`` times nearer to them.
        So no host is asked by more than a few, however many the domain has.
        """
        live = self._context.own_live_hosts()
        if live is not self._live:
            self._live = live
            self._kept_sharers = self._find_sharers(live)
        return self._kept_sharers

    def _find_sharers(self, live: tuple[str, ...]) -> list[str]:
        ranked = rendezvous_rank("rights", live)
        if self._context.host.id not in ranked:
            return []
        position = ranked.index(self._context.host.id)
        if position < ASKERS:
            return []
        nearer = (position - ASKERS) // FAN_OUT
        other = nearer + 1 if nearer % 2 == 0 else nearer - 1
        return [ranked[one] for one in (nearer, other) if one < position]

    def _pull_from_peers(self) -> None:
        for host in self._context.peers.hosts_of(self._context.host.domain):
            if host != self._context.host.id:
                self._context.peers.send(host, Pull(versions={}))

    def _recover(self, witnesses: WitnessList) -> None:
        context = self._context
        if not context.witness.is_listed:
            return
        ask = RecoverAsk(
            domain=context.host.domain, incarnation=context.witness.incarnation
        )
        for host in witnesses.all():
            if host != context.host.id:
                context.peers.send(host, ask)

    def asked(self, host: str, ask: RightAsk) -> None:
        """Answer a host that asks for a right, and bring it up to date."""
        context = self._context
        if ask.domain != context.host.domain or not context.witness.is_listed:
            return
        if not self._can_compare(ask):
            wanted = VersionsWanted(domain=ask.domain, round=ask.round)
            context.send(host, wanted)
            return
        context.send(host, context.witness.answer(ask, context.tables))
        self._bring_up_to_date(host, ask)

    def share_asked(self, host: str, ask: ShareAsk) -> None:
        """Pass on what is left, unless the other host's versions are older."""
        context = self._context
        if not self._can_compare(ask):
            context.send(host, VersionsWanted(domain=None, round=ask.round))
            return
        if not knows_newer(context.tables, ask):
            context.send(host, context.rights.share(ask, context.now_s))
        self._bring_up_to_date(host, ask)

    def _can_compare(self, ask: RightAsk | ShareAsk) -> bool:
        # A checksum that differs does not say who is newer; the same round goes on
        # with all versions, a round trip later.
        is_same = ask.checksum == self._context.tables.checksum
        return is_same or ask.versions is not None

    def _bring_up_to_date(self, host: str, ask: RightAsk | ShareAsk) -> None:
        context = self._context
        if ask.versions is None:
            return
        context.send_items(host, context.tables.newer_than(ask.versions))
        if not context.tables.knows(ask.versions):
            context.send(host, Pull(versions=dict(context.tables.versions)))

    def versions_wanted(self, host: str, wanted: VersionsWanted) -> None:
        """Ask again with all versions, since the other host's are not the same."""
        context = self._context
        ask = context.rights.ask_fully(wanted, context.tables)
        if ask is not None:
            context.send(host, ask)

    def share_answered(self, host: str, answer: ShareAnswer) -> None:
        """Take what another host passes on."""
        self._context.rights.hear_share(answer)

    def answered(self, host: str, answer: RightAnswer) -> None:
        """Count a witness's answer."""
        self._context.rights.hear(host, answer)

    def announced(self, host: str, announce: Announce) -> None:
        """Take the version and acknowledge it, when this host has a memory."""
        context = self._context
        for item in announce.items:
            context.tables.install(item)
        witness = context.witness
        witness.note_list(context.tables.witnesses(context.host.domain))
        if not witness.is_listed or not witness.has_memory:
            return
        if not context.tables.knows(announce.versions):
            return
        key = witness_key(announce.domain)
        context.send(
            host,
            Acknowledge(
                domain=announce.domain,
                round=announce.round,
                incarnation=witness.incarnation,
                witness_revision=context.tables.versions.get(key, 0),
            ),
        )

    def recovery_asked(self, host: str, ask: RecoverAsk) -> None:
        """Tell a witness that lost its memory all that this one knows."""
        context = self._context
        if ask.domain == context.host.domain and context.witness.has_memory:
            context.send_items(host, context.tables.newer_than({}))
            answer = RecoverAnswer(
                domain=ask.domain,
                incarnation=ask.incarnation,
                versions=dict(context.tables.versions),
            )
            context.send(host, answer)

    def recovery_answered(self, host: str, answer: RecoverAnswer) -> None:
        """Count a witness whose knowledge has all arrived; ask again otherwise."""
        context = self._context
        if not context.tables.knows(answer.versions):
            return
        own = context.tables.witnesses(context.host.domain)
        if own is not None and answer.incarnation == context.witness.incarnation:
            context.witness.recovered_from(host, own)
