"""A bounded memory of decisions, for the question why a request went as it did."""

from collections import deque
from random import Random
from typing import final

from ._answer import Decision

# 2,000 decisions of about 500 bytes are 1 MB a ring, under 2% of the 128 MB that
# a node may spend on control.
MOST_DECISIONS = 2_000
# One in 50 ordinary decisions: at 2,000 requests/s the ring spans 50 s of them.
SAMPLE_SHARE = 0.02


@final
class DecisionRing:
    """The latest decisions: refused and unknown ones always, others sampled.

    The kinds have a ring each: under overload refusals come by the thousand a second,
    and in one ring they would push out every ordinary decision that shows what was
    still being served. Requests that no rule decided on have one too: whoever probes
    the port with them would push out the refusals of real ones.

    >>> from gentianwharf.metrics import Decision, RunStatus
    >>> ring = DecisionRing(random=Random(1), most=2, sample_share=0.0)
    >>> for number in range(3):
    ...     ring.add(Decision(request_id=f"r{number}", at_s=float(number),
    ...         service="ledger", request_class="posting", rule=1, server="ledger-1",
    ...         run=RunStatus.UNKNOWN, waited_s=0.0, refused=None, reasons=()))
    >>> [decision.request_id for decision in ring.latest()]
    ['r2', 'r1']
    """

    def __init__(
        self,
        *,
        random: Random,
        most: int = MOST_DECISIONS,
        sample_share: float = SAMPLE_SHARE,
    ) -> None:
        self._random = random
        self._sample_share = sample_share
        self._kept: deque[Decision] = deque(maxlen=most)
        self._sampled: deque[Decision] = deque(maxlen=most)
        self._undecided: deque[Decision] = deque(maxlen=most)

    def wants_ordinary(self) -> bool:
        """Return whether the next ordinary decision should be built at all."""
        return self._random.random() < self._sample_share

    def add(self, decision: Decision) -> None:
        """Keep a refused or unknown decision; draw for the others."""
        if decision.always_kept and not decision.rule:
            self._undecided.append(decision)
        elif decision.always_kept:
            self._kept.append(decision)
        elif self.wants_ordinary():
            self._sampled.append(decision)

    def add_sampled(self, decision: Decision) -> None:
        """Keep an ordinary decision that ``wants_ordinary`` has drawn already."""
        self._sampled.append(decision)

    def latest(
        self, *, most: int = MOST_DECISIONS, always_kept_only: bool = False
    ) -> list[Decision]:
        """Return the kept decisions, the latest first.

        ``always_kept_only`` leaves out the sampled ones: all that were served.
        """
        found = [*self._kept, *self._undecided]
        if not always_kept_only:
            found += self._sampled
        found.sort(key=lambda decision: decision.at_s, reverse=True)
        return found[:most]

    def find(self, request_id: str) -> Decision | None:
        """Return the decision on a request, or None when it is not kept."""
        for decision in (*self._kept, *self._undecided, *self._sampled):
            if decision.request_id == request_id:
                return decision
        return None
