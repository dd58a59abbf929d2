"""Probes the servers of this host's own domain and renews their grants."""

from collections.abc import Callable, Sequence
from typing import final

from twisted.internet.defer import Deferred

from gentianwharf.errors import GentianwharfError
from gentianwharf.infra import Grant, ServerReport
from gentianwharf.topology import BackendServer

from ._context import Context
from ._evidence import OwnEvidence
from ._messages import Leaving, Message, Probe, Suspect
from ._protocols import answer_within
from ._table import EntryState
from ._timing import ORDER_LIFE_S, RENEW_EVERY_S

RENEWERS = 2
"""Hosts that renew each server's grants, so that the loss of one has no effect."""


@final
class Renewal:
    """Renews the servers' grants for as long as this host's right is valid.

    Renewal works from the tables and does not need the store. ``told_of`` returns the
    hosts that are notified about unresponsive servers of a service: its control holder
    and the hosts that would take over control.
    """

    def __init__(
        self,
        *,
        context: Context,
        evidence: OwnEvidence,
        told_of: Callable[[str], Sequence[str]],
    ) -> None:
        self._context = context
        self._evidence = evidence
        self._told_of = told_of
        self._domain_servers = [
            server
            for server in context.servers.values()
            if server.domain == context.host.domain
            and context.services[server.service].keyed
        ]
        self._own: list[BackendServer] = []
        self._live: tuple[str, ...] = ()
        self._due_s: dict[str, float] = {}
        self._in_progress: set[str] = set()
        self._missing_since_s: dict[str, float] = {}

    def tick(self) -> None:
        """Probe the servers that are due and renew their grants."""
        context = self._context
        live = context.own_live_hosts()
        if live != self._live:
            # Done only on a change: the domain has about as many servers as hosts, too
            # many to check at each tick.
            self._live = live
            self._own = [
                server
                for server in self._domain_servers
                if context.is_selected(server.id, RENEWERS)
            ]
        now_s = context.now_s
        for server in self._own:
            if (
                now_s < self._due_s.get(server.id, 0.0)
                or server.id in self._in_progress
            ):
                continue
            self._due_s[server.id] = now_s + RENEW_EVERY_S
            self.probe(server)

    def probe(
        self, server: BackendServer, *, asker: str = "", is_second: bool = False
    ) -> None:
        """Probe ``server`` at once and renew its grants if it answers.

        ``is_second`` means that a probe by another host went unanswered before, so that
        a single failure is enough to suspect the server. The host ``asker`` is notified
        of the suspicion too.
        """
        if server.id in self._in_progress:
            return
        self._in_progress.add(server.id)
        Deferred.fromCoroutine(self._probe(server, asker, is_second))

    async def _probe(self, server: BackendServer, asker: str, is_second: bool) -> None:
        context = self._context
        begun_s, timeout_s = context.now_s, context.order_timeout_s
        try:
            report = await answer_within(
                context.clock,
                timeout_s,
                context.control.report(server),
                step="probe",
                peer=server.id,
            )
            self._evidence.note(server.id, answered=True)
            if report.draining:
                self._notify(server, Leaving(server=server.id))
            await self._renew(server, report, answered_s=context.now_s)
        except GentianwharfError as error:
            if context.lag.was_paused(
                begun_s=begun_s, timeout_s=timeout_s, now_s=context.now_s
            ):
                # The answer may be unread in the socket, so the timeout is no evidence.
                return
            context.log("probe-failed", server=server.id, error=str(error))
            is_suspect = self._evidence.note(server.id, answered=False)
            if is_suspect or is_second:
                self._notify(server, Suspect(server=server.id), also=asker)
            if not is_second:
                self._request_probes(server)
            if not is_suspect:
                # Probe again without waiting for the next renewal, because the keys
                # are unserved until there is enough evidence.
                context.clock.callLater(0, self.probe, server)
        finally:
            self._in_progress.discard(server.id)

    def _notify(self, server: BackendServer, message: Message, also: str = "") -> None:
        recipients = dict.fromkeys([*self._told_of(server.service), also])
        for host in recipients:
            if host:
                self._context.send(host, message)

    def _request_probes(self, server: BackendServer) -> None:
        recipients = self._told_of(server.service)
        witnesses = self._context.tables.witnesses(server.domain)
        for host in witnesses.all() if witnesses and recipients else ():
            if host != self._context.host.id:
                self._context.send(host, Probe(server=server.id, control=recipients[0]))

    async def _renew(
        self, server: BackendServer, report: ServerReport, *, answered_s: float
    ) -> None:
        context = self._context
        tokens = self._tokens_to_renew(server, report, answered_s)
        until_s = context.rights.until_s(server.domain)
        if not tokens or answered_s >= until_s:
            return
        missing = any(shard not in report.held for shard in tokens)
        if not (server.knows_validity or missing):
            return
        grant = Grant(
            service=server.service,
            giver=context.host.id,
            term=0,
            tokens=tokens,
            # Counted from a server timestamp read before ``answered_s``, so the grant
            # ends before the right that it depends on, however late it arrives.
            validity_s=until_s - answered_s,
            server_stamp_s=report.stamp_s if server.gives_stamp else None,
            void_after_stamp_s=(
                report.stamp_s + ORDER_LIFE_S if server.gives_stamp else None
            ),
        )
        await answer_within(
            context.clock,
            context.order_timeout_s,
            context.control.grant(server, grant),
            step="renew",
            peer=server.id,
        )

    def _tokens_to_renew(
        self, server: BackendServer, report: ServerReport, answered_s: float
    ) -> dict[int, int]:
        owned = {
            shard: entry
            for shard, entry in self._context.tables.owned_by(
                server.service, server.id
            ).items()
            if entry.state is not EntryState.LAPSING
        }
        held = {
            shard: entry.token
            for shard, entry in owned.items()
            if report.held.get(shard) == entry.token
        }
        lacking = {
            shard: entry.token
            for shard, entry in owned.items()
            if shard not in report.held and entry.state is EntryState.OWNED
        }
        if not lacking:
            self._missing_since_s.pop(server.id, None)
            return held
        # A restarted server has lost its shards, and also the record of those that it
        # released. This host's table may be out of date: only a right requested after
        # the loss was seen shows that no release was announced before.
        since_s = self._missing_since_s.setdefault(server.id, answered_s)
        if self._context.rights.asked_s(server.domain) < since_s:
            return held
        del self._missing_since_s[server.id]
        return held | lacking
