"""Changes of the stored rules: concurrent edits, lost answers, unavailable store."""

import pytest
from twisted.internet.defer import ensureDeferred

from gentianwharf.errors import (
    ConflictError,
    InputError,
    OutcomeUnknownError,
    PeerUnavailableError,
)
from gentianwharf.infra import Fault, FaultKind, StoreOperation
from gentianwharf.rules import (
    RulesApplied,
    RulesConflict,
    RulesRefused,
)
from tests.builders_rules import (
    OperatorBooks,
    document,
    migration,
    result_of,
    result_within,
    rule,
)

SWAP = frozenset({StoreOperation.COMPARE_AND_SWAP})
KEY = "gentianwharf/tunis/rules"


def fault(kind: FaultKind, **more: float) -> Fault:
    """Return a fault of writes to the document, not to its history."""
    return Fault(kind=kind, operations=SWAP, key_prefix=KEY, **more)


def test_no_rules_yet() -> None:
    books = OperatorBooks()
    assert result_of(books.mine.read()) is None
    assert result_of(books.mine.history()) == []


def test_applied_document_is_read_back_with_its_author() -> None:
    books = OperatorBooks()
    revision = books.begin()
    result = books.apply(books.mine, 0.1, edited_from=revision)
    assert isinstance(result, RulesApplied)
    assert not result.read_back
    assert books.stored() == result.version
    assert (result.version.author, result.version.number) == ("amira", 2)
    assert result.version.document == migration(0.1)


def test_refused_document_changes_nothing() -> None:
    books = OperatorBooks()
    revision = books.begin()
    call = books.mine.apply(
        document(rule(service="nobody")), edited_from_revision=revision, author="amira"
    )
    result = result_within(books.clock, call)
    assert isinstance(result, RulesRefused)
    assert books.stored().revision == revision


def test_slower_of_two_operators_sees_both_changes() -> None:
    """Amira and Karim edit the same version; Karim applies first, then Amira.

    Without a check, Amira's document would silently revert Karim's change.
    """
    books = OperatorBooks()
    revision = books.begin()
    theirs = books.apply(books.theirs, 0.5, edited_from=revision, author="karim")
    assert isinstance(theirs, RulesApplied)
    mine = books.apply(books.mine, 0.1, edited_from=revision)
    assert isinstance(mine, RulesConflict)
    assert mine.base_known
    assert (mine.current, mine.edited_from_revision) == (theirs.version, revision)
    assert [change.details for change in mine.theirs] == [
        ("when.shard_share: 0.0 -> 0.5",)
    ]
    assert [change.details for change in mine.mine] == [
        ("when.shard_share: 0.0 -> 0.1",)
    ]
    assert books.stored() == theirs.version


def test_two_operators_write_at_the_same_moment() -> None:
    """Both read the same revision, and each writes before reading the other's write."""
    books = OperatorBooks(faults=[fault(FaultKind.SLOW, delay_s=0.5)])
    revision = books.begin()
    mine = books.mine.apply(
        migration(0.1), edited_from_revision=revision, author="amira"
    )
    pending = ensureDeferred(mine)
    theirs = books.apply(books.theirs, 0.5, edited_from=revision, author="karim")
    assert isinstance(theirs, RulesApplied)
    books.clock.advance(1.0)
    assert isinstance(result_of(pending), RulesConflict)
    assert books.stored() == theirs.version


@pytest.mark.parametrize(
    "store_fault",
    [
        pytest.param(
            fault(FaultKind.ANSWER_LOST, until_s=0.1, delay_s=0.2), id="answer-lost"
        ),
        pytest.param(
            fault(FaultKind.EFFECT_LATE, until_s=0.1, delay_s=0.2), id="effect-late"
        ),
        pytest.param(
            fault(FaultKind.EFFECT_LATE, until_s=0.1, delay_s=9.0),
            id="effect-after-the-second-write",
        ),
        pytest.param(
            fault(FaultKind.ANSWER_LATE, until_s=0.1, delay_s=30.0), id="answer-late"
        ),
        pytest.param(fault(FaultKind.HANGS, until_s=0.1), id="connection-silent"),
    ],
)
def test_write_that_took_effect_is_never_reported_as_failed(
    store_fault: Fault,
) -> None:
    """The store accepts the new rules, but its answer is lost.

    If a failure were reported, the operator would edit the previous version again, and
    a migration step would be applied twice or reverted.
    """
    books = OperatorBooks(faults=[store_fault])
    revision = books.begin()
    result = books.apply(books.mine, 0.1, edited_from=revision)
    assert isinstance(result, RulesApplied)
    assert result.read_back
    books.clock.pump([1.0] * 20)
    assert books.stored() == result.version
    assert result.version.document == migration(0.1)


def test_lost_answer_followed_by_another_edit_is_success() -> None:
    """Amira's write succeeds, its answer is lost, and Karim edits her version.

    The document in the store is then not Amira's, but hers did take effect.
    """
    books = OperatorBooks(faults=[fault(FaultKind.ANSWER_LOST, delay_s=1.0)])
    revision = books.begin()
    pending = ensureDeferred(
        books.mine.apply(migration(0.1), edited_from_revision=revision, author="amira")
    )
    books.clock.advance(0.1)
    written = books.stored()
    assert written.author == "amira"
    theirs = books.apply(
        books.theirs, 0.5, edited_from=written.revision, author="karim"
    )
    assert isinstance(theirs, RulesApplied)
    books.clock.pump([0.5] * 4)
    mine = result_of(pending)
    assert isinstance(mine, RulesApplied)
    assert (mine.read_back, mine.superseded) == (True, True)
    assert mine.version == written


