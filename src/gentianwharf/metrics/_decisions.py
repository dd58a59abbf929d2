"""A bounded record of routing decisions, to explain the handling of a request."""

from collections import deque
from random import Random
from typing import final

from ._answer import Decision

# 2,000 decisions of about 500 bytes take 1 MB per ring, less than 2% of the 128 MB that
# the control functions of a node may use.
MAX_DECISIONS = 2_000
# With one in 50 ordinary decisions the ring covers 50 s at 2,000 requests/s.
SAMPLE_SHARE = 0.02


@final
class DecisionRing:
    """The latest decisions: all refused and unknown ones, and a sample of the others.

    There are separate ring buffers. Under overload thousands of requests are refused
    per second; in a common ring their decisions would displace all ordinary ones,
    which show what is still being served. Decisions on requests that no rule matches
    also have a ring of their own, so that a client that probes the port with such
    requests can't displace the refusals of real requests.

    >>> from gentianwharf.metrics import Decision, RunStatus
    >>> ring = DecisionRing(random=Random(1), capacity=2, sample_share=0.0)
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
        capacity: int = MAX_DECISIONS,
        sample_share: float = SAMPLE_SHARE,
    ) -> None:
        self._random = random
        self._sample_share = sample_share
        self._always_kept: deque[Decision] = deque(maxlen=capacity)
        self._sampled: deque[Decision] = deque(maxlen=capacity)
        self._unmatched: deque[Decision] = deque(maxlen=capacity)

    def should_sample(self) -> bool:
        """Return, at random, whether to create and keep the next ordinary decision."""
        return self._random.random() < self._sample_share

    def add(self, decision: Decision) -> None:
        """Keep a refused or unknown decision; sample the others."""
        if decision.always_kept and not decision.rule:
            self._unmatched.append(decision)
        elif decision.always_kept:
            self._always_kept.append(decision)
        elif self.should_sample():
            self._sampled.append(decision)

    def add_sampled(self, decision: Decision) -> None:
        """Keep an ordinary decision for which ``should_sample`` returned True."""
        self._sampled.append(decision)

    def latest(
        self, *, limit: int = MAX_DECISIONS, always_kept_only: bool = False
    ) -> list[Decision]:
        """Return up to ``limit`` kept decisions, the latest first.

        ``always_kept_only`` leaves out the sampled decisions, which are those on
        requests that were served.
        """
        found = [*self._always_kept, *self._unmatched]
        if not always_kept_only:
            found += self._sampled
        found.sort(key=lambda decision: decision.at_s, reverse=True)
        return found[:limit]

    def find(self, request_id: str) -> Decision | None:
        """Return the decision on a request, or None if it is not kept."""
        for decision in (*self._always_kept, *self._unmatched, *self._sampled):
            if decision.request_id == request_id:
                return decision
        return None
