"""Which requests are refused, after which ends of servers."""

import tracemalloc
from dataclasses import replace

import pytest

from gentianwharf.quarantine import (
    MAX_CRASHES,
    MAX_PREFIX_BYTES,
    MAX_RECORDS,
    UNDECIDED_S,
    CrashRecords,
    Standing,
    TryState,
    WholeRuns,
)
from gentianwharf.quarantine._record import CALM_S

from .builders_quarantine import crash_of, name_of, try_of

NAME = name_of("/a")
MAX_BYTES = 1_000_000
TRACED_FRAMES = 25
TRIES = 4
MAX_PLANNED_LATE_SENDS = 2
"""Sends after the third end, one less than is allowed."""


class Clock:
    """A clock that the test moves."""

    now_s = 10.0

    def __call__(self) -> float:
        return self.now_s


def records_with(
    crashes: int, *, is_correlated: bool = False
) -> tuple[CrashRecords, Clock]:
    clock = Clock()
    records = CrashRecords(now_s=clock)
    for number in range(crashes):
        # The first one ends before the request is suspected.
        crash = crash_of(
            f"s{number}", is_correlated=is_correlated, is_permitted=number > 0
        )
        records.note_crash(NAME, crash)
    return records, clock


def crash_by_try(records: CrashRecords, incarnation: str, *, at_s: float) -> None:
    """Let a server end under a try."""
    try_id = f"try-of-{incarnation}"
    records.note_try(NAME, try_of(try_id, at_s=at_s))
    records.note_crash(NAME, crash_of(incarnation, at_s=at_s, try_id=try_id))


@pytest.mark.parametrize(
    ("crashes", "standing"),
    [
        (0, Standing.FREE),
        (1, Standing.ONE_AT_A_TIME),
        (2, Standing.ONE_AT_A_TIME),
        (3, Standing.REFUSED),
        (4, Standing.REFUSED),
    ],
)
def test_standing_follows_the_servers_that_ended(
    crashes: int, standing: Standing
) -> None:
    records, clock = records_with(crashes)
    clock.now_s += UNDECIDED_S
    assert records.verdict(NAME.digest).standing is standing


def test_refusal_waits_until_no_other_end_can_be_correlated() -> None:
    """Guards against innocents refused before the next server of a loss has ended."""
    records, clock = records_with(MAX_CRASHES)
    clock.now_s += UNDECIDED_S / 2
    assert records.verdict(NAME.digest).standing is Standing.UNDECIDED
    records.note_end("other", clock.now_s)
    clock.now_s += UNDECIDED_S
    assert records.verdict(NAME.digest).standing is Standing.UNDECIDED
    clock.now_s += CALM_S
    assert records.verdict(NAME.digest).standing is Standing.ONE_AT_A_TIME


def test_end_that_several_hosts_notice_counts_once() -> None:
    records, _ = records_with(0)
    for _ in range(MAX_CRASHES):
        records.note_crash(NAME, crash_of("s1"))
    assert records.verdict(NAME.digest).standing is Standing.ONE_AT_A_TIME


def test_copies_on_servers_that_are_lost_together_are_no_proof() -> None:
    """Guards against innocents that are sent often, so that they are on each server."""
    records, clock = records_with(0)
    for number in range(30):
        crash = crash_of(f"s{number}", is_permitted=False)
        records.note_crash(NAME, crash)
    clock.now_s += 1e6
    for number in range(MAX_PLANNED_LATE_SENDS):
        verdict = records.verdict(NAME.digest)
        assert verdict.standing is Standing.ONE_AT_A_TIME
        crash_by_try(records, f"alone-{number}", at_s=clock.now_s)
        clock.now_s += 1e6
    assert records.verdict(NAME.digest).standing is Standing.REFUSED


@pytest.mark.parametrize(
    ("first_ids", "standing"),
    [
        pytest.param(["r1", "r1"], Standing.REFUSED, id="hedged"),
        pytest.param(["r1", "r2"], Standing.ONE_AT_A_TIME, id="sent-often"),
    ],
)
def test_both_copies_of_one_request_are_proof_and_those_of_several_are_not(
    first_ids: list[str], standing: Standing
) -> None:
    """Guards against a fourth server for a request whose first send was hedged."""
    records, clock = records_with(0)
    for number, request_id in enumerate(first_ids):
        crash = crash_of(f"s{number}", is_permitted=False)
        records.note_crash(NAME, replace(crash, request_id=request_id))
    records.note_crash(NAME, crash_of("s2"))
    clock.now_s += 1e6
    assert records.verdict(NAME.digest).standing is standing


def test_refusal_of_a_request_that_ended_servers_alone_has_no_end() -> None:
    """Guards against a window after which three more servers end."""
    records, clock = records_with(MAX_CRASHES)
    clock.now_s += 1e6
    verdict = records.verdict(NAME.digest)
    assert verdict.standing is Standing.REFUSED
    assert verdict.retry_after_s > 0


