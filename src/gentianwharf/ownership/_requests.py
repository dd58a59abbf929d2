"""Operators' requests to move a shard or a key, until the store has committed them.

A request is a message to the control holder, which keeps it only in memory. If that
host is lost, so is the request, and an operator who received "accepted" would wait for
a move that never happens. Therefore a request counts as accepted only once its target
is in the table, which at every host contains only what the store has committed. Until
then the request is sent again, to the control holder at that time.
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

CONFIRM_TIMEOUT_S = 5.0
"""How long a request is tracked. A new control holder takes over within a second, and a
move already in progress takes as long as the shard's longest request."""

RESEND_INTERVAL_S = 0.5
"""Time after which a request is resent: twenty times the time of a planned move."""


class RequestOutcome(StrEnum):
    """Outcome of an operator's request."""

    CONFIRMED = "confirmed"
    """The store has the move, and any control holder will finish it."""
    UNKNOWN = "unknown"
    """The request may still be executed; repeating it is safe."""


@final
@dataclass(kw_only=True, slots=True)
class _Pending:
    request: MoveRequest
    until_s: float
    sent_s: float
    done: Deferred[RequestOutcome]


@final
class OperatorRequests:
    """The operators' requests that arrived at this host."""

    def __init__(
        self, *, context: Context, holder_of: Callable[[str], str | None]
    ) -> None:
        self._context = context
        self._holder_of = holder_of
        self._pending: list[_Pending] = []

    def ask(self, request: MoveRequest) -> Deferred[RequestOutcome]:
        """Send a request and track it; it is sent even if the result is not awaited.

        Raises ``InputError`` for a service or server that does not exist, and
        ``RefusedError`` while no control holder is known.
        """
        self._check(request)
        now_s = self._context.now_s
        pending = _Pending(
            request=request,
            until_s=now_s + CONFIRM_TIMEOUT_S,
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
        """Complete requests that are stored or timed out; resend the others if due."""
        now_s = self._context.now_s
        pending, self._pending = self._pending, []
        for item in pending:
            if self._is_stored(item.request):
                item.done.callback(RequestOutcome.CONFIRMED)
            elif now_s >= item.until_s:
                item.done.callback(RequestOutcome.UNKNOWN)
            else:
                self._pending.append(item)
                if now_s >= item.sent_s + RESEND_INTERVAL_S:
                    self._send(item)

    def _is_stored(self, request: MoveRequest) -> bool:
        tables = self._context.tables
        if request.key is None:
            entry = tables.entry(request.service, request.shard)
            return entry is not None and _is_headed_to(entry, request.server)
        number = tables.pins[request.service].get(request.key)
        entry = None if number is None else tables.entry(request.service, number)
        if entry is None:
            return not request.server
        return _is_headed_to(entry, request.server)

    def stop(self) -> None:
        """Complete every request as unknown, because this host stops."""
        pending, self._pending = self._pending, []
        for item in pending:
            item.done.callback(RequestOutcome.UNKNOWN)


def _is_headed_to(entry: Entry, server: str) -> bool:
    if entry.state is EntryState.OWNED:
        return entry.owner == server
    return entry.target == server
