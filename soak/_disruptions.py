"""When each program, or its way to the store, was disrupted."""

from collections import defaultdict
from collections.abc import Callable
from math import inf
from typing import final

CONTACT_S = 3.0
"""How long hosts have to catch up after a disruption, by the platform's agreements."""

STORE = "store"


@final
class Disruptions:
    """Spans of time by what is disrupted: a program, or the way to or from one.

    >>> now_s = 10.0
    >>> disruptions = Disruptions(now_s=lambda: now_s)
    >>> disruptions.begin("host-0")
    >>> now_s = 11.0
    >>> disruptions.end("host-0")
    >>> disruptions.is_in_touch("host-0", 13.9, 14.5)
    False
    >>> disruptions.is_in_touch("host-0", 14.1, 14.5)
    True
    """

    def __init__(self, *, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._spans_s: dict[str, list[tuple[float, float]]] = defaultdict(list)

    def begin(self, what: str) -> None:
        """Note that a disruption begins, unless one lasts already."""
        spans_s = self._spans_s[what]
        if not spans_s or spans_s[-1][1] != inf:
            spans_s.append((self._now_s(), inf))

    def end(self, what: str) -> None:
        """Note that the disruption is over, if there is one."""
        spans_s = self._spans_s[what]
        if spans_s and spans_s[-1][1] == inf:
            spans_s[-1] = (spans_s[-1][0], self._now_s())

    def is_in_touch(self, host: str, from_s: float, until_s: float) -> bool:
        """Whether a host, its way to the store and the store itself were all well.

        From ``CONTACT_S`` before ``from_s`` on: bounds in time hold only then.
        """
        return not any(
            begun_s <= until_s and ended_s >= from_s - CONTACT_S
            for what in (host, way_of(host), STORE)
            for begun_s, ended_s in self._spans_s.get(what, ())
        )


def way_of(name: str) -> str:
    """Return the name of the way through the proxy of a program."""
    return f"way of {name}"
