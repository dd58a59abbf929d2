"""The writes of one request to servers."""

from typing import final

from ._ports import Admission, Outcome, SendCause, Ticket


@final
class Sends:
    """Permits the writes of a request to servers, and counts them.

    Retries, hedges, and requests on new connections, through tunnels and with granted
    slots are all written by an attempt, which asks here just before. The first write is
    free; each further one takes a retry from the budget of the service.
    """

    def __init__(self, *, ticket: Ticket, admission: Admission) -> None:
        self.count = 0
        self._ticket = ticket
        self._admission = admission

    def permit(self, cause: SendCause, *, path: str) -> bool:
        """Return whether the request may be written now, and count it if it may.

        ``path`` tells the ways to servers apart.
        """
        if not self.count:
            cause = SendCause.FIRST
        elif not self._admission.take_retry(self._ticket):
            return False
        self._admission.note_send(self._ticket, cause, path)
        self.count += 1
        return True

    def withdraw(self) -> None:
        """Record that no byte of the last write was sent; a retry stays taken."""
        self.count -= 1
        self._admission.withdraw_send(self._ticket)


def cause_after(outcome: Outcome | None) -> SendCause:
    """Return the cause of a send after a try with this outcome, None without one."""
    return SendCause.FIRST if outcome is None else SendCause(f"after-{outcome}")