@pytest.mark.parametrize("state", [TryState.COUNTED, TryState.REFUSED], ids=str)
def test_request_lost_beside_others_has_two_more_tries_in_its_life(
    state: TryState,
) -> None:
    """Guards against innocents refused for good, and culprits that never are."""
    records, clock = records_with(MAX_CRASHES, is_correlated=True)
    records.note_try(NAME, try_of("third", at_s=clock.now_s))
    records.note_crash(NAME, crash_of("s2", try_id="third"))
    for number in range(MAX_PLANNED_LATE_SENDS):
        clock.now_s += 1e6
        verdict = records.verdict(NAME.digest)
        assert verdict.standing is Standing.ONE_AT_A_TIME
        assert verdict.is_last_chance
        records.note_try(NAME, try_of(f"t{number}", at_s=clock.now_s, state=state))
    clock.now_s += 1e6
    assert records.verdict(NAME.digest).standing is Standing.REFUSED


@pytest.mark.parametrize(
    ("tries", "wait_s"), [(1, 0.0), (2, 2.0), (3, 30.0)], ids=["first", "next", "last"]
)
def test_last_tries_grow_rarer(tries: int, wait_s: float) -> None:
    """Guards against innocents whose last tries all fall into one mass loss."""
    records, clock = records_with(2, is_correlated=True)
    for number in range(tries - 1):
        records.note_try(NAME, try_of(f"t{number}", at_s=clock.now_s))
    verdict = records.verdict(NAME.digest)
    assert verdict.retry_after_s == wait_s
    is_admitted = verdict.standing is Standing.ONE_AT_A_TIME
    assert is_admitted is not bool(wait_s)


def test_last_tries_wait_until_no_server_ends_but_not_for_ever() -> None:
    """Guards against a request that is held back as long as any server ends."""
    records, clock = records_with(2, is_correlated=True)
    records.note_try(NAME, try_of("t", at_s=clock.now_s))
    clock.now_s += 3.0
    for second in range(30):
        records.note_end(f"other-{second}", clock.now_s)
        if records.verdict(NAME.digest).standing is Standing.ONE_AT_A_TIME:
            break
        clock.now_s += 1.0
    assert 10.0 < second < 25.0


def test_try_that_was_refused_is_no_end_and_one_that_was_not_written_no_try() -> None:
    records, _ = records_with(1)
    for number in range(30):
        records.note_try(NAME, try_of(f"r{number}", state=TryState.REFUSED))
        records.note_try(NAME, try_of(f"w{number}", state=TryState.WITHDRAWN))
    record = records.record(NAME.digest)
    assert record is not None
    assert record.possible_ends == 1
    assert not record.tries
    assert not records.note_try(NAME, try_of("r0"))
    assert records.verdict(NAME.digest).standing is Standing.ONE_AT_A_TIME


def test_news_of_a_try_that_comes_late_does_not_undo_what_became_of_it() -> None:
    """Guards against repeated news that lets a withdrawn try count again."""
    records, _ = records_with(1)
    assert records.note_try(NAME, try_of("t", state=TryState.WITHDRAWN))
    assert not records.note_try(NAME, try_of("t"))
    record = records.record(NAME.digest)
    assert record is not None
    assert record.possible_ends == 1


def test_end_of_a_server_under_a_try_counts_once() -> None:
    records, clock = records_with(1)
    crash_by_try(records, "s1", at_s=clock.now_s)
    record = records.record(NAME.digest)
    assert record is not None
    assert record.possible_ends == 2


def test_ends_of_other_servers_are_company_also_if_they_are_known_later() -> None:
    records, clock = records_with(MAX_CRASHES)
    clock.now_s += UNDECIDED_S
    assert records.verdict(NAME.digest).standing is Standing.REFUSED
    records.note_end("other", 10.4)
    assert records.verdict(NAME.digest).standing is not Standing.REFUSED


def test_servers_where_the_request_was_are_no_company() -> None:
    records, clock = records_with(MAX_CRASHES)
    clock.now_s += UNDECIDED_S
    records.note_end("s0", 10.0)
    assert records.verdict(NAME.digest).standing is Standing.REFUSED


def test_whole_run_clears_a_request_also_of_news_that_comes_later() -> None:
    """Guards against innocents that old news condemns."""
    records, _ = records_with(2)
    assert records.note_cleared(NAME.digest, ["s0", "s1", "s2"])
    assert records.is_empty
    assert not records.note_crash(NAME, crash_of("s2"))
    assert not records.has_head(NAME.head)
    assert records.note_crash(NAME, crash_of("s3"))


