"""Timing of short operations."""

import gc
from collections.abc import Callable
from time import perf_counter

ROUNDS = 5
MICROSECONDS = 1_000_000


def time_us(operation: Callable[[], object], *, times: int) -> float:
    """Return the least mean time of one call over a few rounds, in microseconds.

    The least one: other programs on the machine only ever add time.
    """
    best_s = float("inf")
    gc.collect()
    for _ in range(ROUNDS):
        started_s = perf_counter()
        for _ in range(times):
            operation()
        best_s = min(best_s, perf_counter() - started_s)
    return best_s / times * MICROSECONDS
