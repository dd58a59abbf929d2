"""The loop's clock."""

import time
from typing import Any


def use_monotonic_time(reactor: Any) -> None:
    """Let ``reactor`` count time that nobody can set; call it before all else.

    Twisted's reactor reads the wall clock. When that is stepped back, as a time daemon
    does on a host that was off, a right to send that has ended would hold again, and
    a lease would seem held by two hosts; stepped forward, every timeout is over. The
    monotonic clock stands still while the machine is suspended, and a lease that ended
    meanwhile would seem to hold; the one since the boot counts that time.
    """
    reactor.seconds = _seconds


def _seconds() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
