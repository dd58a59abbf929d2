"""Contract tests of ``KeyValueStore``, in memory, over HTTP or for ``--store-bench``.

A bench has ``store``, ``run(coroutine)``, ``pass_time(seconds)``, which lets leases
expire, and ``close()``. Its store is empty at the start.
"""

from collections.abc import Iterator

import pytest
from twisted.internet.defer import Deferred

from gentianwharf.errors import (
    ConflictError,
    GentianwharfError,
    OutcomeUnknownError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.infra import (
    MOST_VALUE_BYTES,
    Fault,
    FaultKind,
    StoreOperation,
    VersionedValue,
)

from .builders_platform import HttpBench, MemoryBench

Bench = MemoryBench | HttpBench

STORE_BENCHES = [MemoryBench, HttpBench]


@pytest.fixture
def bench(store_bench_class: type[Bench]) -> Iterator[Bench]:
    bench = store_bench_class()
    yield bench
    bench.close()


CURRENT = -1
"""Placeholder in parameters for the current revision of key ``a``."""


async def _write(bench: Bench, key: str, value: bytes = b"x") -> VersionedValue:
    found = await bench.store.get(key)
    revision = 0 if found is None else found.revision
    return await bench.store.compare_and_swap(key, value, expected_revision=revision)


def test_revisions_grow_over_the_whole_store(bench: Bench) -> None:
    written = [bench.run(_write(bench, key)) for key in ("a", "b", "a")]
    revisions = [value.revision for value in written]
    assert revisions == sorted(set(revisions))


def test_any_bytes_come_back_as_written(bench: Bench) -> None:
    value = bytes(range(256)) * 4
    written = bench.run(_write(bench, "a", value))
    assert bench.run(bench.store.get("a")) == written
    assert written.value == value


def test_absent_key_is_none(bench: Bench) -> None:
    assert bench.run(bench.store.get("a")) is None
    assert bench.run(bench.store.get_many("a")) == []


def test_get_many_reads_a_prefix_in_one_call(bench: Bench) -> None:
    for key in ("t/2", "t/1", "u/1"):
        bench.run(_write(bench, key))
    found = bench.run(bench.store.get_many("t/"))
    assert sorted(value.key for value in found) == ["t/1", "t/2"]


@pytest.mark.parametrize(
    ("key", "expected_revision", "size_bytes", "lease_id", "error"),
    [
        pytest.param("a", 0, 1, None, ConflictError, id="present-not-absent"),
        pytest.param("a", 7, 1, None, ConflictError, id="other-revision"),
        pytest.param("b", CURRENT, 1, None, ConflictError, id="absent-not-present"),
        pytest.param(
            "a", CURRENT, MOST_VALUE_BYTES + 1, None, RefusedError, id="too-large"
        ),
        pytest.param("a", CURRENT, 1, "lease-9", RefusedError, id="no-such-lease"),
    ],
)
def test_refused_write_has_no_effect(
    bench: Bench,
    key: str,
    expected_revision: int,
    size_bytes: int,
    lease_id: str | None,
    error: type[GentianwharfError],
) -> None:
    before = bench.run(_write(bench, "a"))
    with pytest.raises(error):
        bench.run(
            bench.store.compare_and_swap(
                key,
                b"y" * size_bytes,
                expected_revision=(
                    before.revision
                    if expected_revision == CURRENT
                    else expected_revision
                ),
                lease_id=lease_id,
            )
        )
    assert bench.run(bench.store.get_many("")) == [before]


def test_largest_value_is_accepted(bench: Bench) -> None:
    value = b"y" * MOST_VALUE_BYTES
    assert bench.run(_write(bench, "a", value)).value == value


def test_lease_expires_with_its_keys_unless_renewed(bench: Bench) -> None:
    lease = bench.run(bench.store.lease_grant(ttl_s=5))
    first = bench.run(
        bench.store.compare_and_swap(
            "held", b"1", expected_revision=0, lease_id=lease.id
        )
    )
    bench.pass_time(4)
    bench.run(bench.store.lease_renew(lease.id))
    bench.pass_time(4)
    assert bench.run(bench.store.get("held")) is not None
    bench.pass_time(2)
    assert bench.run(bench.store.get("held")) is None
    with pytest.raises(RefusedError):
        bench.run(bench.store.lease_renew(lease.id))
    assert bench.run(_write(bench, "held")).revision > first.revision


def test_revoked_lease_removes_its_keys_at_once(bench: Bench) -> None:
    lease = bench.run(bench.store.lease_grant(ttl_s=5))
    bench.run(
        bench.store.compare_and_swap("k", b"1", expected_revision=0, lease_id=lease.id)
    )
    bench.run(bench.store.lease_revoke(lease.id))
    bench.run(bench.store.lease_revoke(lease.id))
    assert bench.run(bench.store.get("k")) is None


def test_key_written_again_without_lease_outlives_it(bench: Bench) -> None:
    lease = bench.run(bench.store.lease_grant(ttl_s=5))
    bench.run(
        bench.store.compare_and_swap("k", b"1", expected_revision=0, lease_id=lease.id)
    )
    bench.run(_write(bench, "k", b"2"))
    bench.pass_time(6)
    assert bench.run(bench.store.get("k")) is not None


def test_watch_returns_at_once_if_newer_changes_exist(bench: Bench) -> None:
    first = bench.run(_write(bench, "a/1"))
    bench.run(_write(bench, "a/2"))
    found = bench.run(bench.store.watch("a/", after_revision=first.revision, wait_s=30))
    assert [value.key for value in found] == ["a/2"]


def test_watch_waits_for_a_change_under_its_prefix(bench: Bench) -> None:
    watch = Deferred.fromCoroutine(
        bench.store.watch("a/", after_revision=0, wait_s=0.3)
    )

    async def change() -> list[VersionedValue]:
        await _write(bench, "b/1")
        assert not watch.called
        await _write(bench, "a/1")
        return await watch

    assert [value.key for value in bench.run(change())] == ["a/1"]


def test_watch_ends_empty_when_nothing_changes(bench: Bench) -> None:
    assert bench.run(bench.store.watch("a/", after_revision=0, wait_s=0.3)) == []


def test_one_of_concurrent_writes_succeeds(bench: Bench) -> None:
    async def race() -> list[bool]:
        writes = [
            Deferred.fromCoroutine(
                bench.store.compare_and_swap("a", value, expected_revision=0)
            )
            for value in (b"1", b"2")
        ]
        won = []
        for write in writes:
            try:
                await write
                won.append(True)
            except ConflictError:
                won.append(False)
        return won

    assert sorted(bench.run(race())) == [False, True]


@pytest.mark.parametrize("make", [MemoryBench, HttpBench], ids=["memory", "http"])
def test_calls_are_counted_as_the_platform_counts_them(make: type[Bench]) -> None:
    """A read of a prefix counts as one call, and so does a watch of any duration."""
    bench = make()
    for key in ("t/2", "t/1"):
        bench.run(_write(bench, key))
    bench.run(bench.store.get_many("t/"))
    bench.run(bench.store.watch("u/", after_revision=0, wait_s=0.3))
    assert bench.inner.calls[StoreOperation.GET_MANY] == 1
    assert bench.inner.calls[StoreOperation.WATCH] == 1
    assert bench.inner.waiting_watches == 0
    bench.close()


FAULTS = [
    pytest.param(Fault(kind=FaultKind.DOWN), PeerUnavailableError, False, id="down"),
    pytest.param(
        Fault(kind=FaultKind.ANSWER_LOST), OutcomeUnknownError, True, id="answer-lost"
    ),
    pytest.param(
        Fault(kind=FaultKind.EFFECT_LATE, delay_s=1),
        OutcomeUnknownError,
        True,
        id="effect-late",
    ),
    pytest.param(Fault(kind=FaultKind.SLOW, delay_s=0.2), None, True, id="slow"),
    pytest.param(
        Fault(kind=FaultKind.ANSWER_LATE, delay_s=0.2), None, True, id="answer-late"
    ),
]


@pytest.mark.parametrize("make", [MemoryBench, HttpBench], ids=["memory", "http"])
@pytest.mark.parametrize(("fault", "error", "takes_effect"), FAULTS)
def test_error_says_whether_a_write_can_have_taken_effect(
    make: type[Bench],
    fault: Fault,
    error: type[GentianwharfError] | None,
    takes_effect: bool,
) -> None:
    """An operator applies rules while the store fails during the write.

    The tool may report "not applied" only if the write had no effect. If it takes a
    lost response for a failure, the operator writes again over a change in force.
    """
    bench = make(faults=(fault,))
    write = bench.store.compare_and_swap("a", b"1", expected_revision=0)
    if error is None:
        bench.run(write)
    else:
        with pytest.raises(error):
            bench.run(write)
    bench.pass_time(2)
    assert (bench.inner.calls[StoreOperation.COMPARE_AND_SWAP] == 1) is takes_effect
    bench.close()


def test_silent_connection_ends_by_the_timeout() -> None:
    """A middlebox between host and store drops the connection without closing it.

    Without its own timeout the host would wait for a response for ever.
    """
    bench = HttpBench(faults=(Fault(kind=FaultKind.HANGS),))
    with pytest.raises(OutcomeUnknownError, match="within 0.5 s") as caught:
        bench.run(bench.store.get("a"))
    assert caught.value.step == "store get"
    bench.close()