def test_lost_write_followed_by_another_edit_is_a_conflict() -> None:
    """Amira's write is delayed on its way to the store, and Karim's is applied first.

    A retry with the new revision would revert Karim's change. The late write itself has
    no effect, since it expects the old revision.
    """
    books = OperatorBooks(faults=[fault(FaultKind.EFFECT_LATE, delay_s=2.0)])
    revision = books.begin()
    pending = ensureDeferred(
        books.mine.apply(migration(0.1), edited_from_revision=revision, author="amira")
    )
    theirs = books.apply(books.theirs, 0.5, edited_from=revision, author="karim")
    assert isinstance(theirs, RulesApplied)
    books.clock.pump([0.5] * 20)
    assert isinstance(result_of(pending), RulesConflict)
    assert books.stored() == theirs.version


def test_repeated_command_finds_its_change() -> None:
    """The daemon's answer to the operator's tool is lost, and the tool retries."""
    books = OperatorBooks()
    revision = books.begin()
    first = books.apply(books.mine, 0.1, edited_from=revision, change_id="change-1")
    again = books.apply(books.mine, 0.1, edited_from=revision, change_id="change-1")
    assert isinstance(first, RulesApplied)
    assert isinstance(again, RulesApplied)
    assert (again.read_back, again.version) == (True, first.version)


def test_document_that_is_in_force_already_is_not_a_conflict() -> None:
    """A job applies the same file from version control again."""
    books = OperatorBooks()
    revision = books.begin()
    first = books.apply(books.mine, 0.1, edited_from=revision)
    again = books.apply(books.theirs, 0.1, edited_from=revision, author="karim")
    assert isinstance(first, RulesApplied)
    assert isinstance(again, RulesApplied)
    assert (again.already, again.version) == (True, first.version)


@pytest.mark.parametrize("operations", [SWAP, frozenset()], ids=["writes", "all"])
def test_store_down_changes_nothing(operations: frozenset[StoreOperation]) -> None:
    books = OperatorBooks()
    revision = books.begin()
    books.faulty.faults.append(Fault(kind=FaultKind.DOWN, operations=operations))
    with pytest.raises(PeerUnavailableError):
        books.apply(books.mine, 0.1, edited_from=revision)
    assert books.stored().revision == revision


def test_store_unavailable_after_the_write_has_unknown_outcome() -> None:
    """The write succeeds, its answer is lost, and all later reads fail."""
    books = OperatorBooks()
    revision = books.begin()
    now_s = books.clock.seconds()
    books.faulty.faults += [
        Fault(kind=FaultKind.DOWN, from_s=now_s + 0.05),
        fault(FaultKind.ANSWER_LOST, delay_s=0.1),
    ]
    with pytest.raises(OutcomeUnknownError, match="rules history"):
        books.apply(books.mine, 0.1, edited_from=revision)
    assert books.stored().author == "amira"


def test_history_failure_does_not_prevent_a_change() -> None:
    books = OperatorBooks()
    revision = books.begin()
    books.faulty.faults.append(
        Fault(kind=FaultKind.HANGS, key_prefix="gentianwharf/tunis/history/")
    )
    result = books.apply(books.mine, 0.1, edited_from=revision)
    assert isinstance(result, RulesApplied)
    assert not result.read_back


def test_history_is_bounded_and_newest_first() -> None:
    books = OperatorBooks()
    revision = books.begin()
    for step in range(30):
        result = books.apply(books.mine, step / 100, edited_from=revision)
        assert isinstance(result, RulesApplied)
        revision = result.version.revision
    versions = result_of(books.mine.history())
    assert [version.number for version in versions] == list(range(31, 10, -1))
    assert versions[1].revision < versions[0].revision == revision


def test_conflict_reports_a_base_missing_from_the_history() -> None:
    books = OperatorBooks()
    old = revision = books.begin()
    for step in range(25):
        result = books.apply(books.theirs, step / 100, edited_from=revision)
        assert isinstance(result, RulesApplied)
        revision = result.version.revision
    conflict = books.apply(books.mine, 0.9, edited_from=old)
    assert isinstance(conflict, RulesConflict)
    assert not conflict.base_known


def test_unreadable_record_can_be_replaced() -> None:
    """A host of a later release wrote a record in an unknown format."""
    books = OperatorBooks()
    written = result_of(
        books.store.compare_and_swap(KEY, b'{"format": 9}', expected_revision=0)
    )
    with pytest.raises(InputError, match="rules apply"):
        result_of(books.mine.read())
    with pytest.raises(ConflictError, match=f"revision {written.revision}"):
        books.apply(books.mine, 0.1, edited_from=0)
    result = books.apply(books.mine, 0.1, edited_from=written.revision)
    assert isinstance(result, RulesApplied)


def test_store_calls_of_one_change() -> None:
    """One read and one write each of the record and of the history."""
    books = OperatorBooks()
    revision = books.begin()
    before = books.store.reads(), books.store.writes()
    books.apply(books.mine, 0.1, edited_from=revision)
    after = books.store.reads(), books.store.writes()
    assert (after[0] - before[0], after[1] - before[1]) == (2, 2)
