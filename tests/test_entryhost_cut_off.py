"""Hosts that have lost their links to all servers, and reach everything else."""

from collections import Counter
from collections.abc import Iterator, Sequence

import pytest
from soak._server_link import LinkCut

from tests.builders_cut_off import Answer, CutOffDeployment

DETECTION_S = 1.0
"""Time from the cut after which hosts without links serve like the others."""

MIN_SERVED_RATIO = 0.95
"""How often first tries at hosts without links are served, relative to the others."""

PER_S = 20.0
MEASURED_S = 2.0
LINKED_S = 1.5


@pytest.fixture
def deployment() -> Iterator[CutOffDeployment]:
    deployment = CutOffDeployment(domains="aaabc")
    yield deployment
    deployment.stop()


def served_shares(
    answers: Sequence[Answer], cut_off: Sequence[str]
) -> dict[str, float]:
    """Return by kind of request how often cut-off hosts served it, to the others."""
    served: Counter[tuple[str, bool]] = Counter()
    sent: Counter[tuple[str, bool]] = Counter()
    for answer in answers:
        group = (answer.id.partition("-")[0], answer.host in cut_off)
        sent[group] += 1
        served[group] += answer.is_served
    return {
        kind: (served[kind, True] / sent[kind, True])
        / (served[kind, False] / sent[kind, False])
        for kind in ("read", "post")
    }


@pytest.mark.parametrize("form", LinkCut)
@pytest.mark.parametrize(
    "cut_off",
    [
        pytest.param(["host-0"], id="one-host"),
        pytest.param(["host-0", "host-1"], id="most-of-a-domain"),
    ],
)
def test_hosts_without_links_serve_like_the_others(
    deployment: CutOffDeployment, form: LinkCut, cut_off: list[str]
) -> None:
    """Guards against hosts that refuse all requests although others reach servers."""

    async def play() -> list[dict[str, float]]:
        shares = []
        for _ in range(2):
            deployment.cut(cut_off, form)
            await deployment.send_all(duration_s=DETECTION_S, per_s=PER_S)
            answers = await deployment.send_all(duration_s=MEASURED_S, per_s=PER_S)
            shares.append(served_shares(answers, cut_off))
            deployment.restore(cut_off)
            await deployment.send_all(duration_s=LINKED_S, per_s=PER_S)
        return shares

    for shares in deployment.run(play()):
        assert min(shares.values()) >= MIN_SERVED_RATIO, shares
