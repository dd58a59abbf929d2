"""How many requests of a class may wait.

Load pattern: steady overload. A queue that holds what comes adds its whole length to
everybody's answer and serves nobody more: at three times the load with places for
100 ms, all of them are always taken.

While hardly any is refused, as many may wait as the class's longest wait allows. The
more are refused, the fewer are needed so that no slot runs empty: at ``r`` times the
capacity an M/M/1 queue of K places is empty in about ``r ** -K`` of the time.
"""

from math import log

# A slot may run empty in 5 % of the time, while the servers hold some requests more.
LOG_EMPTY_SHARE = log(0.05)
MIN_SERVED_SHARE = 0.01
# Answers end at random: without a place or two a slot stays empty until somebody asks.
MIN_CAPACITY = 2


def max_queue_capacity(max_wait_s: float, rate_per_s: float) -> int:
    """Return how many are served within the class's longest wait.

    >>> max_queue_capacity(0.1, 200.0), max_queue_capacity(0.1, 5.0)
    (20, 2)
    """
    return max(MIN_CAPACITY, int(max_wait_s * rate_per_s))


def queue_capacity(most: int, refused_share: float, class_share: float) -> int:
    """Return how many may wait now, ``class_share`` being the class's part of all.

    >>> [queue_capacity(20, refused, 1.0) for refused in (0.0, 0.1, 0.3, 0.66, 0.9)]
    [20, 20, 8, 2, 2]
    """
    served = max(MIN_SERVED_SHARE, 1.0 - refused_share)
    if served == 1.0:
        return most
    needed = LOG_EMPTY_SHARE / log(served) * class_share
    return max(MIN_CAPACITY, int(min(most, needed)))
