"""Plans: reproducible, with Poisson arrivals, Zipf keys and the shares of the mix."""

from collections import Counter

import pytest

from gentianwharf.errors import InputError
from gentianwharf.loadtool import Part
from tests.builders_loadtool import planned


def test_same_seed_gives_the_same_plan() -> None:
    assert planned(500, 2) == planned(500, 2)


def test_plan_keeps_rate_shares_and_zipf_law() -> None:
    requests = planned(10_000, 2)
    assert len(requests) == pytest.approx(20_000, rel=0.05)
    kinds = Counter(request.kind.request_class for request in requests)
    assert kinds["consultation"] / len(requests) == pytest.approx(0.72, abs=0.02)
    keys = Counter(request.key for request in requests)
    assert keys["faculte-1"] / keys["faculte-10"] == pytest.approx(10, rel=0.3)


def test_arrivals_do_not_wait_for_answers() -> None:
    dues_s = [request.due_s for request in planned(1_000, 1)]
    assert dues_s == sorted(dues_s)
    assert dues_s[-1] < 1


def test_parts_together_are_the_plan() -> None:
    """Four processes leave out a part of the plan, or send one twice."""
    complete = planned(500, 2)
    parts = [
        list(Part(number=number, count=4).select(complete)) for number in (1, 2, 3, 4)
    ]
    assert sorted(sum(parts, []), key=lambda request: request.number) == complete
    assert max(map(len, parts)) - min(map(len, parts)) <= 1


@pytest.mark.parametrize("text", ["0/4", "5/4", "1", "", "a/b", "1/0", "-1/2"])
def test_part_is_number_and_count(text: str) -> None:
    with pytest.raises(InputError, match="NUMBER/COUNT"):
        Part.parse(text)
