"""Finds out whether a server has ended, once connections to it have."""

from collections import deque
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

PROBE_DELAYS_S = (0.01, 0.1)
"""From a loss, or the first probe, to the next one. A process that ends closes its
connections and its port one after the other, with a pause between where it is late."""

PROBE_TIMEOUT_S = 0.15

PENDING_S = 10.0
"""How long the directory may prove an end that no connection has proved: an entry
lapses after three heartbeats, and the server starts again after some seconds."""

ALIVE_WITHIN_S = 1.0
"""An answer to a request that was sent this long after a loss is of the same
incarnation: no server starts again so soon."""

ABANDONED_S = 5.0
"""How long before the end of a server was noticed an abandoned request may have run
there: an entry lapses after three heartbeats."""

MAX_PENDING = 200
MAX_ABANDONED = 500


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class LostRequest:
    """A request at a server, of which no whole answer will arrive."""

    request_id: str
    lost_s: float
    try_id: str = ""
    """That of its permitted try, empty where other copies may have run."""


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


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class _AbandonedRequest:
    """A request whose connection this host closed before the whole answer."""

    server: BackendServer
    incarnation: str
    name: RequestName
    lost: LostRequest


CrashListener = Callable[[SuspectedCrash], "Deferred[bool]"]
"""Called with a crash that is proved; the result fires once other hosts know it."""


@final
class CrashDetector:
    """Proves ends of servers, by a connection that is refused or by their entries.

    ``has_ended`` returns whether the end of an incarnation is known.
    """

    def __init__(
        self,
        *,
        has_ended: Callable[[str], bool],
        pool_of: Callable[[str], ServerConnectionPool | None],
        on_crash: CrashListener,
        reactor: Any,
    ) -> None:
        self.probes = 0
        self._has_ended = has_ended
        self._pool_of = pool_of
        self._on_crash = on_crash
        self._reactor = reactor
        self._suspected: dict[str, SuspectedCrash] = {}
        self._abandoned: deque[_AbandonedRequest] = deque(maxlen=MAX_ABANDONED)

    def note_lost(
        self,
        server: BackendServer,
        incarnation: str,
        name: RequestName,
        lost: LostRequest,
    ) -> SuspectedCrash:
        """Record that a request was lost with its connection.

        ``incarnation`` identifies the server from its start to its end.
        """
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

    def note_abandoned(
        self,
        server: BackendServer,
        incarnation: str,
        name: RequestName,
        lost: LostRequest,
    ) -> None:
        """Record that this host closed the connection of a request in flight.

        That proves nothing, but the server may end under the request, or have ended
        without a sign.
        """
        self._abandoned.append(
            _AbandonedRequest(
                server=server, incarnation=incarnation, name=name, lost=lost
            )
        )
        if self._has_ended(incarnation):
            self._prove_abandoned(incarnation, CrashEvidence.NOT_LISTED)

    def note_answered(self, incarnation: str, sent_s: float) -> None:
        """Record a whole answer to a request that was sent at ``sent_s``."""
        crash = self._suspected.get(incarnation)
        if (
            crash is not None
            and crash.evidence is None
            and crash.is_settled
            and crash.lost_s < sent_s <= crash.lost_s + ALIVE_WITHIN_S
        ):
            del self._suspected[incarnation]

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
        """Look for the end of a server; requests wait for the first probe only."""
        for delay_s in PROBE_DELAYS_S:
            await deferLater(self._reactor, delay_s)
            pool = self._pool_of(crash.server.id)
            is_open = self._suspected.get(crash.incarnation) is crash
            if pool is None or crash.evidence is not None or not is_open:
                break
            self.probes += 1
            probe = await pool.probe(PROBE_TIMEOUT_S)
            if crash.evidence is not None:
                return
            if probe.result is ProbeResult.REFUSED:
                self._prove(crash, CrashEvidence.REFUSED)
                return
            if self._has_ended(crash.incarnation):
                self._prove(crash, CrashEvidence.NOT_LISTED)
                return
            crash.settle()
        crash.settle()

    def note_ended(self, incarnation: str, evidence: CrashEvidence) -> None:
        """Record the end of a server that its entry, or another host, has proved."""
        crash = self._suspected.get(incarnation)
        if crash is None:
            self._prove_abandoned(incarnation, evidence)
        elif (
            crash.evidence is None
            and self._reactor.seconds() <= crash.lost_s + PENDING_S
        ):
            self._prove(crash, evidence)

    def _prove_abandoned(self, incarnation: str, evidence: CrashEvidence) -> None:
        """Report the end of a server that only abandoned requests were at."""
        found = [
            abandoned
            for abandoned in self._abandoned
            if abandoned.incarnation == incarnation
        ]
        if found:
            crash = SuspectedCrash(
                server=found[0].server,
                incarnation=incarnation,
                lost_s=found[0].lost.lost_s,
            )
            self._prove(crash, evidence)

    def _prove(self, crash: SuspectedCrash, evidence: CrashEvidence) -> None:
        crash.evidence = evidence
        since_s = self._reactor.seconds() - PENDING_S
        crash.lost = {
            name: lost for name, lost in crash.lost.items() if lost.lost_s >= since_s
        }
        self._add_abandoned(crash)
        if crash.lost:
            self._report(crash)
        else:
            crash.settle()

    def _add_abandoned(self, crash: SuspectedCrash) -> None:
        """Add what this host had left at the server when it may have ended."""
        since_s = self._reactor.seconds() - ABANDONED_S
        kept = []
        for abandoned in self._abandoned:
            if abandoned.incarnation != crash.incarnation:
                kept.append(abandoned)
            elif abandoned.lost.lost_s >= since_s:
                crash.lost.setdefault(abandoned.name, abandoned.lost)
        self._abandoned = deque(kept, maxlen=MAX_ABANDONED)

    def _report(self, crash: SuspectedCrash) -> None:
        self._on_crash(crash).addBoth(lambda _: crash.settle())


def _give_up(failure: Failure, crash: SuspectedCrash) -> None:
    log.error("error while probing a server: {}", failure.getTraceback())
    crash.settle()
