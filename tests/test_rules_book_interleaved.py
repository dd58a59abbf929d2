"""Concurrent edits by several operators with store faults, in generated orders.

A change that is reported as applied is among the records written to the store, and one
that is reported as having no effect is not, also after all late writes have arrived. A
document is replaced only by one that was edited from it.
"""

from dataclasses import dataclass, field
from random import Random
from typing import Any

from hypothesis import example, given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from gentianwharf.errors import OutcomeUnknownError, PeerUnavailableError
from gentianwharf.infra import (
    Fault,
    FaultKind,
    FaultyStore,
    KeyValueStore,
    MemoryStore,
    StoreOperation,
    VersionedValue,
)
from gentianwharf.rules import (
    RuleBook,
    RuleChecker,
    RulesApplied,
    RulesConflict,
    StoredRules,
    decode_rules,
)
from tests.builders_rules import migration, scope

KEY = "gentianwharf/tunis/rules"
DURATION_S = 200.0


@dataclass(frozen=True)
class Edit:
    """An operator reads the rules at ``read_s`` and applies a change at ``apply_s``."""

    operator: int
    read_s: float
    apply_s: float


@dataclass
class RecordingStore:
    """A store that records every rule record written to it, in order."""

    store: MemoryStore
    records: list[tuple[int, StoredRules]] = field(default_factory=list)

    async def write(self, value: bytes, expected_revision: int) -> VersionedValue:
        written = await self.store.compare_and_swap(
            KEY, value, expected_revision=expected_revision
        )
        self.records.append((written.revision, decode_rules(value, peer=KEY)))
        return written

    def __getattr__(self, name: str) -> Any:
        return getattr(self.store, name)

    async def compare_and_swap(
        self, key: str, value: bytes, *, expected_revision: int, lease_id: Any = None
    ) -> VersionedValue:
        if key == KEY:
            return await self.write(value, expected_revision)
        return await self.store.compare_and_swap(
            key, value, expected_revision=expected_revision
        )


FAULTS = st.builds(
    Fault,
    kind=st.sampled_from(
        [
            FaultKind.DOWN,
            FaultKind.SLOW,
            FaultKind.ANSWER_LOST,
            FaultKind.ANSWER_LATE,
            FaultKind.EFFECT_LATE,
            FaultKind.HANGS,
        ]
    ),
    from_s=st.sampled_from([0.0, 0.5, 1.0, 2.0]),
    until_s=st.sampled_from([0.6, 1.5, 3.0, 6.0, 40.0]),
    operations=st.sampled_from(
        [
            frozenset({StoreOperation.COMPARE_AND_SWAP}),
            frozenset({StoreOperation.GET}),
            frozenset(StoreOperation),
        ]
    ),
    key_prefix=st.just(KEY),
    delay_s=st.sampled_from([0.1, 0.7, 2.5, 15.0]),
    share=st.sampled_from([0.5, 1.0]),
)
EDITS = st.builds(
    lambda operator, read_s, wait_s: Edit(operator, read_s, read_s + wait_s),
    st.integers(0, 2),
    st.sampled_from([0.0, 0.4, 1.0, 1.2, 2.0, 4.0]),
    st.sampled_from([0.0, 0.3, 1.0]),
)


SWAP = frozenset({StoreOperation.COMPARE_AND_SWAP})
LOST = Fault(kind=FaultKind.ANSWER_LOST, operations=SWAP, key_prefix=KEY, delay_s=0.7)
LATE = Fault(kind=FaultKind.EFFECT_LATE, operations=SWAP, key_prefix=KEY, delay_s=15.0)
DOWN = Fault(kind=FaultKind.DOWN, from_s=0.5, until_s=40.0)
# Faults of one operator's store alone lead to the largest variety of outcomes.
TABLES = st.one_of(
    st.lists(st.lists(FAULTS, max_size=3), min_size=3, max_size=3),
    st.lists(FAULTS, min_size=1, max_size=2).map(lambda table: [table, [], []]),
    st.permutations([LOST, LATE, DOWN]).map(lambda table: [table[:2], [], []]),
)
TWO_EDITS = [Edit(0, 0.0, 0.0), Edit(1, 0.4, 0.4)]


@settings(max_examples=500, deadline=None, derandomize=True)
@given(
    edits=st.lists(EDITS, min_size=1, max_size=6),
    faults=TABLES,
    seed=st.integers(0, 1000),
)
@example(edits=TWO_EDITS, faults=[[LATE], [], []], seed=0)
@example(edits=TWO_EDITS, faults=[[LOST], [], []], seed=0)
@example(edits=TWO_EDITS, faults=[[DOWN, LOST], [], []], seed=0)
def test_reported_outcomes_match_the_stored_records(
    edits: list[Edit], faults: list[list[Fault]], seed: int
) -> None:
    clock = Clock()
    recording = RecordingStore(MemoryStore(clock=clock))
    books = [
        _book(
            FaultyStore(
                store=recording, clock=clock, rng=Random(seed + number), faults=table
            ),
            clock=clock,
            seed=seed * 3 + number,
        )
        for number, table in enumerate(faults)
    ]
    reported: dict[str, list[Any]] = {}
    for number, edit in enumerate(edits):
        change = f"change-{number}"
        reported[change] = []
        clock.callLater(
            edit.read_s, _edit, clock, books[edit.operator], edit, change, reported
        )
    clock.pump([0.1] * int(DURATION_S * 10))
    _check_lineage(recording.records)
    written = {record.recent_change_ids[0] for _, record in recording.records}
    for change, results in reported.items():
        for result in results:
            _check_reported(result, is_written=change in written)


def _book(store: KeyValueStore, *, clock: Clock, seed: int) -> RuleBook:
    return RuleBook(
        store=store,
        prefix="gentianwharf/tunis/",
        checker=RuleChecker(scope=scope()),
        clock=clock,
        rng=Random(seed),
    )


def _edit(
    clock: Clock,
    book: RuleBook,
    edit: Edit,
    change: str,
    reported: dict[str, list[Any]],
) -> None:
    share = int(change.rpartition("-")[2]) / 100

    async def read_then_apply() -> Any:
        version = await book.read()
        delay: Deferred[None] = Deferred()
        clock.callLater(edit.apply_s - edit.read_s, delay.callback, None)
        await delay
        return await book.apply(
            migration(share),
            edited_from_revision=version.revision if version is not None else 0,
            author=f"operator-{edit.operator}",
            change_id=change,
        )

    ensureDeferred(read_then_apply()).addBoth(reported[change].append)


def _check_lineage(records: list[tuple[int, StoredRules]]) -> None:
    before = 0
    for number, (revision, record) in enumerate(records, start=1):
        assert record.edited_from_revision == before
        assert record.number == number
        before = revision


def _check_reported(result: Any, *, is_written: bool) -> None:
    if isinstance(result, RulesApplied):
        assert is_written or result.already
    elif isinstance(result, RulesConflict):
        assert not is_written
    else:
        assert isinstance(result, Failure)
        assert isinstance(result.value, OutcomeUnknownError | PeerUnavailableError)
        if isinstance(result.value, PeerUnavailableError):
            assert not is_written
