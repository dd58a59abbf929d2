"""Carries out the table on the leading host: sends releases, grants and renewals.

A server executes requests only for shards that it was granted, so two servers can serve
the same shard only if both have a valid grant for it. Before a shard is granted to its
next holder, each former holder has either answered a release with the new token, which
invalidates every older grant still in transit, or its last grant has expired.
"""

from collections.abc import Callable, Iterable, Sequence
from math import inf
from typing import final

from twisted.internet.defer import Deferred

from gentianwharf.errors import (
    GentianwharfError,
    OutcomeUnknownError,
    PeerUnavailableError,
    RefusedError,
)

from ._holder_states import HolderStates
from ._move_bounds import MoveBounds
from ._moves import SpanKey
from ._orders import (
    Grant,
    HolderEndedError,
    MaySend,
    Orders,
    OrderWithheldError,
    Release,
)
from ._probes import Probes
from ._rows import Rows
from ._states import HolderState, Row
from ._store_contact import StoreContact
from ._table import Holder, KeyTable, Span
from ._timing import GrantTiming

GRANT_TIMEOUT_S = 0.4
"""A server answers a grant within milliseconds; a lost grant is sent again."""

FIRST_RELEASE_TIMEOUT_S = 0.8
"""A server answers a release once the work on the released shards has finished, which
usually takes 0.1 s to 0.5 s. Each retry of a release gets a longer timeout."""

MAX_RELEASE_TIMEOUT_S = 3.0

MAX_ORDERS_IN_FLIGHT = 64
"""Orders in flight at a time, not counting those to holders that do not answer, and
releases that wait for work.

The new leader of 85 servers has 300 orders to send. Sent all at once, they take a small
host longer than the timeout of an order: every server appears to be unreachable, and
the host gives up the leadership."""

MAX_FIRST_GRANTS_IN_FLIGHT = 32
"""In addition to the other orders: the grants of spans that move, which no server
holds. Releases limit their number."""

RELEASE_COUNTS_S = 0.1
"""A release that is not answered within this time waits for work at the holder, and
costs this host no more processor time."""

Clock = Callable[[], float]


