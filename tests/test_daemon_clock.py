"""A step of the wall clock moves nothing."""

import time

import pytest
from twisted.internet import base
from twisted.internet.selectreactor import SelectReactor

from gentianwharf.lifecycle import use_monotonic_time


@pytest.mark.parametrize("step_s", [-3600.0, 3600.0], ids=["back", "forward"])
def test_step_of_the_wall_clock_does_not_move_the_loop(
    monkeypatch: pytest.MonkeyPatch, step_s: float
) -> None:
    """Two servers run one key's requests after a time daemon set a host's clock back.

    The host's right to send had ended and a new owner had been granted the shard;
    with the clock an hour earlier, the right seemed to hold again.
    """
    reactor = SelectReactor()
    use_monotonic_time(reactor)
    before_s = reactor.seconds()
    wall = time.time
    monkeypatch.setattr(base, "runtimeSeconds", lambda: wall() + step_s)
    assert 0 <= reactor.seconds() - before_s < abs(step_s)
