"""Open-loop plans: the start time of a request does not depend on any response."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import accumulate
from random import Random
from typing import final

from gentianwharf.errors import InputError

from ._mix import Mix, RequestKind


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedRequest:
    """One request; ``due_s`` is its start time in seconds from the start of the run."""

    number: int
    due_s: float
    kind: RequestKind
    key: str

    @property
    def path(self) -> str:
        """The path with the key filled in."""
        return self.kind.path.format(key=self.key)


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Part:
    """Part ``number`` of ``count`` of a plan that several processes send.

    One Python process sends a few hundred requests a second before its own delays
    dominate the measured latency. Each part selects requests by their number modulo
    ``count``, so that all parts together are the complete plan of the seed.

    >>> Part.parse("2/4")
    Part(number=2, count=4)
    """

    number: int = 1
    count: int = 1

    @classmethod
    def parse(cls, text: str) -> "Part":
        """Read ``NUMBER/COUNT``; raises ``InputError``."""
        number, _, count = text.partition("/")
        if number.isdigit() and count.isdigit() and 1 <= int(number) <= int(count):
            return cls(number=int(number), count=int(count))
        raise InputError(
            f"expected a part as NUMBER/COUNT (1/4), got {text!r}",
            step="check part",
            peer=text,
        )

    def __str__(self) -> str:
        return f"{self.number}/{self.count}"

    def select(self, requests: Iterable[PlannedRequest]) -> Iterator[PlannedRequest]:
        """Yield the requests of this part."""
        for request in requests:
            if request.number % self.count == self.number - 1:
                yield request


def plan(
    mix: Mix, *, rate_per_s: float, duration_s: float, random: Random
) -> Iterator[PlannedRequest]:
    """Yield requests with exponentially distributed gaps (Poisson arrivals).

    >>> from gentianwharf.loadtool import MIXES
    >>> first = next(plan(MIXES["tunis"], rate_per_s=100, duration_s=1,
    ...                   random=Random(1)))
    >>> first.path
    '/inscription/faculte-574/places'
    """
    key_weights = list(accumulate(zipf_weights(mix.key_count, mix.zipf_exponent)))
    kind_weights = list(accumulate(kind.share for kind in mix.kinds))
    ranks = range(1, mix.key_count + 1)
    due_s = 0.0
    number = 0
    while True:
        due_s += random.expovariate(rate_per_s)
        if due_s >= duration_s:
            return
        (rank,) = random.choices(ranks, cum_weights=key_weights)
        (kind,) = random.choices(mix.kinds, cum_weights=kind_weights)
        key = f"{mix.key_prefix}-{rank}"
        yield PlannedRequest(number=number, due_s=due_s, kind=kind, key=key)
        number += 1


def zipf_weights(count: int, exponent: float) -> list[float]:
    """Return the weight of each rank, the most popular first.

    >>> zipf_weights(3, 1.0)
    [1.0, 0.5, 0.3333333333333333]
    """
    return [rank**-exponent for rank in range(1, count + 1)]
