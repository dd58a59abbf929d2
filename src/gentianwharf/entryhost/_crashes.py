"""Finds out whether a server has ended, once connections to it have."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from gentianwharf.logs import log
from gentianwharf.quarantine import CrashEvidence, RequestName
from gentianwharf.relay import ProbeResult, ServerConnectionPool
from gentianwharf.topology import BackendServer

PROBE_DELAY_S = 0.01
"""A process that ends closes its connections and its port one after the other."""

PROBE_TIMEOUT_S = 0.15

PROBE_KEPT_S = 0.05
"""A proxy before the server accepts a connection, and closes it once the server has
refused its own."""

PENDING_S = 10.0
"""How long the directory may prove an end that no connection has proved: an entry
lapses after three heartbeats, and the server starts again after some seconds."""

MAX_PENDING = 200


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class LostRequest:
    """A request whose connection ended before its whole answer had arrived."""

    request_id: str
    lost_s: float
    is_permitted: bool


@final
@dataclass(kw_only=True, slots=True, eq=False)
class SuspectedCrash:
    """A server whose connections ended, and the requests that were lost with them."""

    server: BackendServer
    incarnation: str
    lost_s: float
    lost: dict[RequestName, LostRequest] = field(default_factory=dict)
    waiting: "list[Deferred[None]]" = field(default_factory=list)
    is_settled: bool = False
    """Whether it is known, here and elsewhere, or can't be known soon."""
    evidence: CrashEvidence | None = None

    def settle(self) -> None:
        """Resume the requests that wait for the evidence."""
        self.is_settled = True
        waiting, self.waiting = self.waiting, []
        for done in waiting:
            if not done.called:
                done.callback(None)


CrashListener = Callable[[SuspectedCrash], "Deferred[None]"]
"""Called with a crash that is proved; the result fires once other hosts know it."""


@final
class CrashDetector:
    """Proves ends of servers, by a connection that is refused or by their entries.

    ``incarnation_of`` returns what identifies a server from its start to its end.
    """

    def __init__(
        self,
        *,
        incarnation_of: Callable[[BackendServer], str],
        pool_of: Callable[[str], ServerConnectionPool | None],
        on_crash: CrashListener,
        reactor: Any,
    ) -> None:
        self.probes = 0
        self._incarnation_of = incarnation_of
        self._pool_of = pool_of
        self._on_crash = on_crash
        self._reactor = reactor
        self._suspected: dict[str, SuspectedCrash] = {}

    def note_lost(
        self,
        server: BackendServer,
        name: RequestName,
        request_id: str,
        *,
        is_permitted: bool,
    ) -> SuspectedCrash:
        """Record that a request was lost with its connection."""
        incarnation = self._incarnation_of(server)
        now_s = self._reactor.seconds()
        lost = LostRequest(
            request_id=request_id, lost_s=now_s, is_permitted=is_permitted
        )
        crash = self._suspected.get(incarnation)
        if crash is not None and crash.evidence is not None:
            # Proved before; this request was lost a little later.
            late = SuspectedCrash(
                server=server,
                incarnation=incarnation,
                lost_s=crash.lost_s,
                evidence=crash.evidence,
            )
            late.lost[name] = lost
            self._report(late)
            return late
        if crash is None or crash.is_settled:
            former = crash
            crash = self._suspect(server, incarnation)
            if former is not None:
                crash.lost.update(former.lost)
        crash.lost[name] = lost
        return crash

    def _suspect(self, server: BackendServer, incarnation: str) -> SuspectedCrash:
        now_s = self._reactor.seconds()
        self._drop_old(now_s)
        crash = SuspectedCrash(server=server, incarnation=incarnation, lost_s=now_s)
        self._suspected[incarnation] = crash
        probing = Deferred.fromCoroutine(self._probe(crash))
        probing.addErrback(_give_up, crash)
        return crash

    def _drop_old(self, now_s: float) -> None:
        for incarnation, crash in list(self._suspected.items()):
            if now_s > crash.lost_s + PENDING_S or len(self._suspected) > MAX_PENDING:
                del self._suspected[incarnation]
            else:
                break

    async def _probe(self, crash: SuspectedCrash) -> None:
        await deferLater(self._reactor, PROBE_DELAY_S)
        pool = self._pool_of(crash.server.id)
        if pool is None or crash.evidence is not None:
            crash.settle()
            return
        self.probes += 1
        probe = await pool.probe(PROBE_TIMEOUT_S)
        if crash.evidence is not None:
            return
        if probe.result is ProbeResult.REFUSED:
            self._prove(crash, CrashEvidence.REFUSED)
            return
        crash.settle()
        if probe.result is ProbeResult.OPENED:
            await deferLater(self._reactor, PROBE_KEPT_S)
            is_alive = not probe.was_closed()
            if is_alive and self._suspected.get(crash.incarnation) is crash:
                del self._suspected[crash.incarnation]

    def note_entry_ended(self, incarnation: str, *, has_restarted: bool) -> None:
        """Record that a server started again, or is no longer listed."""
        crash = self._suspected.get(incarnation)
        if crash is None or crash.evidence is not None:
            return
        if self._reactor.seconds() > crash.lost_s + PENDING_S:
            return
        evidence = CrashEvidence.NOT_LISTED
        if has_restarted:
            evidence = CrashEvidence.STARTED_AGAIN
        self._prove(crash, evidence)

    def _prove(self, crash: SuspectedCrash, evidence: CrashEvidence) -> None:
        crash.evidence = evidence
        since_s = self._reactor.seconds() - PENDING_S
        crash.lost = {
            name: lost for name, lost in crash.lost.items() if lost.lost_s >= since_s
        }
        self._report(crash)

    def _report(self, crash: SuspectedCrash) -> None:
        self._on_crash(crash).addBoth(lambda _: crash.settle())


def _give_up(failure: Failure, crash: SuspectedCrash) -> None:
    log.error("error while probing a server: {}", failure.getTraceback())
    crash.settle()
