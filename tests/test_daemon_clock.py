"""Steps of the wall clock don't affect the event loop."""

import time

import pytest
from twisted.internet import base
from twisted.internet.selectreactor import SelectReactor

from gentianwharf.lifecycle import use_monotonic_time


@pytest.mark.parametrize("step_s", [-3600.0, 3600.0], ids=["back", "forward"])
def test_wall_clock_step_does_not_affect_the_reactor(
    monkeypatch: pytest.MonkeyPatch, step_s: float
) -> None:
    """Guards against two servers that run requests of the same key.

    The host's right to send had expired and a new owner had been granted the shard. A
    time daemon set the clock back by an hour, and the right appeared to be valid again.
    """
    reactor = SelectReactor()
    use_monotonic_time(reactor)
    before_s = reactor.seconds()
    wall = time.time
    monkeypatch.setattr(base, "runtimeSeconds", lambda: wall() + step_s)
    assert 0 <= reactor.seconds() - before_s < abs(step_s)
