"""Refuses requests under which servers end, and runs suspected ones one at a time."""

import time
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, final

from twisted.internet.defer import Deferred, succeed

from gentianwharf.logs import log
from gentianwharf.platform import ServerEntry
from gentianwharf.quarantine import (
    MAX_CRASHES,
    CrashEvidence,
    CrashRecords,
    Record,
    RequestName,
    ServerCrash,
    WholeRuns,
)
from gentianwharf.relay import (
    GuardedRun,
    RecallableExchange,
    ServerConnectionPool,
)
from gentianwharf.topology import BackendServer

from ._counted_tries import CountedTries
from ._crash_reports import crash_of, recent_reports, recent_tries, report_of, try_of
from ._crashes import CrashDetector, SuspectedCrash
from ._guarded_run import HostGuardedRun
from ._host_links import HostLinks
from ._membership import Dial
from ._peer_messages import (
    ClearReport,
    CrashReport,
    HostAddress,
    QuarantineMessage,
    QuarantineNews,
    RecordsReply,
    RecordsRequest,
    TryReport,
)
from ._peers import Peers
from ._quarantine_news import NewsSender
from ._records_exchange import RecordsExchange
from ._run_admission import RunAdmission
from ._run_permits import RunPermits
from ._suspicions import Suspicions

REPEAT_INTERVAL_S = 2.0
REPEATED_S = 10.0
"""The leader repeats news of this age: hosts may have stood still or just started."""

MAX_REPEATED = 200
MAX_REPLY = 1_000

EntryLookup = Callable[[str], ServerEntry | None]
PoolLookup = Callable[[str], ServerConnectionPool | None]


