"""Probes of holders that lost their shards, since they answered no order."""

from collections.abc import Callable
from typing import final

from twisted.internet.defer import Deferred

from gentianwharf.errors import GentianwharfError, RefusedError
from gentianwharf.logs import log

from ._holder_states import HolderStates
from ._orders import HolderEndedError, MaySend, Orders, Release
from ._states import HolderState
from ._table import Holder
from ._timing import PROBE_EVERY_S

PROBE_TIMEOUT_S = 0.4
"""A server answers the release of shards that it does not hold within milliseconds."""

Clock = Callable[[], float]


@final
class Probes:
    """Checks whether holders that are unreachable, but still listed, answer again.

    They get no other orders, so without a probe they would never be used again.
    """

    def __init__(
        self, *, orders: Orders, holders: HolderStates, may_send: MaySend, now_s: Clock
    ) -> None:
        self.listed: frozenset[Holder] = frozenset()
        self._orders = orders
        self._holders = holders
        self._may_send = may_send
        self._now_s = now_s

    def tick(self) -> None:
        """Send the probes that are due."""
        now_s = self._now_s()
        for holder in self._holders.unreachable():
            state = self._holders.state_of(holder)
            is_due = now_s >= state.probe_due_s and not state.orders
            if state.probe is None or holder not in self.listed or not is_due:
                continue
            state.probe_due_s = now_s + PROBE_EVERY_S
            order = Deferred.fromCoroutine(self._send(holder, state, state.probe))
            state.track(order, counts_until_s=now_s)

    async def _send(self, holder: Holder, state: HolderState, release: Release) -> None:
        try:
            await self._orders.release(
                holder, release, timeout_s=PROBE_TIMEOUT_S, may_send=self._may_send
            )
        except RefusedError:
            pass
        except HolderEndedError as error:
            self._holders.note_ended(holder, error)
            return
        except GentianwharfError as error:
            log.debug("probe failed: {}", error)
            return
        # This includes a holder that had ended and was restarted under its id.
        self._holders.note_answered(holder)
        state.has_ended = False
        log.info("server reached again", extra={"server": holder.server_id})
