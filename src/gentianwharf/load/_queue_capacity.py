"""The queue capacity of a request class.

Load pattern: steady overload. A long queue delays every answer by its whole length
without serving more requests: at three times the load, a queue with capacity for 100 ms
is always full.

While few requests are refused, the class's maximum wait determines the capacity. The
more are refused, the shorter a queue is needed to keep the slots busy: at ``r`` times
the service rate an M/M/1 queue with capacity K is empty for about ``r ** -K`` of the
time.
"""

from math import log

# The queue may be empty for 5 % of the time, since the servers hold some more requests.
LOG_EMPTY_SHARE = log(0.05)
MIN_SERVED_SHARE = 0.01
# Requests end at random times: without a short queue, a free slot stays idle until the
# next request arrives.
MIN_CAPACITY = 2


def max_queue_capacity(max_wait_s: float, rate_per_s: float) -> int:
    """Return how many requests are served within the class's maximum wait.

    >>> max_queue_capacity(0.1, 200.0), max_queue_capacity(0.1, 5.0)
    (20, 2)
    """
    return max(MIN_CAPACITY, int(max_wait_s * rate_per_s))


def queue_capacity(maximum: int, refused_share: float, class_share: float) -> int:
    """Return how many requests of a class with this share of the limit may wait now.

    >>> [queue_capacity(20, refused, 1.0) for refused in (0.0, 0.1, 0.3, 0.66, 0.9)]
    [20, 20, 8, 2, 2]
    """
    served = max(MIN_SERVED_SHARE, 1.0 - refused_share)
    if served == 1.0:
        return maximum
    needed = LOG_EMPTY_SHARE / log(served) * class_share
    return max(MIN_CAPACITY, int(min(maximum, needed)))
