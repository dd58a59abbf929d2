"""Repeats of entry hosts, compared with what servers receive."""

from collections import Counter

from soak._retry_checks import repeats_of
from soak._server_link import LinkCut

from tests.builders_cut_off import CutOffDeployment

CUT_OFF = "host-0"
DETECTION_S = 1.0
UNUSED_S = 13.0
"""A time after which a host's share of the retries is available."""


def test_repeats_through_tunnels_take_retries() -> None:
    """Guards against repeats that are not counted since another host carries them."""
    deployment = CutOffDeployment(domains="abc")

    async def play() -> None:
        deployment.cut([CUT_OFF], LinkCut.HANG)
        await deployment.send_all(duration_s=DETECTION_S, per_s=20.0, names=[CUT_OFF])
        await deployment.wait(UNUSED_S)
        deployment.arrivals.clear()
        sends.clear()
        sends.update(retries.sends())
        deployment.lose_answers(1.0)
        await deployment.send_all(duration_s=1.0, per_s=20.0, names=[CUT_OFF])

    retries = deployment.hosts[CUT_OFF]._gate.retries
    sends: Counter[tuple[str, str]] = Counter()
    try:
        deployment.run(play())
        sent = Counter(retries.sends()) - sends
    finally:
        deployment.stop()
    arrivals = [(item.request_id, item.arrived_s) for item in deployment.arrivals]
    repeats = len(repeats_of(arrivals))
    assert repeats > 0
    assert repeats == sum(n for (_, cause), n in sent.items() if cause != "first")
