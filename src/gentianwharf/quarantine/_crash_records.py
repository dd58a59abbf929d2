"""All requests under which servers have ended."""

from collections.abc import Callable, Collection, Iterator
from dataclasses import replace
from typing import final

from ._name import RequestName
from ._record import (
    EARLY_ENDS,
    MAX_CRASHES,
    PermittedTry,
    Record,
    ServerCrash,
    Standing,
    TryState,
    Verdict,
)
from ._server_ends import ServerEnds

MAX_RECORDS = 200
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
        self.on_evicted: Callable[[Record], None] = lambda record: None
        """Called with a record that was dropped to make room for another one."""
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
            record.crashes[crash.incarnation] = _merged(known, crash)
            return False
        if len(record.crashes) >= MAX_INCARNATIONS and not _make_room(record, crash):
            return False
        record.crashes[crash.incarnation] = crash
        self._touch(record)
        return True

    def note_try(self, name: RequestName, tried: PermittedTry) -> bool:
        """Record a try of a suspected request; return whether it is news."""
        if (name.digest, tried.try_id) in self._cleared:
            return False
        record = self._records.get(name.digest)
        if record is None:
            record = self._add(name)
        known = record.tries.get(tried.try_id)
        if known is not None:
            if tried.state <= known.state:
                return False
            tried = replace(known, state=tried.state)
        record.tries[tried.try_id] = tried
        self._drop_uncounted(record)
        self._remove_if_empty(record)
        return True

    def _drop_uncounted(self, record: Record) -> None:
        """Drop the tries that count for nothing, also if they are told again."""
        late_tries = record.late_tries()
        for known in list(record.tries.values()):
            if known.state is not TryState.COUNTED and known not in late_tries:
                del record.tries[known.try_id]
                self._add_cleared(record.digest, known.try_id)

    def may_write(self, digest: bytes, try_id: str) -> bool:
        """Whether a try that was counted may still take place."""
        record = self._records.get(digest)
        if record is None:
            return True
        self._note_correlated(record)
        return record.may_write(try_id)

    def note_cleared(self, digest: bytes, evidence_ids: Collection[str]) -> bool:
        """Record that a whole run clears a request of these ends and tries.

        Return whether that is news.
        """
        is_news = False
        for evidence_id in evidence_ids:
            is_news |= self._add_cleared(digest, evidence_id)
        record = self._records.get(digest)
        if record is not None:
            for evidence_id in evidence_ids:
                record.crashes.pop(evidence_id, None)
                record.tries.pop(evidence_id, None)
            self._remove_if_empty(record)
        return is_news

    def cleared(self) -> set[bytes]:
        """Return the requests that were cleared and are not suspected again."""
        suspected = {record.digest for record in self if record.crashes}
        return {digest for digest, _ in self._cleared} - suspected

    def release(self, digest: bytes) -> bool:
        """Let a request run as any other; return whether it was suspected."""
        record = self._records.get(digest)
        return record is not None and self.note_cleared(digest, record.evidence_ids())

    def _add_cleared(self, digest: bytes, evidence_id: str) -> bool:
        """Let later news of this end or try count for nothing."""
        if (digest, evidence_id) in self._cleared:
            return False
        if len(self._cleared) >= MAX_CLEARED:
            del self._cleared[next(iter(self._cleared))]
        self._cleared[digest, evidence_id] = None
        return True

    def verdict(self, digest: bytes) -> Verdict:
        """Return how a request is dealt with now."""
        record = self._records.get(digest)
        if record is None:
            return FREE
        self._note_correlated(record)
        now_s = self._now_s()
        if record.possible_ends < EARLY_ENDS:
            # Nothing waits for the ends of other servers yet.
            return record.verdict(now_s)
        other_end_s = self.ends.latest_s(except_incarnations=record.crashes.keys())
        return record.verdict(now_s, other_end_s=other_end_s)

    def _note_correlated(self, record: Record) -> None:
        if len(record.crashes) < MAX_CRASHES:
            return
        for incarnation, crash in record.crashes.items():
            if not crash.is_correlated and self.ends.others_near(
                crash.ended_s, incarnations=record.crashes.keys()
            ):
                record.crashes[incarnation] = replace(crash, is_correlated=True)

    def _remove_if_empty(self, record: Record) -> None:
        """Remove a record unless an end or a try is known, which may still count."""
        if not record.crashes and not record.tries:
            self._remove(record.digest)

    def _remove(self, digest: bytes) -> None:
        record = self._records.pop(digest)
        self._heads[record.head] -= 1
        if not self._heads[record.head]:
            del self._heads[record.head]

    def refused(self) -> list[Record]:
        """Return the requests that don't run, or hardly any more, the latest last."""
        return [record for record in self._records.values() if record.is_refused]

    def _add(self, name: RequestName) -> Record:
        if len(self._records) >= MAX_RECORDS:
            evicted = self._records[self._least_important()]
            self._remove(evicted.digest)
            self._forget_cleared(evicted.digest)
            self.on_evicted(evicted)
        record = Record(head=name.head, digest=name.digest)
        self._records[name.digest] = record
        self._heads[name.head] = self._heads.get(name.head, 0) + 1
        return record

    def _forget_cleared(self, digest: bytes) -> None:
        """Let a record that was evicted not be taken for one that was cleared."""
        of_digest = [key for key in self._cleared if key[0] == digest]
        for key in of_digest:
            del self._cleared[key]

    def _least_important(self) -> bytes:
        """Return the record that counted least, the oldest of several."""

        def importance(digest: bytes) -> tuple[int, int]:
            record = self._records[digest]
            return len(record.crashes), len(record.tries)

        return min(self._records, key=importance)

    def _touch(self, record: Record) -> None:
        """Let a record be the latest one."""
        self._records[record.digest] = self._records.pop(record.digest)


def _merged(known: ServerCrash, crash: ServerCrash) -> ServerCrash:
    """Return what two hosts know about one end of a server."""
    return replace(
        known,
        is_correlated=known.is_correlated or crash.is_correlated,
        is_permitted=known.is_permitted or crash.is_permitted,
        try_id=known.try_id or crash.try_id,
    )


def _make_room(record: Record, crash: ServerCrash) -> bool:
    """Drop an end beside other copies for one that says more."""
    for incarnation, known in record.crashes.items():
        if crash.is_permitted and not known.is_permitted:
            del record.crashes[incarnation]
            return True
    return False
