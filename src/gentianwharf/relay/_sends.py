"""The writes of one request to servers."""

from typing import final

from ._ports import Admission, Outcome, SendCause, Ticket


@final
class Sends:
    """Counts how often a request was written to a server, by any of its attempts.

    Retries, hedges, and requests on new connections and through tunnels are all written
    by an attempt, which reports here.
    """

    def __init__(self, *, ticket: Ticket, admission: Admission) -> None:
        self.count = 0
        self._ticket = ticket
        self._admission = admission

    def record(self, cause: SendCause) -> None:
        """Record a write; the first one is no repeat, whatever happened before."""
        self._admission.note_send(
            self._ticket, cause if self.count else SendCause.FIRST
        )
        self.count += 1


def cause_after(outcome: Outcome | None) -> SendCause:
    """Return the cause of a send after a try with this outcome, None without one."""
    return SendCause.FIRST if outcome is None else SendCause(f"after-{outcome}")