@final
class HostQuarantine:
    """An entry host's part in the quarantine; ``tick`` is called about every 50 ms.

    ``listed`` returns the hosts in the list from the store, ``knows_hosts`` whether
    the store was read.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        entry_of: EntryLookup,
        pool_of: PoolLookup,
        listed: Callable[[], Sequence[HostAddress]],
        knows_hosts: Callable[[], bool],
        dial: Dial,
        reactor: Any,
        rng: Random,
    ) -> None:
        self.records = CrashRecords(now_s=reactor.seconds)
        self.suspicions = Suspicions(records=self.records)
        self.on_tick: Callable[[], None] = lambda: None
        self.records.on_evicted = self._note_evicted
        self.evicted = 0
        self.detector = CrashDetector(
            has_ended=self.records.ends.is_known,
            pool_of=pool_of,
            on_crash=self._note_crash,
            reactor=reactor,
        )
        self._host = peers.identity.host
        self._peers = peers
        self._entry_of = entry_of
        self._reactor = reactor
        self._links = HostLinks(dial=dial, now_s=reactor.seconds)
        self.news = NewsSender(
            peers=peers, links=self._links, listed=listed, reactor=reactor
        )
        self._permits = RunPermits(
            identity=peers.identity, links=self._links, listed=listed, reactor=reactor
        )
        self.exchange = RecordsExchange(
            identity=peers.identity,
            links=self._links,
            listed=listed,
            reactor=reactor,
            rng=rng,
        )
        self.tries = CountedTries(
            identity=peers.identity,
            records=self.records,
            send=lambda tries: self._send(tries=tries),
            unix_ms=self._unix_ms,
            reactor=reactor,
        )
        self.admission = RunAdmission(
            records=self.records,
            permits=self._permits,
            tries=self.tries,
            reactor=reactor,
        )
        self._knows_hosts = knows_hosts
        self._whole_runs = WholeRuns()
        self._repeated_s = 0.0
        self._cleared: list[ClearReport] = []
        """Requests that other hosts are told of with the next tick."""

    def watch(self, exchange: RecallableExchange) -> GuardedRun:
        """Return the guard of a request that is served from now on."""
        run = HostGuardedRun(quarantine=self, exchange=exchange)
        self.suspicions.runs.add(run)
        return run

    def tick(self) -> None:
        """Close idle links, and repeat recent news as the leader."""
        self.on_tick()
        self._links.tick()
        self.exchange.tick(knows_hosts=self._knows_hosts())
        if self._cleared:
            cleared, self._cleared = self._cleared, []
            self._send(cleared=cleared[:MAX_REPLY])
        now_s = self._reactor.seconds()
        if self.records.is_empty or now_s < self._repeated_s + REPEAT_INTERVAL_S:
            return
        self._repeated_s = now_s
        if self._peers.broadcaster.leads:
            self._repeat(now_s)

    def stop(self) -> None:
        """Close every link."""
        self.news.stop()
        self.exchange.stop()
        self._links.close()

    # What this host finds out.

    def note_entry_ended(self, entry: ServerEntry, has_restarted: bool) -> None:
        """Record what the directory says about the end of a server."""
        incarnation = _incarnation(entry.id, entry.born_ms)
        self.records.note_end(incarnation, self._reactor.seconds())
        evidence = CrashEvidence.NOT_LISTED
        if has_restarted:
            evidence = CrashEvidence.STARTED_AGAIN
        self.detector.note_ended(incarnation, evidence)

    def note_answered(self, run: HostGuardedRun, name: RequestName) -> None:
        """Clear a request that a server has run wholly."""
        self._whole_runs.note(name.digest, self._reactor.seconds())
        record = self.records.record(name.digest)
        if record is None:
            return
        incarnations, evidence_ids = list(record.crashes), record.evidence_ids()
        if self.records.note_cleared(name.digest, evidence_ids):
            log.info(
                "request cleared by a whole run",
                extra={
                    "name": str(name),
                    "request_id": run.exchange.ticket.request_id,
                    "servers": incarnations,
                },
            )
            self.suspicions.forget(name.digest)
            # The next copy may come to another host at once, and a try that is not
            # known to have run wholly counts as an end.
            self._send(cleared=[ClearReport(name.digest, evidence_ids)])

    def _note_crash(self, crash: SuspectedCrash) -> "Deferred[bool]":
        evidence = crash.evidence
        assert evidence is not None, "only proved crashes are reported"
        reports = []
        for name, lost in crash.lost.items():
            if self._whole_runs.clears(name.digest, crash.lost_s):
                continue
            found = ServerCrash(
                incarnation=crash.incarnation,
                ended_s=crash.lost_s,
                ended_unix_ms=self._unix_ms(crash.lost_s),
                evidence=evidence,
                host=self._host,
                request_id=lost.request_id,
                service=crash.server.service,
                is_permitted=bool(lost.try_id),
                try_id=lost.try_id,
            )
            if self.records.note_crash(name, found):
                reports.append(report_of(name, found, now_s=self._reactor.seconds()))
                log.warning(
                    "server ended under a request",
                    extra={
                        "name": str(name),
                        "request_id": lost.request_id,
                        "server": crash.server.id,
                        "service": crash.server.service,
                        "evidence": str(evidence),
                        "lost_requests": len(crash.lost),
                    },
                )
        self.suspicions.apply(crash.lost)
        return self._send(crashes=reports)

    def _note_evicted(self, record: Record) -> None:
        self.evicted += 1
        if record.possible_ends >= MAX_CRASHES - 1:
            log.warning(
                "suspected request forgotten: too many others are suspected",
                extra={
                    "name": record.digest.hex(),
                    "may_have_ended": record.possible_ends,
                    "late_tries": len(record.late_tries()),
                },
            )

    # What other hosts find out.

    def handle(self, message: QuarantineMessage) -> None:
        """Handle a message of another host."""
        if isinstance(message, QuarantineNews):
            self.news.note_echo(message)
            if not message.is_relayed and self._peers.broadcaster.leads:
                self.news.relay(message)
            self._apply(message.crashes, message.tries, message.cleared)
        elif isinstance(message, RecordsRequest):
            self.exchange.answer(message, self._records_reply())
        elif isinstance(message, RecordsReply):
            self._apply(message.crashes, message.tries)
            self.exchange.note_answer(message)
        else:
            self._permits.handle(message)

    def _records_reply(self) -> RecordsReply:
        crashes, tries = self._known_since(float("-inf"))
        return RecordsReply(crashes[-MAX_REPLY:], tries[-MAX_REPLY:])

    def _known_since(self, since_s: float) -> tuple[list[CrashReport], list[TryReport]]:
        """Return what this host knows that became known after ``since_s``."""
        now_s = self._reactor.seconds()
        return (
            list(recent_reports(self.records, since_s=since_s, now_s=now_s)),
            list(recent_tries(self.records, since_s=since_s, now_s=now_s)),
        )

    def _apply(
        self,
        crashes: Iterable[CrashReport],
        tries: Iterable[TryReport] = (),
        cleared_reports: Iterable[ClearReport] = (),
    ) -> None:
        now_s = self._reactor.seconds()
        names = []
        for report in crashes:
            crash = crash_of(report, now_s=now_s)
            self.detector.note_ended(crash.incarnation, crash.evidence)
            name = RequestName(head=report.head, digest=report.digest)
            if self._whole_runs.clears(name.digest, crash.ended_s):
                evidence_ids = [report.incarnation]
                if report.try_id:
                    evidence_ids.append(report.try_id)
                self._cleared.append(ClearReport(name.digest, evidence_ids))
                self.records.note_cleared(name.digest, evidence_ids)
            elif self.records.note_crash(name, crash):
                names.append(name)
        for tried in tries:
            name = RequestName(head=tried.head, digest=tried.digest)
            self.records.note_try(name, try_of(tried, now_s=now_s))
        for cleared in cleared_reports:
            self.records.note_cleared(cleared.digest, cleared.evidence_ids)
        self.suspicions.apply(names)

    def _send(
        self,
        *,
        crashes: Sequence[CrashReport] = (),
        cleared: Sequence[ClearReport] = (),
        tries: Sequence[TryReport] = (),
    ) -> "Deferred[bool]":
        if not (crashes or cleared or tries):
            return succeed(True)
        news = QuarantineNews(
            self._host, 0, list(crashes), list(cleared), tries=list(tries)
        )
        return self.news.send(news)

    def _repeat(self, now_s: float) -> None:
        """Send recent news to all hosts again."""
        crashes, tries = self._known_since(now_s - REPEATED_S)
        self._send(crashes=crashes[-MAX_REPEATED:], tries=tries[-MAX_REPEATED:])

    # Names of servers and times.

    def seconds(self) -> float:
        """Return the time on this host's clock."""
        return float(self._reactor.seconds())

    def incarnation_of(self, server: BackendServer) -> str:
        """Return what identifies a server from its start to its end."""
        entry = self._entry_of(server.id)
        incarnation = _incarnation(server.id, entry.born_ms if entry is not None else 0)
        return self.records.ends.incarnation_at(incarnation, self._reactor.seconds())

    def _unix_ms(self, at_s: float) -> int:
        return round((time.time() - (self._reactor.seconds() - at_s)) * 1000)


def _incarnation(server_id: str, born_ms: int) -> str:
    return f"{server_id}/{born_ms}"
