"""The deadline that a server is told."""

from gentianwharf.relay._deadline import remaining_time

UNIX_AT_0_S = 1_000.0


class PausingHost:
    """A host that stands still for a second at each look at a clock."""

    def __init__(self) -> None:
        self._now_s = 0.0

    def now_s(self) -> float:
        """Return the monotonic time, after a pause."""
        self._now_s += 1.0
        return self._now_s

    def unix_s(self) -> float:
        """Return the wall clock's time, after a pause."""
        return UNIX_AT_0_S + self.now_s()


def test_pause_between_two_clocks_never_makes_a_deadline_later() -> None:
    """A host is paused while it works out the deadline of a request.

    Its server was told a deadline later by the pause, for which nobody waits when the
    server freezes: it thaws and runs the request beside the shard's new owner.
    """
    host = PausingHost()
    left = remaining_time(10.0, now_s=host.now_s, unix_s=host.unix_s)
    assert left.deadline_unix_s <= UNIX_AT_0_S + 10.0
