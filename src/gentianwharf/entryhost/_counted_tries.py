"""Counts each write of a suspected request before it takes place.

A caller may come to another host at once, and what a try did to its server may never
be known. So all hosts are told of a try before its first byte is written; it is
withdrawn only if no byte was.
"""

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any, final

from twisted.internet.defer import Deferred

from gentianwharf.logs import log
from gentianwharf.quarantine import (
    CrashRecords,
    PermittedTry,
    RequestName,
    TryState,
)

from ._crash_reports import try_report_of
from ._peer_messages import HostIdentity, TryReport
from ._run_permits import RunPermit

SELF_DECIDED = "none"
"""Stated in place of a granter where none answered."""

SendTries = Callable[[Sequence[TryReport]], "Deferred[bool]"]
"""Tells all hosts; the result is whether the leader has."""


@final
class CountedTries:
    """The tries of this host; ``unix_ms`` converts its clock to the time of day."""

    def __init__(
        self,
        *,
        identity: HostIdentity,
        records: CrashRecords,
        send: SendTries,
        unix_ms: Callable[[float], int],
        reactor: Any,
    ) -> None:
        self.written = 0
        """Writes of suspected requests, since the start."""
        self.last_chances = 0
        """Those of them after three servers may have ended."""
        self.withdrawn = 0
        """Tries that were counted and not written, since the start."""
        self._identity = identity
        self._records = records
        self._send = send
        self._unix_ms = unix_ms
        self._reactor = reactor
        self._serial = 0

    async def count(
        self,
        permit: RunPermit,
        name: RequestName,
        *,
        request_id: str,
        is_last_chance: bool,
    ) -> bool:
        """Count a try; return whether it may take place.

        Once three servers may have ended, another host has to have given the permit, or
        this one as the first to be asked, and the leader has to have told all hosts.
        """
        if is_last_chance and permit.granter is None:
            return False
        now_s = self._reactor.seconds()
        self._serial += 1
        identity = self._identity
        tried = PermittedTry(
            try_id=f"{identity.host}/{identity.incarnation}/{self._serial}",
            begun_s=now_s,
            begun_unix_ms=self._unix_ms(now_s),
            host=identity.host,
            request_id=request_id,
        )
        permit.try_id, permit.is_last_chance = tried.try_id, is_last_chance
        self._records.note_try(name, tried)
        is_told_in_order = await self._send([try_report_of(name, tried, now_s=now_s)])
        is_known = is_told_in_order or not is_last_chance
        if is_known and self._records.may_write(name.digest, tried.try_id):
            return True
        self.withdraw(permit, name)
        return False

    def withdraw(self, permit: RunPermit, name: RequestName) -> None:
        """Let a try that was not written count for nothing."""
        if permit.try_id:
            self.withdrawn += 1
            self._update(permit, name, TryState.WITHDRAWN)

    def note_refused(self, permit: RunPermit, name: RequestName) -> None:
        """Record that a server refused a try without running it."""
        self._update(permit, name, TryState.REFUSED)

    def _update(self, permit: RunPermit, name: RequestName, state: TryState) -> None:
        record = self._records.record(name.digest)
        known = record.tries.get(permit.try_id) if record is not None else None
        if known is None:
            return
        tried = replace(known, state=state)
        if self._records.note_try(name, tried):
            now_s = self._reactor.seconds()
            self._send([try_report_of(name, tried, now_s=now_s)])

    def note_written(
        self, permit: RunPermit, name: RequestName, *, target: str, server_id: str
    ) -> None:
        """Log who allowed a try that is written now, and by which counts."""
        record = self._records.record(name.digest)
        known = record.tries.get(permit.try_id) if record is not None else None
        if record is None or known is None:
            return
        granter = permit.granter
        self.written += 1
        self.last_chances += permit.is_last_chance
        log.info(
            "suspected request sent",
            extra={
                "name": str(name),
                "target": target,
                "request_id": known.request_id,
                "server": server_id,
                "granter": granter.host if granter is not None else SELF_DECIDED,
                "ended": len(record.crashes),
                "may_have_ended": record.possible_ends,
                "late_tries": len(record.late_tries()),
                "tries": len(record.tries),
            },
        )
