"""The clock of the event loop."""

import time
from typing import Any


def use_monotonic_time(reactor: Any) -> None:
    """Make ``reactor`` use a clock that can't be set; call it before anything else.

    Twisted's reactor reads the wall clock. If a time daemon sets that back, as on a
    host that was off, a right to send that has expired would be valid again, and two
    hosts would appear to hold the same lease. If it is set forward, every timeout
    expires. The monotonic clock stops while the machine is suspended, so that a lease
    that expired meanwhile would appear valid. The clock that counts from boot includes
    that time.
    """
    reactor.seconds = _seconds


def _seconds() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
