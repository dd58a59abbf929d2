"""The retries that all hosts together may send: ``python -m bench.retries``.

In memory, with the budgets of each host. A part of all tries fails for a while, and a
request is saved if one of its retries does not. Hosts read a request, and servers a
retry, later than it was sent. Prints a JSON line for each case: requests saved, and
the repeats in the worst window beside those that are allowed.
"""

from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass
from random import Random
from typing import final

import msgspec
from soak._retry_checks import worst_window

from gentianwharf.load import RetryAgreement
from gentianwharf.load._host_shares import HostShares
from gentianwharf.load._retry_budgets import RetryBudgets

SERVICE = "seats"
TRIES = 3
FAIL_FROM_S = 20.0
LENGTH_S = 60.0
SEED = 20261204


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """A deployment, how many tries fail for how long, and how late things are.

    Until ``on_time_from_s`` hosts read requests ``late_s`` after their callers sent
    them, and from then on at once: what has waited comes together.
    """

    name: str
    hosts: int = 84
    extra: int = 208
    per_s: float = 124.0
    failing_share: float = 0.6
    fail_for_s: float = 25.0
    late_s: float = 0.0
    on_time_from_s: float = FAIL_FROM_S


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """What came of a case; ``spent`` is the part of the allowed repeats."""

    name: str
    failed_first: int
    saved: int
    repeats: int
    allowed: float
    spent: float


CASES = (
    Case(name="3-s", fail_for_s=3.0),
    Case(name="9-s", fail_for_s=9.0),
    Case(name="25-s"),
    Case(name="25-s-few-fail", failing_share=0.2),
    Case(name="25-s-all-fail", failing_share=1.0),
    Case(name="12-hosts", hosts=12, extra=64, per_s=100.0),
    Case(name="busy", per_s=400.0, failing_share=1.0),
    Case(name="2-s-late", late_s=2.0, failing_share=1.0),
    Case(name="2-s-late-12-hosts", hosts=12, extra=64, late_s=2.0, failing_share=1.0),
    Case(name="2-s-late-busy", late_s=2.0, per_s=400.0, failing_share=1.0),
)


def play(case: Case) -> Result:
    """Play a case."""
    rng = Random(SEED)
    agreement = RetryAgreement(ratio=0.2, extra=case.extra)
    budgets = _budgets(case.hosts, agreement)
    sent_s = list(_times(case.per_s, rng))
    repeated_s: list[float] = []
    failed_first = saved = 0
    for at_s in sent_s:
        read_s = _read_s(at_s, case)
        budget = budgets[rng.randrange(case.hosts)]
        budget.record_request(SERVICE, read_s)
        if not _fails(read_s, case, rng):
            continue
        failed_first += 1
        for _ in range(TRIES - 1):
            if not budget.take(SERVICE, read_s):
                break
            repeated_s.append(read_s)
            if not _fails(read_s, case, rng):
                saved += 1
                break
    repeated_s.sort()
    worst = worst_window(sent_s, repeated_s, agreement=agreement)
    return Result(
        name=case.name,
        failed_first=failed_first,
        saved=saved,
        repeats=worst.sent,
        allowed=round(worst.allowed, 1),
        spent=round(worst.sent / worst.allowed, 3),
    )


def _budgets(hosts: int, agreement: RetryAgreement) -> Sequence[RetryBudgets]:
    names = [f"host-{number}" for number in range(hosts)]
    made = []
    for name in names:
        shares = HostShares(name=name)
        shares.set_hosts(names)
        budgets = RetryBudgets(agreement=agreement, shares=shares)
        budgets.add(SERVICE)
        budgets.tick(0.0)
        made.append(budgets)
    return made


def _times(per_s: float, rng: Random) -> Iterator[float]:
    at_s = rng.expovariate(per_s)
    while at_s < LENGTH_S:
        yield at_s
        at_s += rng.expovariate(per_s)


def _read_s(at_s: float, case: Case) -> float:
    read_s = at_s + case.late_s
    return min(read_s, max(at_s, case.on_time_from_s))


def _fails(at_s: float, case: Case, rng: Random) -> bool:
    is_time = FAIL_FROM_S <= at_s < FAIL_FROM_S + case.fail_for_s
    return is_time and rng.random() < case.failing_share


def main() -> None:
    """Play all cases."""
    for case in CASES:
        print(msgspec.json.encode(asdict(play(case))).decode(), flush=True)


if __name__ == "__main__":
    main()
