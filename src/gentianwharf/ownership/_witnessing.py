"""A host's share in its domain's rights: asking, answering, recovering."""

from typing import final

from ._context import Context
from ._messages import (
    Acknowledge,
    Announce,
    Items,
    Pull,
    RecoverAnswer,
    RecoverAsk,
    RightAnswer,
    RightAsk,
)
from ._tables import WitnessList, witness_key
from ._timing import RIGHT_ASK_EVERY_S

RECOVER_EVERY_S = 0.2
"""How often a witness without memory asks the others, while the store is down."""


@final
class Witnessing:
    """Asks every domain's witnesses for rights and answers as a witness."""

    def __init__(self, *, context: Context) -> None:
        self._context = context
        self._ask_due_s = float("-inf")
        self._recover_due_s = float("-inf")

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
        for domain in context.domains:
            witnesses = context.tables.witnesses(domain)
            if witnesses is None:
                continue
            ask = context.rights.ask(
                domain=domain,
                witnesses=witnesses,
                versions=context.tables.versions,
                now_s=now_s,
            )
            for host in witnesses.all():
                context.send(host, ask)

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
        context.send(host, context.witness.answer(ask, context.tables))
        newer = context.tables.newer_than(ask.versions)
        if newer:
            context.send(host, Items(items=newer))
        if not context.tables.knows(ask.versions):
            context.send(host, Pull(versions=dict(context.tables.versions)))

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
            items = context.tables.newer_than({})
            context.send(
                host,
                RecoverAnswer(
                    domain=ask.domain, incarnation=ask.incarnation, items=items
                ),
            )

    def recovery_answered(self, host: str, answer: RecoverAnswer) -> None:
        """Take what another witness knows."""
        context = self._context
        for item in answer.items:
            context.tables.install(item)
        own = context.tables.witnesses(context.host.domain)
        if own is not None and answer.incarnation == context.witness.incarnation:
            context.witness.recovered_from(host, own)
