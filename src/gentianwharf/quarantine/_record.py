"""What is known about one request under which servers have ended."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import Protocol, final

MAX_CRASHES = 3
"""Servers that end under a request before it is refused."""

UNDECIDED_S = 1.0
"""From the last of these ends to the refusal, unless ends of others are correlated."""

MIN_PERMITTED = 2
"""How many of them end while no other copy of the request runs. Copies of an innocent
that is sent often may be on every server of a mass loss."""

MIN_PERMITTED_AFTER_HEDGE = 1
"""The same if the others ended under both copies of one caller's request."""

MIN_CORRELATED = 2
"""Of the first ``MAX_CRASHES`` ends, how many had company where it may be innocent."""

EARLY_ENDS = 2
"""Servers that may have ended before the tries of a request are bounded. One end may
not be known, so that this may be the third one."""

MAX_LATE_TRIES = 3
"""Writes of a request to servers, in its whole life, after ``EARLY_ENDS``."""

MAX_LAST_TRIES = 2
"""The same after ``MAX_CRASHES``."""

LATE_TRY_GAPS_S = (0.0, 2.0, 30.0)
"""Minimum time from the previous of these writes to each of them."""

CALM_S = 2.0
"""Time without the end of another server before each of these writes but the first."""

MAX_CALM_WAIT_S = 20.0
"""How much later than ``LATE_TRY_GAPS_S`` a write may be for that."""

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
    """A request's standing; ``retry_after_s`` is when it may change.

    ``is_last_chance`` is whether three servers may already have ended under it.
    """

    standing: Standing
    retry_after_s: float = 0.0
    is_last_chance: bool = False


class TryState(IntEnum):
    """What is known of a try; a later value replaces an earlier one."""

    COUNTED = 0
    """It may have been written, and its server may have ended."""

    REFUSED = 1
    """A server refused it without running it."""

    WITHDRAWN = 2
    """No byte of it was written."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class PermittedTry:
    """One write of a suspected request to a server, counted before it takes place.

    ``begun_s`` is on the clock of this host, ``begun_unix_ms`` on that of ``host``,
    which sends it.
    """

    try_id: str
    begun_s: float
    begun_unix_ms: int
    host: str
    request_id: str
    state: TryState = TryState.COUNTED


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
    try_id: str = ""


class PermittedEnd(Protocol):
    """The end of a server under a request, here or in a store."""

    @property
    def is_permitted(self) -> bool:
        """Whether no other copy of the request ran then."""

    @property
    def request_id(self) -> str:
        """The caller's request; its copies share it."""


def is_convicted(ends: Iterable[PermittedEnd]) -> bool:
    """Whether enough servers ended, some of them under one copy of a request alone."""
    ends = list(ends)
    beside_others = {end.request_id for end in ends if not end.is_permitted}
    permitted = sum(end.is_permitted for end in ends)
    is_of_one_request = len(beside_others) <= 1
    needed = MIN_PERMITTED_AFTER_HEDGE if is_of_one_request else MIN_PERMITTED
    return len(ends) >= MAX_CRASHES and permitted >= needed


