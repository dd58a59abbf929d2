"""Timing of short operations."""

import gc
from collections.abc import Callable
from time import perf_counter

ROUNDS = 5
MICROSECONDS = 1_000_000


def time_us(operation: Callable[[], object], *, times: int) -> float:
    """Return the mean time of one call in the fastest round, in microseconds.

    The fastest round is the closest to the true cost, since other programs on the
    machine can only add time.
    """
    best_s = float("inf")
    gc.collect()
    for _ in range(ROUNDS):
        started_s = perf_counter()
        for _ in range(times):
            operation()
        best_s = min(best_s, perf_counter() - started_s)
    return best_s / times * MICROSECONDS
