"""How long servers usually take for the requests of each class."""

from typing import final

from gentianwharf.relay import Ticket

STEP = 0.04
"""Part by which an answer changes the median: it follows a doubling within about twenty
answers."""


@final
class ServiceTimes:
    """Running medians, by service and request class, of the time at the server."""

    def __init__(self) -> None:
        self._median_s: dict[tuple[str, str], float] = {}

    def record(self, ticket: Ticket, elapsed_s: float) -> None:
        """Record the time from sending a request to its answer."""
        key = (ticket.service, ticket.request_class)
        median_s = self._median_s.get(key)
        if median_s is None:
            self._median_s[key] = elapsed_s
        else:
            step = STEP if elapsed_s > median_s else -STEP
            self._median_s[key] = median_s * (1 + step)

    def usual_s(self, ticket: Ticket) -> float | None:
        """Return the usual time for such requests, None before the first answer."""
        return self._median_s.get((ticket.service, ticket.request_class))
