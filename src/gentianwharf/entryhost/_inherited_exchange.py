"""Messages about repeats that ended processes have written, and may still arrive."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import final

import msgspec

from ._broadcaster import Broadcaster
from ._inherited_writes import VALID_S, Inherited, InheritedWrites
from ._peer_messages import (
    HostIdentity,
    InheritedUpdate,
    Report,
    StatedHost,
    StatedWrites,
)

FORWARDS = 4
"""How often a record is sent to the next leader: messages may be lost."""

Clock = Callable[[], float]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class _Kept:
    record: StatedWrites
    received_s: float

    def is_valid(self, now_s: float) -> bool:
        """Whether some of it may still count."""
        return now_s < self.received_s + VALID_S

    def hosts(self, now_s: float) -> list[StatedHost]:
        """Return what is recorded, with the present ages."""
        held_ms = round((now_s - self.received_s) * 1000)
        return [
            msgspec.structs.replace(host, age_ms=host.age_ms + held_ms)
            for host in self.record.hosts
        ]


_NOTHING_KEPT = _Kept(
    record=StatedWrites(HostIdentity("", ""), 0, []), received_s=float("-inf")
)


@final
class InheritedExchange:
    """The part of a host: as the leader, as a deputy, and as one of all hosts."""

    def __init__(
        self, *, identity: HostIdentity, broadcaster: Broadcaster, now_s: Clock
    ) -> None:
        self.on_inherited: Callable[[Mapping[str, float], bool], None] = (
            lambda repeats, is_known: None
        )
        self._identity = identity
        self._broadcaster = broadcaster
        self._now_s = now_s
        self._writes = InheritedWrites(now_s=now_s)
        self._kept = _NOTHING_KEPT
        """The record of the leader that this host follows."""
        self._former = _NOTHING_KEPT
        """The record of the leader before."""
        self._forwards_left = 0
        self._term = 0

    def start_leading(self) -> None:
        """Begin a record, with that of the leader before if this host has kept it."""
        self._writes = InheritedWrites(now_s=self._now_s)
        now_s = self._now_s()
        for kept in (self._kept, self._former):
            if kept.is_valid(now_s):
                self._writes.merge(kept.hosts(now_s))

    def note_report(self, report: Report) -> None:
        """Record a host's report; hosts of earlier releases state no incarnation."""
        if report.incarnation:
            self._writes.note(
                report.host, incarnation=report.incarnation, repeats=report.unconfirmed
            )

    def tick(self, report_interval_s: float) -> None:
        """Send what is due, while this host leads."""
        if not self._broadcaster.leads:
            return
        due = self._writes.due(report_interval_s)
        self._broadcaster.send_inherited(due)
        for inherited in due:
            if inherited.host == self._identity.host:
                self.apply(inherited)
        record = self._writes.due_record()
        if record is not None:
            self._broadcaster.send_record(record, readers=self._writes.hosts())

    def apply(self, inherited: InheritedUpdate | Inherited) -> None:
        """Apply what the leader states, unless it is about another process."""
        if inherited.incarnation == self._identity.incarnation:
            self.on_inherited(inherited.repeats, inherited.is_known)

    def keep(self, record: StatedWrites) -> None:
        """Keep the leader's record for the next one."""
        self._note_term(record.term)
        self._kept = _Kept(record=record, received_s=self._now_s())

    def merge(self, record: StatedWrites) -> None:
        """Add the record of the leader before to this leader's own."""
        self._writes.merge(record.hosts)

    def record_to_forward(self, term: int) -> bytes | None:
        """Return the last leader's record if the leader of ``term`` should get it."""
        self._note_term(term)
        now_s = self._now_s()
        if self._forwards_left <= 0 or not self._former.is_valid(now_s):
            return None
        self._forwards_left -= 1
        former = self._former.record
        record = StatedWrites(former.leader, former.term, self._former.hosts(now_s))
        return msgspec.msgpack.encode(record)

    def _note_term(self, term: int) -> None:
        """Make the kept record the former one once another leader has followed."""
        if self._term < term:
            self._term = term
            self._former, self._kept = self._kept, _NOTHING_KEPT
            self._forwards_left = FORWARDS
