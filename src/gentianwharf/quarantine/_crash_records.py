"""All requests under which servers have ended."""

from collections.abc import Callable, Collection, Iterator
from dataclasses import replace
from typing import final

from ._name import RequestName
from ._record import MAX_CRASHES, Record, ServerCrash, Standing, Verdict
from ._server_ends import ServerEnds

MAX_RECORDS = 300
"""Bounds the memory, also if callers send endless different bodies."""

MAX_CLEARED = 500

MAX_INCARNATIONS = 12
"""Ends of servers that are kept for one request; further ones change nothing."""

FREE = Verdict(standing=Standing.FREE)

Clock = Callable[[], float]


@final
class CrashRecords:
    """Records by name.

    >>> records = CrashRecords(now_s=lambda: 10.0)
    >>> records.is_empty
    True
    """

    def __init__(self, *, now_s: Clock) -> None:
        self.ends = ServerEnds()
        self._now_s = now_s
        self._records: dict[bytes, Record] = {}
        self._heads: dict[bytes, int] = {}
        """How many records have a head."""
        self._cleared: dict[tuple[bytes, str], None] = {}
        """Ends that count for nothing: news of them may still arrive."""

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected."""
        return not self._records

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[Record]:
        return iter(list(self._records.values()))

    def has_head(self, head: bytes) -> bool:
        """Whether a request with this head may be suspected, whatever its body."""
        return head in self._heads

    def record(self, digest: bytes) -> Record | None:
        """Return a request's record, None if no server has ended under it."""
        return self._records.get(digest)

    def note_end(self, incarnation: str, ended_s: float) -> None:
        """Record the end of a server under whatever it was running."""
        self.ends.note(incarnation, ended_s)

    def note_crash(self, name: RequestName, crash: ServerCrash) -> bool:
        """Record the end of a server under a request; return whether it is news."""
        self.ends.note(crash.incarnation, crash.ended_s)
        if (name.digest, crash.incarnation) in self._cleared:
            return False
        record = self._records.get(name.digest)
        if record is None:
            record = self._add(name)
        known = record.crashes.get(crash.incarnation)
        if known is not None:
            if crash.is_correlated and not known.is_correlated:
                record.crashes[crash.incarnation] = replace(known, is_correlated=True)
            return False
        if len(record.crashes) >= MAX_INCARNATIONS and not _make_room(record, crash):
            return False
        record.crashes[crash.incarnation] = crash
        self._touch(record)
        return True

    def note_cleared(self, digest: bytes, incarnations: Collection[str]) -> bool:
        """Record that a whole run clears these ends; return whether that is news."""
        is_news = False
        for incarnation in incarnations:
            is_news |= self._add_cleared(digest, incarnation)
        record = self._records.get(digest)
        if record is not None:
            for incarnation in incarnations:
                record.crashes.pop(incarnation, None)
            if not record.crashes:
                self._remove(digest)
        return is_news

    def release(self, digest: bytes) -> bool:
        """Let a request run as any other; return whether it was suspected."""
        record = self._records.get(digest)
        return record is not None and self.note_cleared(digest, list(record.crashes))

    def _add_cleared(self, digest: bytes, incarnation: str) -> bool:
        """Let later news of this end count for nothing."""
        if (digest, incarnation) in self._cleared:
            return False
        if len(self._cleared) >= MAX_CLEARED:
            del self._cleared[next(iter(self._cleared))]
        self._cleared[digest, incarnation] = None
        return True

    def verdict(self, digest: bytes) -> Verdict:
        """Return how a request is dealt with now."""
        record = self._records.get(digest)
        if record is None:
            return FREE
        if len(record.crashes) >= MAX_CRASHES:
            self._note_correlated(record)
        return record.verdict(self._now_s())

    def _note_correlated(self, record: Record) -> None:
        for incarnation, crash in record.crashes.items():
            if not crash.is_correlated and self.ends.others_near(
                crash.ended_s, incarnations=record.crashes.keys()
            ):
                record.crashes[incarnation] = replace(crash, is_correlated=True)

    def _remove(self, digest: bytes) -> None:
        record = self._records.pop(digest)
        self._heads[record.head] -= 1
        if not self._heads[record.head]:
            del self._heads[record.head]

    def refused(self) -> list[Record]:
        """Return the requests under which enough servers ended, the latest last."""
        return [record for record in self._records.values() if record.is_convicted]

    def _add(self, name: RequestName) -> Record:
        if len(self._records) >= MAX_RECORDS:
            self._remove(self._least_important())
        record = Record(head=name.head, digest=name.digest)
        self._records[name.digest] = record
        self._heads[name.head] = self._heads.get(name.head, 0) + 1
        return record

    def _least_important(self) -> bytes:
        """Return the record with the fewest ends, the oldest of several."""
        return min(self._records, key=lambda digest: len(self._records[digest].crashes))

    def _touch(self, record: Record) -> None:
        """Let a record be the latest one."""
        self._records[record.digest] = self._records.pop(record.digest)


def _make_room(record: Record, crash: ServerCrash) -> bool:
    """Drop an end beside other copies for one that says more."""
    for incarnation, known in record.crashes.items():
        if crash.is_permitted and not known.is_permitted:
            del record.crashes[incarnation]
            return True
    return False
