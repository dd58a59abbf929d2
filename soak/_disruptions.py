"""Records when each program, or its link to the store, was disrupted."""

from collections import defaultdict
from collections.abc import Callable
from math import inf
from typing import final

CATCH_UP_S = 3.0
"""Time in which hosts must catch up after a disruption, as the platform requires."""

STORE = "store"
STORE_ANSWERS = "answers of the store"
STORE_WRITES = "writes to the store"
ALL_SERVER_LINKS = "links to all servers"
SOAK = "soak"
"""The soak's own process, which forwards what all links carry."""


@final
class Disruptions:
    """Spans of time in which a program, or the link to or from it, is disrupted.

    >>> now_s = 10.0
    >>> disruptions = Disruptions(now_s=lambda: now_s)
    >>> disruptions.begin("host-0")
    >>> now_s = 11.0
    >>> disruptions.end("host-0")
    >>> disruptions.is_undisrupted("host-0", 13.9, 14.5)
    False
    >>> disruptions.is_undisrupted("host-0", 14.1, 14.5)
    True
    """

    def __init__(self, *, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._spans_s: dict[str, list[tuple[float, float]]] = defaultdict(list)

    def begin(self, subject: str) -> None:
        """Record the start of a disruption, unless one is in progress."""
        spans_s = self._spans_s[subject]
        if not spans_s or spans_s[-1][1] != inf:
            spans_s.append((self._now_s(), inf))

    def end(self, subject: str) -> None:
        """Record the end of the disruption in progress, if any."""
        spans_s = self._spans_s[subject]
        if spans_s and spans_s[-1][1] == inf:
            spans_s[-1] = (spans_s[-1][0], self._now_s())

    def add(self, subject: str, begun_s: float, ended_s: float) -> None:
        """Record a disruption that has ended; none may be in progress."""
        self._spans_s[subject].append((begun_s, ended_s))

    def drop(self, subject: str) -> None:
        """Drop the disruption in progress, if any, as if it had never been."""
        spans_s = self._spans_s[subject]
        if spans_s and spans_s[-1][1] == inf:
            spans_s.pop()

    def is_undisrupted(self, host: str, from_s: float, until_s: float) -> bool:
        """Whether a host, its link to the store and the store were all undisrupted.

        The interval begins ``CATCH_UP_S`` before ``from_s``: time limits apply only to
        hosts that have had this time to catch up.
        """
        return not any(
            self.overlaps(subject, from_s - CATCH_UP_S, until_s)
            for subject in (
                *(host, link_of(host), refusals_of(host)),
                *(STORE, STORE_ANSWERS, STORE_WRITES),
            )
        )

    def overlaps(self, subject: str, from_s: float, until_s: float) -> bool:
        """Whether a subject was disrupted at some time of an interval."""
        return any(
            begun_s <= until_s and ended_s >= from_s
            for begun_s, ended_s in self._spans_s.get(subject, ())
        )

    def ended_within(self, subject: str, at_s: float, slack_s: float) -> bool:
        """Whether a disruption ended less than ``slack_s`` before ``at_s``."""
        return any(
            ended_s <= at_s < ended_s + slack_s
            for _, ended_s in self._spans_s.get(subject, ())
        )


def server_links_of(name: str) -> str:
    """Return the name of a host's links to all servers, or a server's to all hosts."""
    return f"server links of {name}"


def standstill_of(name: str) -> str:
    """Return the name of a program's standstill, which only a continuation ends."""
    return f"standstill of {name}"


def refusals_of(host: str) -> str:
    """Return the name of the store's refusals to serve a host."""
    return f"refusals of {host}"


def link_of(name: str) -> str:
    """Return the name of the link through the proxy of a program."""
    return f"link of {name}"
