"""Answers requests for rights and shares, and recovers a witness's memory."""

from typing import final

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
from ._rights import knows_newer, shorten
from ._tables import WitnessList, witness_key, witnessed_in

RECOVERY_INTERVAL_S = 0.2
"""Interval at which a witness without a memory asks the other witnesses, while the
store is unavailable."""


@final
class Witnessing:
    """Answers requests as a witness, and shares this host's remaining rights."""

    def __init__(self, *, context: Context) -> None:
        self._context = context
        self._recover_due_s = float("-inf")

    def tick(self) -> None:
        """Ask the other witnesses for their versions if this one has no memory."""
        context = self._context
        now_s = context.now_s
        own = context.tables.witnesses(context.host.domain)
        context.witness.note_list(own)
        lacks_memory = own is not None and not context.witness.has_memory
        if own is not None and lacks_memory and now_s >= self._recover_due_s:
            self._recover_due_s = now_s + RECOVERY_INTERVAL_S
            self._request_recovery(own)

    def _request_recovery(self, witnesses: WitnessList) -> None:
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
        """Answer a request for a right, and send newer values to its host."""
        context = self._context
        if ask.domain != context.host.domain or not context.witness.is_listed:
            return
        if not self._can_compare(ask):
            wanted = VersionsWanted(domain=ask.domain, round=ask.round, is_share=False)
            context.send(host, wanted)
            return
        context.send(host, context.witness.answer(ask, context.tables))
        self._send_newer(host, ask)

    def share_asked(self, host: str, ask: ShareAsk) -> None:
        """Share the remaining rights, unless the other host's versions are older."""
        context = self._context
        if not self._can_compare(ask):
            wanted = VersionsWanted(domain=ask.domain, round=ask.round, is_share=True)
            context.send(host, wanted)
            return
        if not knows_newer(context.tables, ask):
            context.send(host, self._share(ask))
        self._send_newer(host, ask)

    def _share(self, ask: ShareAsk) -> ShareAnswer:
        context = self._context
        answer = context.rights.share(ask, context.now_s)
        if ask.domain is not None:
            return answer
        if ask.versions is None:
            # An equal checksum implies equal witness lists.
            domains = context.tables.witnessed()
        else:
            domains = witnessed_in(ask.versions)
        return shorten(answer, domains, exact=context.host.domain)

    def _can_compare(self, ask: RightAsk | ShareAsk) -> bool:
        # A different checksum does not show which host is newer. The same round then
        # continues with all versions, one round trip later.
        is_same = ask.checksum == self._context.tables.checksum
        return is_same or ask.versions is not None

    def _send_newer(self, host: str, ask: RightAsk | ShareAsk) -> None:
        context = self._context
        if ask.versions is None:
            return
        context.send_items(host, context.tables.newer_than(ask.versions))
        if not context.tables.knows(ask.versions):
            context.send(host, Pull(versions=dict(context.tables.versions)))

    def versions_wanted(self, host: str, wanted: VersionsWanted) -> None:
        """Repeat a request with all versions, since the other host's differ."""
        context = self._context
        ask = context.rights.ask_fully(wanted, context.tables)
        if ask is not None:
            context.send(host, ask)

    def answered(self, host: str, answer: RightAnswer) -> None:
        """Record a witness's answer."""
        self._context.rights.hear(host, answer)

    def announced(self, host: str, announce: Announce) -> None:
        """Apply the announced values and acknowledge them if this host has a memory."""
        context = self._context
        for item in announce.items:
            context.install(item)
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
        """Send all values and versions to a witness that lost its memory."""
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
        """Record a witness if its values have arrived; otherwise it is asked again."""
        context = self._context
        if not context.tables.knows(answer.versions):
            return
        own = context.tables.witnesses(context.host.domain)
        if own is not None and answer.incarnation == context.witness.incarnation:
            context.witness.recovered_from(host, own)
