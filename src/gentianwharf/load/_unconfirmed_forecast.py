"""How many repeats a host may have written when it is next asked.

Hosts state their unconfirmed repeats at intervals, of seconds where there are hundreds
of hosts. One that is killed has written more since its last statement.

>>> writes = UnconfirmedWrites(window_s=10.0)
>>> forecast = UnconfirmedForecast(writes=writes)
>>> writes.add("1", "seats", path="seats-1", now_s=0.0)
>>> writes.add("1", "seats", path="seats-2", now_s=0.0)
>>> forecast.next(), forecast.next()
({'seats': 2}, {'seats': 1})
"""

from typing import final

from ._unconfirmed_writes import UnconfirmedWrites


@final
class UnconfirmedForecast:
    """Assumes that unconfirmed repeats grow as much as since the last call."""

    def __init__(self, *, writes: UnconfirmedWrites) -> None:
        self._writes = writes
        self._last: dict[str, int] = {}

    def next(self) -> dict[str, int]:
        """Return the repeats that may be unconfirmed at the next call, by service."""
        last, self._last = self._last, self._writes.all_unconfirmed()
        return {
            service: count + max(0, count - last.get(service, 0))
            for service, count in self._last.items()
        }
