"""The deadline that is sent to a server."""

from gentianwharf.relay._deadline import remaining_time

UNIX_AT_0_S = 1_000.0


class PausingHost:
    """Clocks of a host that pauses for a second at each reading."""

    def __init__(self) -> None:
        self._now_s = 0.0

    def now_s(self) -> float:
        """Return the monotonic time, after a pause."""
        self._now_s += 1.0
        return self._now_s

    def unix_s(self) -> float:
        """Return the wall clock's time, after a pause."""
        return UNIX_AT_0_S + self.now_s()


def test_pause_between_two_clock_readings_does_not_delay_the_deadline() -> None:
    """Guards against a server that runs a request after its shard has a new owner.

    The host is paused between reading two clocks while it computes the deadline. The
    deadline sent to the server was later by the duration of the pause, so that a server
    that froze and resumed still ran the request.
    """
    host = PausingHost()
    remaining = remaining_time(10.0, now_s=host.now_s, unix_s=host.unix_s)
    assert remaining.deadline_unix_s <= UNIX_AT_0_S + 10.0
