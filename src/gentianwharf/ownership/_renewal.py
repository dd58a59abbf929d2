"""Probing the servers of this host's own domain and renewing their grants."""

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
"""Hosts that renew each server's grants, so that losing one is not felt."""


@final
class Renewal:
    """Keeps the servers' grants alive for as long as this host's right is.

    Needs no store: it goes on from what the tables say. ``told_of`` names the hosts
    that are told of a service's servers that do not answer: its control holder, and
    those that would follow it.
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
        self._of_domain = [
            server
            for server in context.servers.values()
            if server.domain == context.host.domain
            and context.services[server.service].keyed
        ]
        self._own: list[BackendServer] = []
        self._live: tuple[str, ...] = ()
        self._due_s: dict[str, float] = {}
        self._busy: set[str] = set()
        self._missing_s: dict[str, float] = {}

    def tick(self) -> None:
        """Probe and renew what is due."""
        context = self._context
        live = context.own_live_hosts()
        if live != self._live:
            # At each tick it would be a look at every server of the domain, of which
            # there are about as many as hosts.
            self._live = live
            self._own = [
                one for one in self._of_domain if context.is_among(one.id, RENEWERS)
            ]
        now_s = context.now_s
        for server in self._own:
            if now_s < self._due_s.get(server.id, 0.0) or server.id in self._busy:
                continue
            self._due_s[server.id] = now_s + RENEW_EVERY_S
            self.probe(server)

    def probe(
        self, server: BackendServer, *, asker: str = "", is_second: bool = False
    ) -> None:
        """Probe ``server`` at once and renew its grants if it answers.

        ``is_second`` says that another host's probe went unanswered before: then a
        single one without an answer is enough to suspect the server. ``asker`` is told
        of it too.
        """
        if server.id in self._busy:
            return
        self._busy.add(server.id)
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
                self._tell(server, Leaving(server=server.id))
            await self._renew(server, report, heard_s=context.now_s)
        except GentianwharfError as error:
            if context.lag.was_paused(
                begun_s=begun_s, timeout_s=timeout_s, now_s=context.now_s
            ):
                # The answer may wait in the socket: this host has no evidence.
                return
            context.log("probe-failed", server=server.id, error=str(error))
            is_suspect = self._evidence.note(server.id, answered=False)
            if is_suspect or is_second:
                self._tell(server, Suspect(server=server.id), also=asker)
            if not is_second:
                self._ask_others(server)
            if not is_suspect:
                # Not at the next renewal: the keys are unserved while evidence is
                # gathered.
                context.clock.callLater(0, self.probe, server)
        finally:
            self._busy.discard(server.id)

    def _tell(self, server: BackendServer, message: Message, also: str = "") -> None:
        told = dict.fromkeys([*self._told_of(server.service), also])
        for host in told:
            if host:
                self._context.send(host, message)

    def _ask_others(self, server: BackendServer) -> None:
        told = self._told_of(server.service)
        witnesses = self._context.tables.witnesses(server.domain)
        for host in witnesses.all() if witnesses and told else ():
            if host != self._context.host.id:
                self._context.send(host, Probe(server=server.id, control=told[0]))

    async def _renew(
        self, server: BackendServer, report: ServerReport, *, heard_s: float
    ) -> None:
        context = self._context
        tokens = self._tokens_to_renew(server, report, heard_s)
        until_s = context.rights.until_s(server.domain)
        if not tokens or heard_s >= until_s:
            return
        missing = any(shard not in report.held for shard in tokens)
        if not (server.knows_validity or missing):
            return
        grant = Grant(
            service=server.service,
            giver=context.host.id,
            term=0,
            tokens=tokens,
            # From a stamp read before ``heard_s``, so the grant ends before the
            # right that it rests on, however late it arrives.
            validity_s=until_s - heard_s,
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
        self, server: BackendServer, report: ServerReport, heard_s: float
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
            self._missing_s.pop(server.id, None)
            return held
        # A server that started cold has forgotten its shards, and also that it
        # released some. This host's table may be the older one: only a right asked
        # for after the loss was seen shows that no release was announced before.
        since_s = self._missing_s.setdefault(server.id, heard_s)
        if self._context.rights.asked_s(server.domain) < since_s:
            return held
        del self._missing_s[server.id]
        return held | lacking