@final
@dataclass(kw_only=True, slots=True, eq=False)
class Record:
    """The servers that ended under a request, and its tries since the first of them."""

    head: bytes
    digest: bytes
    crashes: dict[str, ServerCrash] = field(default_factory=dict)
    """By the incarnation of the server."""

    tries: dict[str, PermittedTry] = field(default_factory=dict)
    """By ``try_id``."""

    def in_order(self) -> list[ServerCrash]:
        """Return the ends of servers, the earliest first."""
        return sorted(self.crashes.values(), key=lambda crash: crash.ended_s)

    def evidence_ids(self) -> list[str]:
        """Return what identifies each end of a server and each try."""
        return [*self.crashes, *self.tries]

    def verdict(self, now_s: float, *, other_end_s: float = float("-inf")) -> Verdict:
        """Return how the request is dealt with now.

        ``other_end_s`` is when a server where the request was not ended last.
        """
        if not self.crashes:
            return Verdict(standing=Standing.FREE)
        if self.has_used_up_tries:
            return Verdict(standing=Standing.REFUSED, retry_after_s=RETRY_AFTER_S)
        if self.is_proved_alone:
            undecided_s = self.in_order()[-1].ended_s + UNDECIDED_S - now_s
            if undecided_s > 0:
                return Verdict(standing=Standing.UNDECIDED, retry_after_s=undecided_s)
            return Verdict(standing=Standing.REFUSED, retry_after_s=RETRY_AFTER_S)
        wait_s = self._next_try_s(other_end_s=other_end_s) - now_s
        if wait_s > 0:
            return Verdict(standing=Standing.UNDECIDED, retry_after_s=wait_s)
        return Verdict(
            standing=Standing.ONE_AT_A_TIME,
            is_last_chance=self.possible_ends >= MAX_CRASHES,
        )

    def may_write(self, try_id: str) -> bool:
        """Whether a try that was counted may still take place."""
        counted = self.tries.get(try_id)
        return (
            counted is not None
            and counted.state is TryState.COUNTED
            and len(self.late_tries()) <= MAX_LATE_TRIES
            and len(self.tries_after(MAX_CRASHES)) <= MAX_LAST_TRIES
            and not self.is_proved_alone
        )

    @property
    def is_convicted(self) -> bool:
        """Whether the request is refused, but for its last tries."""
        return is_convicted(self.crashes.values())

    @property
    def is_proved_alone(self) -> bool:
        """Whether it has ended servers, most of them beside no other loss."""
        return self.is_convicted and not self._has_correlated_crashes()

    @property
    def is_refused(self) -> bool:
        """Whether it does not run any more, or only in its last tries."""
        return self.is_convicted or self.has_used_up_tries

    @property
    def has_used_up_tries(self) -> bool:
        """Whether as many tries were counted as a request has in its life."""
        return (
            len(self.late_tries()) >= MAX_LATE_TRIES
            or len(self.tries_after(MAX_CRASHES)) >= MAX_LAST_TRIES
        )

    @property
    def possible_ends(self) -> int:
        """How many servers may have ended under the request."""
        return len(self._possible_ends())

    def late_tries(self) -> list[PermittedTry]:
        """Return the tries whose number is bounded, in order."""
        return self.tries_after(EARLY_ENDS)

    def tries_after(self, possible_ends: int) -> list[PermittedTry]:
        """Return the tries after so many servers may have ended, in order."""
        ends = self._possible_ends()[:possible_ends]
        if len(ends) < possible_ends:
            return []
        last_s = ends[-1][0]
        early_ids = {try_id for _, try_id in ends}
        late = [
            known
            for known in self.tries.values()
            if known.state is not TryState.WITHDRAWN
            and known.begun_s >= last_s
            and known.try_id not in early_ids
        ]
        return sorted(late, key=lambda known: known.begun_s)

    def _possible_ends(self) -> list[tuple[float, str]]:
        """Return when servers ended or may have, with the ids of the tries there."""
        proved = {crash.try_id for crash in self.crashes.values()}
        ends = [(crash.ended_s, crash.try_id) for crash in self.crashes.values()]
        ends += [
            (known.begun_s, known.try_id)
            for known in self.tries.values()
            if known.state is TryState.COUNTED and known.try_id not in proved
        ]
        return sorted(ends)

    def _has_correlated_crashes(self) -> bool:
        crashes = self.in_order()[:MAX_CRASHES]
        return sum(crash.is_correlated for crash in crashes) >= MIN_CORRELATED

    def _next_try_s(self, *, other_end_s: float) -> float:
        """Return when the next try may take place at the earliest."""
        late, last = self.late_tries(), self.tries_after(MAX_CRASHES)
        ends = self._possible_ends()
        number, since_s = len(late), float("-inf")
        if len(ends) >= MAX_CRASHES:
            number = max(number, len(last) + MAX_LATE_TRIES - MAX_LAST_TRIES)
            since_s = ends[MAX_CRASHES - 1][0]
        if late:
            since_s = late[-1].begun_s
        if not number:
            return since_s
        due_s = since_s + LATE_TRY_GAPS_S[number]
        return max(due_s, min(other_end_s + CALM_S, due_s + MAX_CALM_WAIT_S))
