"""Uploads under all kinds of trouble: bodies arrive unchanged, callers get answers."""

import pytest

from tests.builders_upload_play import Way, play_uploads
from tests.builders_uploads import Behaviour, Dialect

DURATION_S = 6.0


@pytest.mark.parametrize(
    ("seed", "dialect", "way"),
    [
        pytest.param(1, Dialect.DEFAULT, Way.DIRECT, id="default-direct"),
        pytest.param(2, Dialect.PLATFORM, Way.DIRECT, id="platform-direct"),
        pytest.param(3, Dialect.DEFAULT, Way.TUNNELS, id="default-tunnels"),
        pytest.param(4, Dialect.PLATFORM, Way.TUNNELS, id="platform-tunnels"),
    ],
)
def test_bodies_arrive_as_sent_and_each_caller_is_answered(
    seed: int, dialect: Dialect, way: Way
) -> None:
    """Guards against bodies without their beginning, and callers that wait forever."""
    played = play_uploads(seed=seed, duration_s=DURATION_S, dialect=dialect, way=way)
    assert not played.uploads.faults(), str(played)
    assert set(played.behaviours) == set(Behaviour), str(played)
    assert bool(played.connections_by_tunnel) == (way is Way.TUNNELS), str(played)
