"""What a leader may send, given its last contact with the store."""

from collections.abc import Callable
from typing import final

from ._timing import LEADER_LEASE_S, MARGIN_S, STORE_SILENT_S, GrantTiming

Clock = Callable[[], float]


@final
class StoreContact:
    """The last contact with the store, and the last that showed that this host led."""

    def __init__(self, *, timing: GrantTiming, now_s: Clock) -> None:
        self._timing = timing
        self._now_s = now_s
        self._last_s = 0.0
        self._answered_s = 0.0
        self._others_connect_until_s = 0.0

    def begin(self, contact_s: float, *, leading_since_s: float) -> None:
        """Begin a term with the contact by which this host took over.

        ``leading_since_s`` is when this host knew that its claim was stored, which was
        after the last contact of each earlier leader.
        """
        self._last_s = self._answered_s = contact_s
        # The clocks of hosts may run at slightly different rates.
        self._others_connect_until_s = leading_since_s + LEADER_LEASE_S + MARGIN_S

    def note(self, contact_s: float) -> None:
        """Record a contact that showed that this host led."""
        self._last_s = max(self._last_s, contact_s)

    def note_answer(self, answered_s: float) -> None:
        """Record that the store answered, for example to a renewal of the lease."""
        self._answered_s = max(self._answered_s, answered_s)

    def silent_s(self) -> float:
        """Return for how long the store has not answered."""
        return self._now_s() - max(self._last_s, self._answered_s)

    def is_store_silent(self) -> bool:
        """Whether grants get the longest duration, since the store may be lost."""
        return self.silent_s() > STORE_SILENT_S

    def is_silenced(self) -> bool:
        """Whether the next leader may assume that this host sends no more grants."""
        return self._now_s() > self._last_s + self._timing.renew_without_store_s

    def is_replaced(self) -> bool:
        """Whether another host may lead by now."""
        return self._now_s() >= self._last_s + LEADER_LEASE_S

    def may_earlier_leader_connect(self) -> bool:
        """Whether an earlier leader may still send orders on new connections."""
        return self._now_s() < self._others_connect_until_s

    def allows_order(self, *, on_new_connection: bool) -> bool:
        """Whether an order may be sent; to be called immediately before it is written.

        A host without recent contact sends no order on a new connection. The next
        leader may have released shards at a server that was then restarted under its id
        and lost the token of the release. That server would accept a renewal for shards
        that another server holds. The next leader begins its releases there only once
        ``may_earlier_leader_connect`` is false, since the store may end a lease early.
        """
        if self.is_silenced():
            return False
        return not (on_new_connection and self.is_replaced())