@pytest.mark.parametrize(
    "is_late", [False, True], ids=["before-the-clearing", "after-it"]
)
@pytest.mark.parametrize("state", [None, TryState.REFUSED], ids=["whole", "refused"])
def test_try_that_crosses_a_clearing_counts_for_nothing_once_it_has_ended(
    is_late: bool, state: TryState | None
) -> None:
    """Guards against innocents that wait for tries which ran wholly."""
    records, _ = records_with(1)
    records.note_try(NAME, try_of("first"))
    if not is_late:
        records.note_try(NAME, try_of("second"))
    records.note_cleared(NAME.digest, ["s0", "first"])
    if is_late:
        records.note_try(NAME, try_of("second"))
    assert records.verdict(NAME.digest).standing is Standing.FREE
    record = records.record(NAME.digest)
    assert record is not None, "its host has to find what it clears"
    if state is None:
        records.note_cleared(NAME.digest, record.evidence_ids())
    else:
        records.note_try(NAME, try_of("second", state=state))
    assert records.is_empty
    assert not records.note_try(NAME, try_of("second"))


def test_request_that_operators_let_through_is_as_any_other() -> None:
    records, _ = records_with(MAX_CRASHES)
    assert records.release(NAME.digest)
    assert records.verdict(NAME.digest).standing is Standing.FREE
    assert not records.release(NAME.digest)


@pytest.mark.parametrize(
    "other",
    [
        pytest.param(name_of("/b"), id="path"),
        pytest.param(name_of("/a?x=1"), id="query"),
        pytest.param(name_of("/a", caller="10.1.0.2"), id="caller"),
        pytest.param(name_of("/a", body=b"x"), id="body"),
    ],
)
def test_another_request_is_not_refused(other: object) -> None:
    """Guards against innocents that share a part of their name with a culprit."""
    records, _ = records_with(MAX_CRASHES)
    assert other != NAME
    assert records.verdict(other.digest).standing is Standing.FREE  # type: ignore[attr-defined]


def test_bodies_are_told_apart_by_their_begin_and_length() -> None:
    begin = b"x" * MAX_PREFIX_BYTES
    assert name_of("/a", body=begin + b"1") == name_of("/a", body=begin + b"2")
    assert name_of("/a", body=begin + b"1") != name_of("/a", body=begin + b"12")


def test_endless_different_bodies_take_bounded_memory() -> None:
    """Guards against callers who fill the memory with requests that end servers."""
    clock = Clock()
    names = [name_of("/a", body=b"%d" % number) for number in range(10 * MAX_RECORDS)]
    # Threads of other tests allocate meanwhile: only calls from here are counted.
    here = tracemalloc.Filter(True, __file__, all_frames=True)
    tracemalloc.start(TRACED_FRAMES)
    try:
        records, whole_runs = CrashRecords(now_s=clock), WholeRuns()
        for end in range(MAX_CRASHES):
            records.note_crash(NAME, crash_of(f"s{end}"))
        for number in range(len(names)):
            for end in range(MAX_CRASHES):
                ended = crash_of(f"server-{number}-{end}/1796384482878", at_s=50.0)
                records.note_crash(name_of("/a", body=b"%d" % number), ended)
            for tried in range(TRIES):
                refused = try_of(
                    f"front-1/8237482374982374/{number}-{tried}",
                    at_s=50.0,
                    state=TryState.REFUSED,
                )
                records.note_try(names[number], refused)
            whole_runs.note(name_of("/b", body=b"%d" % number).digest, 50.0)
        for number, name in enumerate(names):
            records.note_cleared(name.digest, [f"cleared-{number}/1796384482878"])
        snapshot = tracemalloc.take_snapshot().filter_traces([here])
        taken = sum(trace.size for trace in snapshot.traces)
    finally:
        tracemalloc.stop()
    assert len(records) <= MAX_RECORDS
    assert taken < MAX_BYTES


def test_record_that_was_evicted_is_not_one_that_was_cleared() -> None:
    """Guards against a leader that lets a request through for want of room."""
    records, _ = records_with(1)
    records.note_cleared(NAME.digest, ["another"])
    for number in range(MAX_RECORDS):
        name = name_of("/a", body=b"%d" % number)
        for end in range(2):
            records.note_crash(name, crash_of(f"{number}-{end}"))
    assert records.record(NAME.digest) is None
    assert NAME.digest not in records.cleared()


def test_endless_suspects_push_out_no_refused_request() -> None:
    """Guards against callers who send others so that one is forgotten."""
    clock = Clock()
    records = CrashRecords(now_s=clock)
    for end in range(MAX_CRASHES):
        records.note_crash(NAME, crash_of(f"s{end}"))
    for number in range(10 * MAX_RECORDS):
        name = name_of("/a", body=b"%d" % number)
        records.note_crash(name, crash_of(f"server-{number}", at_s=50.0))
    assert len(records) <= MAX_RECORDS
    clock.now_s += UNDECIDED_S
    assert records.verdict(NAME.digest).standing is Standing.REFUSED
