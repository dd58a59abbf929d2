"""The interface of the gate for what servers state about the requests they accept."""

from typing import final

from ._flights import Flights
from ._registry import Registry


@final
class GateNotices:
    """Records what servers state in answers, to this host or as others report it."""

    def __init__(self, *, registry: Registry, flights: Flights) -> None:
        self._registry = registry
        self._table = registry.notices
        self._flights = flights

    def set_limit(
        self, server_id: str, max_requests_per_s: float | None, now_s: float
    ) -> bool:
        """Set how many requests per second a server accepts from all hosts together.

        None ends its limit. Return whether the limit differs from the one before.
        """
        return self._table.set_limit(server_id, max_requests_per_s, now_s)

    def limit_of(self, server_id: str) -> float | None:
        """Return the limit that a server names, None if it has none."""
        return self._table.limit_of(server_id)

    def set_reported_limit(
        self, server_id: str, max_requests_per_s: float | None, now_s: float
    ) -> bool:
        """Set a limit that another host has learnt, unless an own answer is newer."""
        return self._table.set_reported_limit(server_id, max_requests_per_s, now_s)

    def set_rest(self, server_id: str, rest_s: float, now_s: float) -> bool:
        """Record that a server wants no requests for a time.

        Return whether it wanted some until now.
        """
        return self._table.set_rest(server_id, rest_s, now_s)

    def may_still_send(self, server_id: str, now_s: float) -> bool:
        """Return whether a request that was started may be sent to its server now.

        The server may have asked for rest, or left, while a connection was opened.
        """
        state = self._registry.servers.get(server_id)
        return state is None or state.may_still_send(now_s)

    def resting_servers(self, now_s: float) -> int:
        """Return the number of servers that want no requests at the moment."""
        return self._table.resting_count(now_s)

    def set_leaving(self, server_id: str, now_s: float) -> bool:
        """Record that a server stated that it leaves; return whether it is new."""
        return self._registry.set_leaving(server_id, now_s)

    @property
    def leaving_servers(self) -> int:
        """The number of servers that stated in answers that they leave."""
        return self._table.leaving_count

    @property
    def limited_servers(self) -> int:
        """The number of servers that name a limit."""
        return self._table.limited_count

    @property
    def limited_requests(self) -> int:
        """The number of requests sent so far to servers that named a limit."""
        return self._flights.limited
