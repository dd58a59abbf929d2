"""Operators' requests to move a shard or a key, until the store has taken them.

A request is a message to the control holder, which keeps it in its memory alone. When
that host is lost, so is the request; an operator who was told that it was accepted
would wait for a move that never comes. So a request counts as accepted only once the
table, of which a host knows no more than the store has taken, names its target; until
then it is sent again, to whoever holds the control by then.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import final

from twisted.internet.defer import Deferred

from gentianwharf.errors import InputError, RefusedError

from ._context import Context
from ._messages import MoveRequest
from ._table import Entry, EntryState

CONFIRM_WITHIN_S = 5.0
"""How long a request is followed. The control passes on within a second, and a shard
that moves already takes as long as its longest request."""

SEND_AGAIN_S = 0.5
"""After which a request is sent again: twenty times what a planned move takes."""


class RequestOutcome(StrEnum):
    """What is known of an operator's request."""

    CONFIRMED = "confirmed"
    """The store has the move, and any host will carry it on."""
    UNKNOWN = "unknown"
    """It may still be carried out; asking again does no harm."""


@final
@dataclass(kw_only=True, slots=True)
class _Pending:
    request: MoveRequest
    until_s: float
    sent_s: float
    done: Deferred[RequestOutcome]


@final
class OperatorRequests:
    """The requests that came in at this host."""

    def __init__(
        self, *, context: Context, holder_of: Callable[[str], str | None]
    ) -> None:
        self._context = context
        self._holder_of = holder_of
        self._pending: list[_Pending] = []

    def ask(self, request: MoveRequest) -> Deferred[RequestOutcome]:
        """Send a request and follow it; it is sent whether or not one awaits.

        Raises ``InputError`` for a service or server that there is not, and
        ``RefusedError`` while no control holder is known.
        """
        self._check(request)
        now_s = self._context.now_s
        pending = _Pending(
            request=request,
            until_s=now_s + CONFIRM_WITHIN_S,
            sent_s=now_s,
            done=Deferred(),
        )
        self._pending.append(pending)
        self._send(pending)
        return pending.done

    def _check(self, request: MoveRequest) -> None:
        context = self._context
        server, key = request.server, request.key
        known = server in context.servers or (key is not None and not server)
        if request.service not in context.services or not known:
            raise InputError(
                f"expected a keyed service and one of its servers, got"
                f" {request.service!r} and {server!r}; see `gentianwharf servers list`",
                step="move shard",
                peer=server,
            )
        if self._holder_of(request.service) is None:
            raise RefusedError(
                "expected a host that holds the service's control, heard of none yet;"
                " try again in some seconds",
                step="move shard",
                peer=request.service,
            )

    def _send(self, pending: _Pending) -> None:
        pending.sent_s = self._context.now_s
        holder = self._holder_of(pending.request.service)
        if holder is not None:
            self._context.send(holder, pending.request)

    def tick(self) -> None:
        """End what the store has taken or what takes too long; send the rest again."""
        now_s = self._context.now_s
        pending, self._pending = self._pending, []
        for one in pending:
            if self._stands(one.request):
                one.done.callback(RequestOutcome.CONFIRMED)
            elif now_s >= one.until_s:
                one.done.callback(RequestOutcome.UNKNOWN)
            else:
                self._pending.append(one)
                if now_s >= one.sent_s + SEND_AGAIN_S:
                    self._send(one)

    def _stands(self, request: MoveRequest) -> bool:
        tables = self._context.tables
        if request.key is None:
            entry = tables.entry(request.service, request.shard)
            return entry is not None and _goes_to(entry, request.server)
        number = tables.pins[request.service].get(request.key)
        entry = None if number is None else tables.entry(request.service, number)
        if entry is None:
            return not request.server
        return _goes_to(entry, request.server)

    def stop(self) -> None:
        """Give every request up, for this host ends."""
        pending, self._pending = self._pending, []
        for one in pending:
            one.done.callback(RequestOutcome.UNKNOWN)


def _goes_to(entry: Entry, server: str) -> bool:
    if entry.state is EntryState.OWNED:
        return entry.owner == server
    return entry.target == server
