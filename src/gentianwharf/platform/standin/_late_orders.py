"""Orders to a backend server that are carried out late and never answered."""

from collections.abc import Callable
from enum import StrEnum
from random import Random
from typing import Any, final

import msgspec

from ._orders import Share

LATE_S = (2.0, 12.0)
"""The time from the arrival of such an order to when it is carried out."""


class LateKind(StrEnum):
    """Which orders may be carried out late."""

    GRANTS = "grants"
    RELEASES = "releases"
    ALL = "all"


class ServerOrder(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """A change of a server's faults.

    ``late_share`` is the probability that an order of ``late_kind`` is late from now
    on. With ``carries_out_pending``, those that came before are carried out at once.
    """

    late_share: Share = 0.0
    late_kind: LateKind = LateKind.ALL
    carries_out_pending: bool = False


@final
class LateOrders:
    """Draws which orders are late, and carries them out.

    >>> from twisted.internet.task import Clock
    >>> clock, done = Clock(), []
    >>> orders = LateOrders(reactor=clock, rng=Random(1))
    >>> orders.change(ServerOrder(late_share=1.0, late_kind=LateKind.GRANTS))
    >>> orders.delays(LateKind.RELEASES, lambda: done.append("release"))
    False
    >>> orders.delays(LateKind.GRANTS, lambda: done.append("grant"))
    True
    >>> clock.advance(LATE_S[0] - 0.1); done
    []
    >>> clock.advance(LATE_S[1]); done
    ['grant']
    """

    def __init__(self, *, reactor: Any, rng: Random) -> None:
        self._reactor = reactor
        self._rng = rng
        self._current = ServerOrder()
        self._pending: list[Any] = []

    def change(self, order: ServerOrder) -> None:
        """Change which orders are late."""
        self._current = order
        if order.carries_out_pending:
            for call in self._pending:
                if call.active():
                    call.reset(0)

    def delays(self, kind: LateKind, carry_out: Callable[[], object]) -> bool:
        """Return whether an order is late; if so, ``carry_out`` is called later."""
        if self._current.late_kind not in (kind, LateKind.ALL):
            return False
        if self._rng.random() >= self._current.late_share:
            return False
        self._pending = [call for call in self._pending if call.active()]
        delay_s = self._rng.uniform(*LATE_S)
        self._pending.append(self._reactor.callLater(delay_s, carry_out))
        return True