@final
class GrantManager:
    """Grants and renews what the tables assign, from ``take_over`` until ``stop``."""

    def __init__(self, *, orders: Orders, timing: GrantTiming, now_s: Clock) -> None:
        self.announce_wait_s = 0.0
        """How long the releases of a table wait for ``note_announced`` at most."""
        self._orders = orders
        self._timing = timing
        self._now_s = now_s
        self._rows = Rows()
        self._unconfirmed: dict[str, KeyTable] = {}
        """Tables that arrived while another host may have led."""
        self.holders = HolderStates(timing=timing, now_s=now_s)
        self.move_bounds = MoveBounds(timing=timing, now_s=now_s)
        self._contact = StoreContact(timing=timing, now_s=now_s)
        self._is_store_silent = False
        self._grants_sent = 0
        self._orders_in_flight = 0
        self._leading = False
        self._probes = Probes(
            orders=orders,
            holders=self.holders,
            may_send=self._may_send,
            now_s=now_s,
        )
        self.on_granted: Callable[[str, Span], None] = lambda service, span: None

    def take_over(
        self,
        store_contact_s: float,
        *,
        leading_since_s: float | None = None,
        held_s: float | None = None,
        lease_id: int | None = None,
    ) -> None:
        """Begin to lead; earlier leaders may have been in contact until then.

        ``store_contact_s`` is the time of the last contact with the store, and
        ``leading_since_s`` when this host knew that its claim was stored, which is also
        when the leases of earlier leaders had ended; the same time if None. ``held_s``
        is for how long the grants of a leader that resigned remain valid; None after
        the loss of a leader, whose grants are unknown. ``lease_id`` is that of the
        term; without it, this host states its grants to no later leader.
        """
        self._leading = True
        if leading_since_s is None:
            leading_since_s = store_contact_s
        self._contact.begin(store_contact_s, leading_since_s=leading_since_s)
        if held_s is None:
            earlier_grants_until_s = self._timing.earlier_grants_expiry_s(
                took_over_s=leading_since_s
            )
        else:
            earlier_grants_until_s = self._now_s() + held_s
        self.holders.reset(
            earlier_grants_until_s=earlier_grants_until_s, lease_id=lease_id
        )

    def stop(self) -> None:
        """Send no more orders."""
        self._leading = False
        self._rows.clear()
        self._unconfirmed.clear()
        self.holders.end_orders()

    def note_store_answer(self, answered_s: float) -> None:
        """Record an answer of the store that does not show that this host leads."""
        self._contact.note_answer(answered_s)

    def note_store_contact(self, store_contact_s: float) -> None:
        """Record a contact with the store, which shows that this host still led."""
        self._contact.note(store_contact_s)
        if self._unconfirmed and not self._contact.is_replaced():
            for table in list(self._unconfirmed.values()):
                self.follow(table)

    def follow(self, table: KeyTable) -> None:
        """Carry out a stored table of this host's term or of an earlier one."""
        if not self._leading:
            return
        if self._contact.is_replaced():
            # The table may be that of the next leader, whose grants to the former
            # holders this host does not know.
            self._unconfirmed[table.service] = table
            return
        self._unconfirmed.pop(table.service, None)
        release_due_s = self._now_s() + self.announce_wait_s
        self._send_orders(self._rows.follow(table, release_due_s=release_due_s))

    def note_announced(self, service: str, token: int) -> None:
        """Begin the moves of a service up to a token: the other hosts know them.

        Until then they send the requests of these spans to the former holders.
        """
        self._send_orders(self._rows.announce(service, token, self._now_s()))

    def note_listed(self, listed: Iterable[Holder]) -> None:
        """Record which servers are listed; only these are probed.

        The list is no evidence that a server has ended. Entries arrive late and in any
        order: the entry of an ended server may appear after that of its successor at
        the same address. A live server that is assumed to have ended would keep its
        shards beside their next holder. Only the answer at the holder's address shows
        that it has ended; otherwise its last grant has to expire.
        """
        self._probes.listed = frozenset(listed)

    def finished_moves(self, service: str) -> frozenset[SpanKey]:
        """Return the spans that are granted and have no former holders left."""
        return self._rows.finished_moves(service)

    def granted_moves(self) -> Sequence[tuple[str, Span]]:
        """Return the finished moves that the tables still list, by service."""
        return self._rows.granted_moves()

    def tick(self) -> None:
        """Send every order that is due; to be called about every 50 ms."""
        if not self._leading:
            return
        self._check_store_silence()
        if self._send_orders(self._rows.due(self._now_s())):
            self._probes.tick()
        else:
            self.holders.note_all_withheld()

    def _check_store_silence(self) -> None:
        """Renew all grants when the store stops answering.

        They are then granted for the longest duration. Once another host may lead, no
        order is sent on a new connection, so grants can't be renewed at servers whose
        connections have closed.
        """
        was_silent = self._is_store_silent
        self._is_store_silent = self._contact.is_store_silent()
        if self._is_store_silent and not was_silent:
            self._rows.hasten_renewals()

    def _send_orders(self, rows: Iterable[Row]) -> bool:
        """Send the orders of due rows; return whether this host may send any."""
        now_s = self._now_s()
        if self._contact.is_silenced():
            return False
        self._orders_in_flight = self.holders.orders_in_flight()
        for row in rows:
            if row.is_idle:
                self._advance(row, now_s)
        return True

    def _advance(self, row: Row, now_s: float) -> None:
        for former in list(row.former_holders):
            if now_s >= self._expire_by_s(row, former):
                row.log(former, "grants of the former holder have expired")
                self._drop_former_holder(row, former)
        if row.former_holders:
            holder = row.former_holders[0]
            is_due = now_s >= row.release_due_s and self._may_release(holder)
            if is_due and self._may_order(holder):
                counts_until_s = now_s + RELEASE_COUNTS_S
                self._start(row, holder, self._release(row, holder), counts_until_s)
        else:
            self._grant_in_turn(row)

    def _grant_in_turn(self, row: Row) -> None:
        """Grant a span after the grant in flight to the same holder.

        Spans that move go before renewals: no server holds them.

        Load pattern: a server has a dozen spans, which all become due at the same time.
        Concurrent grants would each need a connection of their own, opened and closed
        every half second: the server would spend time on handshakes and have fewer
        connections left for requests.
        """
        holder = row.span.holder
        state = self.holders.state_of(holder)
        is_first_grant = bool(row.span.former_holders) and not row.granted
        if state.granting:
            row.waiting = True
            waiting = state.first_waiting if is_first_grant else state.waiting
            waiting.append(row)
        elif self._may_order(holder, is_first_grant=is_first_grant):
            state.granting = True
            self._start(row, holder, self._grant(row), inf)

    def _grant_next(self, state: HolderState) -> None:
        state.granting = False
        while (waiting := state.first_waiting or state.waiting) and not state.granting:
            row = waiting.popleft()
            row.waiting = False
            if self._leading and not row.is_obsolete and not row.order_in_flight:
                self._grant_in_turn(row)

    def _drop_former_holder(self, row: Row, holder: Holder) -> None:
        """Stop waiting for a former holder; its first probe will be a release."""
        row.former_holders.remove(holder)
        span = row.span
        self.holders.state_of(holder).probe = Release(
            first=span.first, last=span.last, token=span.token
        )

    def _expire_by_s(self, row: Row, former_holder: Holder) -> float:
        """Return by when a former holder's grants of a row have expired."""
        return min(
            self.holders.held_until_s(former_holder),
            self.move_bounds.expire_by_s(row.service, row.span.token),
        )

    def _may_release(self, holder: Holder) -> bool:
        """Whether a release has a lasting effect at a holder.

        A server that restarts under its id after the release would accept a grant of an
        earlier leader that connects anew.
        """
        return (
            not holder.keeps_id
            or not self._contact.may_earlier_leader_connect()
            or self.holders.earlier_grants_expired()
        )

    def _may_order(self, holder: Holder, *, is_first_grant: bool = False) -> bool:
        if self._contact.is_silenced():
            # An order may become possible after the tick that began it: when a release
            # is answered, or when the grant before it in a queue is.
            return False
        state = self.holders.state_of(holder)
        if state.failing_since_s is not None:
            # A single order at a time also shows whether the holder answers again.
            return not state.orders
        maximum = MAX_ORDERS_IN_FLIGHT
        if is_first_grant:
            maximum += MAX_FIRST_GRANTS_IN_FLIGHT
        if self._orders_in_flight >= maximum:
            return False
        self._orders_in_flight += 1
        return True

    def _may_send(self, *, on_new_connection: bool) -> bool:
        """Whether this host may send an order, called just before it is written."""
        return self._leading and self._contact.allows_order(
            on_new_connection=on_new_connection
        )

    def _may_send_for(self, row: Row, holder: Holder) -> MaySend:
        """Return the check of an order of a row to a holder.

        It also withholds the order once its row is obsolete: a newer table may move the
        span while the order waits for a connection. A holder that does not keep its id
        needs no earlier connection, since its successor refuses orders to it.
        """

        def may_send(*, on_new_connection: bool) -> bool:
            return not row.is_obsolete and self._may_send(
                on_new_connection=on_new_connection and holder.keeps_id
            )

        return may_send

    def _start(
        self, row: Row, holder: Holder, order: Deferred[None], counts_until_s: float
    ) -> None:
        if not order.called:
            row.order = order
        state = self.holders.state_of(holder)
        state.track(order, counts_until_s=counts_until_s)
        order.addBoth(lambda _: row.note_ended(order))

    def _release(self, row: Row, holder: Holder) -> "Deferred[None]":
        return Deferred.fromCoroutine(self._send_release(row, holder))

    async def _send_release(self, row: Row, holder: Holder) -> None:
        span = row.span
        release = Release(first=span.first, last=span.last, token=span.token)
        timeout_s = min(
            MAX_RELEASE_TIMEOUT_S,
            FIRST_RELEASE_TIMEOUT_S * (1 + row.release_tries),
            # There is nothing to wait for once the holder's grant has expired.
            self._expire_by_s(row, holder) - self._now_s(),
        )
        row.release_tries += 1
        sent_s = self._now_s()
        try:
            handover = await self._orders.release(
                holder,
                release,
                timeout_s=timeout_s,
                may_send=self._may_send_for(row, holder),
            )
        except HolderEndedError as error:
            # Another server answers there, so this holder and its grants have ended.
            self.holders.note_ended(holder, error)
            if holder in row.former_holders:
                self._drop_former_holder(row, holder)
            self._continue(row)
            return
        except OrderWithheldError as error:
            row.due_s = self._now_s() + self._timing.retry_every_s
            self.holders.note_withheld(holder)
            row.note_withheld(holder, error)
            return
        except GentianwharfError as error:
            self._note_unreleased(row, holder, sent_s, error)
            if row.release_tries == 1:
                # Only the first try is logged, so that retries don't flood the log.
                row.log(holder, "release failed", error=str(error))
            return
        self.holders.note_answered(holder)
        row.handover = handover or row.handover
        if holder in row.former_holders:
            row.former_holders.remove(holder)
        row.log(holder, "released")
        self._continue(row)

    def _note_unreleased(
        self, row: Row, holder: Holder, sent_s: float, error: GentianwharfError
    ) -> None:
        """Repeat a release, without a pause if its holder may be busy with the work."""
        now_s = self._now_s()
        if not isinstance(error, OutcomeUnknownError):
            row.due_s = now_s + self._timing.retry_every_s
            self.holders.note_unanswered(holder, sent_s)
            return
        row.due_s = max(now_s, sent_s + self._timing.retry_every_s)
        self.holders.note_unanswered(holder, now_s)
        self._rows.hasten_renewal(holder)

    def _continue(self, row: Row) -> None:
        """Take the next step of a row without waiting for a tick."""
        row.order = None
        if not row.is_obsolete and self._leading:
            self._advance(row, self._now_s())

    def _grant(self, row: Row) -> "Deferred[None]":
        return Deferred.fromCoroutine(self._send_grant(row))

    async def _send_grant(self, row: Row) -> None:
        span, holder = row.span, row.span.holder
        sent_s = self._now_s()
        spans = len(self._rows)
        duration_s = self._timing.duration_s(
            store_silent_s=self._contact.silent_s(), spans=spans
        )
        grant = Grant(
            first=span.first,
            last=span.last,
            token=span.token,
            duration_s=duration_s,
            handover=row.handover,
        )
        row.due_s = inf
        state = self.holders.state_of(holder)
        self._grants_sent += 1
        number = self._grants_sent
        # The grant may arrive at any time until the call has ended.
        state.in_flight_duration_s[number] = duration_s
        try:
            await self._orders.grant(
                holder,
                grant,
                timeout_s=GRANT_TIMEOUT_S,
                may_send=self._may_send_for(row, holder),
            )
        except OrderWithheldError as error:
            row.due_s = self._now_s() + self._timing.retry_every_s
            self.holders.note_withheld(holder)
            row.note_withheld(holder, error)
        except HolderEndedError as error:
            row.due_s = self._now_s() + self._timing.retry_every_s
            self.holders.note_ended(holder, error)
        except PeerUnavailableError as error:
            # The grant was not sent and extends nothing: the grants of an unreachable
            # server expire although renewals are tried again and again.
            row.due_s = self._now_s() + self._timing.retry_every_s
            self.holders.note_unanswered(holder, sent_s)
            row.note_failed(error)
        except RefusedError as error:
            self.holders.note_answered(holder)
            row.due_s = self._now_s() + self._timing.retry_every_s
            row.note_refused(error)
        except GentianwharfError as error:
            row.due_s = self._now_s() + self._timing.retry_every_s
            self.holders.note_unanswered(holder, sent_s)
            row.note_failed(error)
            self.holders.note_grant(
                holder, ended_s=self._now_s(), duration_s=duration_s
            )
        else:
            self.holders.note_answered(holder)
            row.is_failing = False
            row.due_s = sent_s + self._timing.renew_after_s(spans)
            self.holders.note_grant(
                holder, ended_s=self._now_s(), duration_s=duration_s
            )
            self._note_granted(row)
        finally:
            state.in_flight_duration_s.pop(number, None)
            self._grant_next(state)

    def _note_granted(self, row: Row) -> None:
        if row.granted or row.is_obsolete:
            return
        row.granted = True
        row.log(row.span.holder, "granted")
        self.on_granted(row.service, row.span)
