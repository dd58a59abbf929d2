"""What is known about one request under which servers have ended."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol, final

MAX_CRASHES = 3
"""Servers that end under a request before it is refused."""

UNDECIDED_S = 1.0
"""From the last of these ends to the refusal, unless ends of others are correlated."""

MIN_PERMITTED = 2
"""How many of them end while no other copy of the request runs. Copies of an innocent
may be on every server of a mass loss."""

MIN_CORRELATED = 2
"""Of the first ``MAX_CRASHES`` ends, how many had company where it may be innocent."""

MAX_TRIALS = 3
"""Runs of a refused request, in its whole life, to find out whether it is
innocent."""

RETRY_AFTER_S = 300.0
"""Told to callers of a request that only operators can let through."""


class CrashEvidence(StrEnum):
    """How it is known that a server ended, and didn't only close a connection."""

    REFUSED = "connections-refused"
    STARTED_AGAIN = "started-again"
    NOT_LISTED = "no-longer-listed"


class Standing(StrEnum):
    """How a request is dealt with."""

    FREE = "free"
    ONE_AT_A_TIME = "one-at-a-time"
    UNDECIDED = "undecided"
    """Refused soon, unless other servers end at about the same time."""

    REFUSED = "refused"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """A request's standing; ``retry_after_s`` is when it may change, if it is refused.

    ``is_trial`` is whether the run counts against ``MAX_TRIALS``.
    """

    standing: Standing
    retry_after_s: float = 0.0
    is_trial: bool = False


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServerCrash:
    """The end of a server while a request was there.

    ``incarnation`` identifies the server from its start to its end. ``ended_s`` is on
    the clock of this host, ``ended_unix_ms`` on that of ``host``, which noticed the
    end. ``is_correlated`` is whether a server where the request was not ended at about
    the same time. ``is_permitted`` is whether no other copy of the request ran then.
    """

    incarnation: str
    ended_s: float
    ended_unix_ms: int
    evidence: CrashEvidence
    host: str
    request_id: str
    service: str
    is_correlated: bool = False
    is_permitted: bool = False


class PermittedEnd(Protocol):
    """The end of a server under a request, here or in a store."""

    @property
    def is_permitted(self) -> bool:
        """Whether no other copy of the request ran then."""


def is_convicted(ends: Iterable[PermittedEnd]) -> bool:
    """Whether enough servers ended, some of them under one copy of a request alone."""
    ends = list(ends)
    return len(ends) >= MAX_CRASHES and _permitted(ends) >= MIN_PERMITTED


def _permitted(ends: Iterable[PermittedEnd]) -> int:
    return sum(end.is_permitted for end in ends)


@final
@dataclass(kw_only=True, slots=True, eq=False)
class Record:
    """The servers that ended under a request, by their incarnations."""

    head: bytes
    digest: bytes
    crashes: dict[str, ServerCrash] = field(default_factory=dict)

    def in_order(self) -> list[ServerCrash]:
        """Return the ends of servers, the earliest first."""
        return sorted(self.crashes.values(), key=lambda crash: crash.ended_s)

    def verdict(self, now_s: float) -> Verdict:
        """Return how the request is dealt with now."""
        crashes = self.in_order()
        if not crashes:
            return Verdict(standing=Standing.FREE)
        if not self.is_convicted:
            return Verdict(standing=Standing.ONE_AT_A_TIME)
        is_correlated = self._has_correlated_crashes(crashes)
        undecided_s = crashes[-1].ended_s + UNDECIDED_S - now_s
        if not is_correlated and undecided_s > 0:
            return Verdict(standing=Standing.UNDECIDED, retry_after_s=undecided_s)
        if self.trials >= self._max_trials() or not is_correlated:
            return Verdict(standing=Standing.REFUSED, retry_after_s=RETRY_AFTER_S)
        return Verdict(standing=Standing.ONE_AT_A_TIME, is_trial=True)

    @property
    def is_convicted(self) -> bool:
        """Whether the request is refused, but for trials."""
        return is_convicted(self.crashes.values())

    @property
    def trials(self) -> int:
        """How many runs of the request have ended servers since it was refused."""
        return max(0, _permitted(self.crashes.values()) - MIN_PERMITTED)

    def _max_trials(self) -> int:
        # Ends after the third one that were needed as a proof count as well.
        copies = len(self.crashes) - _permitted(self.crashes.values())
        return MAX_TRIALS - min(MIN_PERMITTED, max(0, copies - 1))

    def _has_correlated_crashes(self, crashes: list[ServerCrash]) -> bool:
        correlated = sum(crash.is_correlated for crash in crashes[:MAX_CRASHES])
        return correlated >= MIN_CORRELATED
