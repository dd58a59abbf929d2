"""The fault table: which calls a fault applies to, and its effect on them."""

from random import Random

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.errors import OutcomeUnknownError, PeerUnavailableError
from gentianwharf.infra import (
    Fault,
    FaultKind,
    FaultyStore,
    MemoryStore,
    StoreOperation,
    VersionedValue,
)

from .builders_platform import HttpBench, MemoryBench, run_now

DOWN = FaultKind.DOWN


@pytest.mark.parametrize(
    ("fault", "operation", "key", "now_s", "expected"),
    [
        pytest.param(Fault(kind=DOWN), "get", "a", 0, True, id="all"),
        pytest.param(Fault(kind=DOWN, from_s=5), "get", "a", 4.9, False, id="before"),
        pytest.param(Fault(kind=DOWN, from_s=5), "get", "a", 5, True, id="from"),
        pytest.param(Fault(kind=DOWN, until_s=5), "get", "a", 5, False, id="until"),
        pytest.param(
            Fault(kind=DOWN, key_prefix="t/"), "get", "t/1", 0, True, id="prefix"
        ),
        pytest.param(
            Fault(kind=DOWN, key_prefix="t/"), "get", "u/1", 0, False, id="other-key"
        ),
        pytest.param(
            Fault(kind=DOWN, operations=frozenset({StoreOperation.WATCH})),
            "get",
            "a",
            0,
            False,
            id="other-operation",
        ),
        pytest.param(
            Fault(kind=FaultKind.SILENT_WATCH), "get", "a", 0, False, id="not-a-watch"
        ),
        pytest.param(
            Fault(kind=FaultKind.SILENT_WATCH), "watch", "a", 0, True, id="watch"
        ),
    ],
)
def test_fault_applies_to_matching_calls(
    fault: Fault, operation: str, key: str, now_s: float, expected: bool
) -> None:
    assert fault.applies(StoreOperation(operation), key, now_s) is expected


def test_share_of_the_calls_is_drawn_from_the_seed() -> None:
    def outcomes(seed: int) -> list[bool]:
        clock = Clock()
        store = FaultyStore(
            store=MemoryStore(clock=clock),
            clock=clock,
            rng=Random(seed),
            faults=[Fault(kind=DOWN, share=0.5)],
        )
        return [_succeeds(store) for _ in range(200)]

    assert outcomes(1) == outcomes(1) != outcomes(2)
    assert 70 < sum(outcomes(1)) < 130


def _succeeds(store: FaultyStore) -> bool:
    try:
        run_now(store.get("a"))
    except PeerUnavailableError:
        return False
    return True


def test_silent_watch_ends_empty_though_something_changed() -> None:
    bench = MemoryBench(faults=(Fault(kind=FaultKind.SILENT_WATCH),))
    run_now(bench.store.compare_and_swap("a", b"1", expected_revision=0))
    assert bench.run(bench.store.watch("a", after_revision=0, wait_s=5)) == []


def test_late_answer_is_the_old_value() -> None:
    bench = MemoryBench()
    run_now(bench.store.compare_and_swap("a", b"1", expected_revision=0))
    bench.store.faults.append(Fault(kind=FaultKind.ANSWER_LATE, delay_s=3))
    seen: list[VersionedValue | None] = []
    Deferred.fromCoroutine(bench.store.get("a")).addCallback(seen.append)
    run_now(bench.inner.compare_and_swap("a", b"2", expected_revision=1))
    bench.pass_time(3)
    assert [value and value.value for value in seen] == [b"1"]


def test_late_effect_comes_after_the_error() -> None:
    """A write takes effect after its caller has taken it for failed."""
    bench = MemoryBench(faults=(Fault(kind=FaultKind.EFFECT_LATE, delay_s=3),))
    with pytest.raises(OutcomeUnknownError):
        run_now(bench.store.compare_and_swap("a", b"1", expected_revision=0))
    assert run_now(bench.inner.get("a")) is None
    bench.pass_time(3)
    assert run_now(bench.inner.get("a")) is not None


def test_watch_on_a_silent_connection_times_out() -> None:
    """A middlebox drops the connection of a waiting watch without closing it.

    Without a timeout the host would wait for rules on it for ever.
    """
    bench = HttpBench(faults=(Fault(kind=FaultKind.HANGS),))
    with pytest.raises(OutcomeUnknownError) as caught:
        bench.run(bench.store.watch("a", after_revision=0, wait_s=0.1))
    assert caught.value.step == "store watch"
    bench.close()
