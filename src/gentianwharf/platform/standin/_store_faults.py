"""Outages, slow or lost answers and slow links of a stand-in for the store."""

from collections.abc import Iterable
from enum import StrEnum
from math import inf
from random import Random
from typing import Any, final

import msgspec
from twisted.web.server import Request

from ._items import Items
from ._orders import Share

ANSWER_S = 0.004
"""Base time of an answer, which ``StoreFaults.slowdown`` multiplies."""

PIECE_BYTES = 4096
"""Size of the pieces in which a link of limited rate interleaves answers."""

LATE_S = (1.0, 6.0)
"""The time from the arrival of a late write to when it is done."""

STATUS_UNAVAILABLE = 503


class WriteFate(StrEnum):
    """What becomes of a write of a host."""

    ANSWERED = "answered"
    UNANSWERED = "unanswered"
    """It is done at once, and its answer is lost."""

    LATE = "late"
    """It is not answered, and done later if its conditions and lease hold by then."""


class Outage(StrEnum):
    """How the store treats calls during an outage, operators' calls included."""

    NONE = "none"
    HANG = "hang"
    """Calls are accepted, have no effect, and are not answered, even after the outage.
    Calls that are pending when it begins are not answered either."""

    REFUSE = "refuse"
    """Calls are answered with 503; connections of pending calls are closed."""


class Revoked(StrEnum):
    """What is taken away from hosts before their leases have run out."""

    LEASES = "leases"
    """Leases that have items end."""

    ITEMS = "items"
    """Items are removed, and their leases can still be renewed."""


class StoreOrder(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """A change of the store's faults; fields that are None change nothing.

    ``addresses`` names the hosts whose links are meant, and is empty for all hosts. An
    outage is for these links alone, or for all calls if there are no ``addresses``.
    ``rate_bytes_per_s`` limits each link separately, 0 for no limit. ``revokes`` is
    done once, to leases that were opened over these links.
    ``unanswered_share`` and ``late_share`` are the probabilities of these fates of a
    host's write; lease renewals and ends are never late.
    """

    outage: Outage | None = None
    slowdown: float | None = None
    drops_history: bool = False
    rate_bytes_per_s: float | None = None
    addresses: tuple[str, ...] = ()
    unanswered_share: Share | None = None
    late_share: Share | None = None
    revokes: Revoked | None = None


class StoreOrderReport(msgspec.Struct):
    """The completion of an order, its time, and how many items were revoked."""

    order: StoreOrder
    carried_out_s: float
    revoked_items: int = 0


@final
class StoreFaults:
    """The current faults of a store, for all addresses on which it listens."""

    def __init__(self, *, items: Items) -> None:
        self.outage = Outage.NONE
        self.slowdown = 1.0
        """Multiple of ``ANSWER_S`` that each answer takes; 1 for no delay at all."""
        self.unanswered_share = 0.0
        self.late_share = 0.0
        self.pending: set[StoreRequest] = set()
        self._items = items
        self._rng = Random(0)

    def begin(self, outage: Outage, link: "AnswerLink | None" = None) -> None:
        """Begin an outage, or end it with ``Outage.NONE``, of one link or for all."""
        if link is None:
            self.outage = outage
        else:
            link.outage = outage
        affected = {request for request in self.pending if link in (None, request.link)}
        if outage is Outage.HANG:
            for request in affected:
                request.lose_answer()
        elif outage is Outage.REFUSE:
            for request in affected:
                request.close()

    def drop_history(self) -> None:
        """Discard the history, and close the connections of pending calls."""
        self._items.drop_history()
        for request in list(self.pending):
            request.close()

    def revoke(self, revoked: Revoked, links: Iterable["AnswerLink"]) -> int:
        """Take away what was leased over some links, and return how many items."""
        lease_ids = sorted({lease_id for link in links for lease_id in link.lease_ids})
        if revoked is Revoked.LEASES:
            return self._items.revoke_leases(lease_ids)
        return self._items.revoke_items(lease_ids)

    def draw_fate(self) -> WriteFate:
        """Return what becomes of the next write."""
        drawn = self._rng.random()
        if drawn < self.unanswered_share:
            return WriteFate.UNANSWERED
        if drawn < self.unanswered_share + self.late_share:
            return WriteFate.LATE
        return WriteFate.ANSWERED

    def draw_late_s(self) -> float:
        """Return the time after which a late write is done."""
        return self._rng.uniform(*LATE_S)

    def answer_delay_s(self) -> float:
        """Return the time by which each answer is delayed."""
        return (self.slowdown - 1.0) * ANSWER_S


@final
class AnswerLink:
    """The outgoing link of one address of the store.

    ``rate_bytes_per_s`` limits the bodies of all answers together.
    """

    def __init__(self, *, reactor: Any, faults: StoreFaults) -> None:
        self.rate_bytes_per_s = inf
        self.outage = Outage.NONE
        """The outage of this link, beside that of the store."""
        self.lease_ids: set[int] = set()
        """All leases that were opened over this link."""
        self.reactor = reactor
        self.faults = faults
        self._free_s = 0.0

    def carry(self, request: "StoreRequest", body: bytes) -> None:
        """Send an answer, in pieces at the rate of the link if it is limited."""
        if self.rate_bytes_per_s == inf:
            request.send(body, is_last=True)
            return
        piece, rest = body[:PIECE_BYTES], body[PIECE_BYTES:]
        now_s = self.reactor.seconds()
        begun_s = max(now_s, self._free_s)
        self._free_s = begun_s + len(piece) / self.rate_bytes_per_s
        self.reactor.callLater(self._free_s - now_s, self._send, request, piece, rest)

    def _send(self, request: "StoreRequest", piece: bytes, rest: bytes) -> None:
        if request.is_lost:
            return
        request.send(piece, is_last=not rest)
        if rest:
            self.carry(request, rest)


@final
class StoreRequest(Request):
    """A call of the store, whose answer is subject to the faults of the store."""

    def __init__(self, *args: Any, link: AnswerLink, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.is_lost = False
        """Whether the rest of the answer is discarded."""
        self.link = link
        self._body = b""

    def process(self) -> None:
        """Handle the call, unless there is an outage."""
        faults = self.link.faults
        outages = (faults.outage, self.link.outage)
        if Outage.HANG in outages:
            self.is_lost = True
            return
        faults.pending.add(self)
        if Outage.REFUSE in outages:
            self.setResponseCode(STATUS_UNAVAILABLE)
            self.write(b"{}")
            self.finish()
            return
        super().process()

    def write(self, data: bytes) -> None:
        """Add to the body, which is sent once it is complete."""
        self._body += data

    def finish(self) -> None:
        """Send the answer, late if the store is slow."""
        delay_s = self.link.faults.answer_delay_s()
        if delay_s:
            self.link.reactor.callLater(delay_s, self._begin_answer)
        else:
            self._begin_answer()

    def _begin_answer(self) -> None:
        if not self.is_lost:
            self.link.carry(self, self._body)

    def send(self, piece: bytes, *, is_last: bool) -> None:
        """Write a piece of the answer to the connection."""
        super().write(piece)
        if is_last:
            self.link.faults.pending.discard(self)
            super().finish()

    def lose_answer(self) -> None:
        """Let the call have its effect, and send nothing."""
        self.is_lost = True
        self.link.faults.pending.discard(self)

    def close(self) -> None:
        """Abort the connection, even in the middle of an answer."""
        transport: Any = self.channel.transport
        transport.abortConnection()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Discard the answer when the client has disconnected."""
        self.is_lost = True
        self.link.faults.pending.discard(self)
        super().connectionLost(reason)
