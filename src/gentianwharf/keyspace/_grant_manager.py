"""Carries a table out: releases, grants and renewals, by the one host that leads.

A server runs requests only for shards that it was granted, so two servers have the
same shard only if both have a grant for it. Before a shard is granted to its next
holder, each former one has either answered a release that carries the new token, which
shuts out every older grant that is still on its way, or its last grant has run out.
"""

from collections.abc import Callable, Iterable
from typing import final

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from gentianwharf.errors import (
    GentianwharfError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.logs import log

from ._holder_states import HolderStates
from ._moves import SpanKey, key_of
from ._orders import Grant, HolderEndedError, Orders, Release
from ._states import HolderState, Row
from ._table import Holder, KeyTable, Span
from ._timing import LEADER_LEASE_S, PROBE_EVERY_S, GrantTiming

GRANT_TIMEOUT_S = 0.4
"""A server answers a grant in milliseconds; what is lost on the way is sent again."""

FIRST_RELEASE_TIMEOUT_S = 0.8
"""A release is answered when the work on its shards has ended: most take a tenth of a
second to half of one. A release that went unanswered gets more time at each try."""

MOST_RELEASE_TIMEOUT_S = 3.0

MOST_ORDERS = 64
"""Orders on their way at a time, but to holders that leave them without an answer.

A new leader of 85 servers has 300 to give; all at once they take a small host longer
than an order may take, every server seems out of reach, and it gives the lead up."""

Clock = Callable[[], float]


@final
class GrantManager:
    """Grants and renews what the tables say, from taking over until it is stopped."""

    def __init__(self, *, orders: Orders, timing: GrantTiming, now_s: Clock) -> None:
        self._orders = orders
        self._timing = timing
        self._now_s = now_s
        self._rows: dict[SpanKey, Row] = {}
        self.holders = HolderStates(timing=timing, now_s=now_s)
        self._store_contact_s = 0.0
        self._grants_sent = 0
        self._on_their_way = 0
        self._leading = False
        self._listed: frozenset[Holder] = frozenset()
        self.on_granted: Callable[[str, Span], None] = lambda service, span: None

    def take_over(self, store_contact_s: float, *, held_s: float | None = None) -> None:
        """Begin to lead; earlier leaders may have issued grants until now.

        ``store_contact_s`` is the time of the last contact with the store. ``held_s``
        is for how long the grants of a leader that resigned remain valid; None after
        the loss of a leader, whose grants are unknown.
        """
        self._leading = True
        self._store_contact_s = store_contact_s
        if held_s is None:
            unknown_until_s = self._timing.unknown_until_s(took_over_s=store_contact_s)
        else:
            unknown_until_s = self._now_s() + held_s
        self.holders.reset(unknown_until_s=unknown_until_s)

    def stop(self) -> None:
        """Give no more orders."""
        self._leading = False
        for row in self._rows.values():
            row.gone = True
        self._rows.clear()
        for state in self.holders:
            # What is cancelled may have left already.
            state.held_until_s = state.surely_until_s()
            for order in list(state.orders):
                order.cancel()

    def note_store_contact(self, store_contact_s: float) -> None:
        """Note that the store was heard of, so that this host still leads."""
        self._store_contact_s = max(self._store_contact_s, store_contact_s)

    def follow(self, table: KeyTable) -> None:
        """Carry out a table that stands in the store."""
        if not self._leading:
            return
        wanted = {key_of(table.service, span): span for span in table.spans}
        for key, row in list(self._rows.items()):
            if row.service == table.service and key not in wanted:
                row.gone = True
                del self._rows[key]
        for key, span in wanted.items():
            known = self._rows.get(key)
            if known is None or known.span.holder != span.holder:
                self._rows[key] = Row(
                    service=table.service, span=span, former=list(span.former)
                )

    def note_listed(self, listed: Iterable[Holder]) -> None:
        """Follow which servers are listed: only these are asked for a sign of life.

        The list tells nobody's end. Entries come late and in any order: that of a
        server which has ended may appear after that of the next one at its address,
        and whoever was taken for ended would keep its shards beside their next holder.
        What a server answers now tells it, and otherwise its last grant is waited out.
        """
        self._listed = frozenset(listed)

    def moved(self, service: str) -> frozenset[SpanKey]:
        """Return the spans whose former holders are out and whose holder has them."""
        return frozenset(
            key
            for key, row in self._rows.items()
            if row.service == service and row.granted and not row.former
        )

    def tick(self) -> None:
        """Give every order that is due; to be called every 50 ms or so."""
        if not self._leading:
            return
        now_s = self._now_s()
        if now_s > self._store_contact_s + self._timing.leader_alone_s:
            # Another host may lead by now and wait for these grants to run out.
            return
        self._on_their_way = sum(
            len(one.orders) for one in self.holders if one.failing_since_s is None
        )
        due = [
            row
            for row in self._rows.values()
            if not row.ordering and not row.waiting and now_s >= row.due_s
        ]
        for row in sorted(due, key=lambda one: one.due_s):
            self._advance(row, now_s)
        for holder in self.holders.unreachable():
            self._probe(holder, self.holders.state_of(holder), now_s)

    def _probe(self, holder: Holder, state: HolderState, now_s: float) -> None:
        """Ask a holder that lost its shards for a sign of life.

        Without one it would be passed over for ever: nothing else is ordered of it.
        """
        is_due = now_s >= state.probe_due_s and not state.orders
        if state.probe is None or holder not in self._listed or not is_due:
            return
        state.probe_due_s = now_s + PROBE_EVERY_S
        order = Deferred.fromCoroutine(self._send_probe(holder, state, state.probe))
        self._track(state, order)

    async def _send_probe(
        self, holder: Holder, state: HolderState, release: Release
    ) -> None:
        try:
            await self._orders.release(holder, release, timeout_s=GRANT_TIMEOUT_S)
        except RefusedError:
            pass
        except HolderEndedError as error:
            self.holders.note_ended(holder, error)
            return
        except GentianwharfError as error:
            log.debug("no sign of life: {}", error)
            return
        # Also of one that had ended: it was born again under its id.
        state.failing_since_s = None
        state.has_ended = False
        log.info("server reached again", extra={"server": holder.server_id})

    def _advance(self, row: Row, now_s: float) -> None:
        for one in list(row.former):
            if now_s >= self.holders.held_until_s(one):
                self._leave_out(row, one)
        if row.former:
            holder = row.former[0]
            if self._may_order(holder):
                self._start(row, holder, self._release(row, holder))
        else:
            self._grant_in_turn(row)

    def _grant_in_turn(self, row: Row) -> None:
        """Grant a span, after those of the same holder that are on their way.

        Load pattern: a server has a dozen spans, all due at the same time. Side by side
        each takes a connection of its own, opened and dropped every half second: the
        server pays for handshakes, and has fewer connections left for requests.
        """
        holder = row.span.holder
        state = self.holders.state_of(holder)
        if state.granting:
            row.waiting = True
            state.waiting.append(row)
        elif self._may_order(holder):
            state.granting = True
            self._start(row, holder, self._grant(row))

    def _grant_next(self, state: HolderState) -> None:
        state.granting = False
        while state.waiting and not state.granting:
            row = state.waiting.popleft()
            row.waiting = False
            if self._leading and not row.gone and not row.ordering:
                self._grant_in_turn(row)

    def _leave_out(self, row: Row, holder: Holder) -> None:
        """Wait no more for a former holder; what it is asked first is to release."""
        row.former.remove(holder)
        span = row.span
        self.holders.state_of(holder).probe = Release(
            first=span.first, last=span.last, token=span.token
        )

    def _may_order(self, holder: Holder) -> bool:
        state = self.holders.state_of(holder)
        if state.failing_since_s is not None:
            # One at a time shows as well whether it answers again. A host that may lead
            # no more asks it nothing: who answers then may be the server's next life,
            # born again under its id, which has seen no tokens. It would take a
            # renewal of keys that the next leader has given to another server.
            return not state.orders and not self._is_replaced()
        self._on_their_way += 1
        return self._on_their_way <= MOST_ORDERS

    def _is_replaced(self) -> bool:
        """Whether another host may lead by now."""
        return self._now_s() >= self._store_contact_s + LEADER_LEASE_S

    def _start(self, row: Row, holder: Holder, order: Deferred[None]) -> None:
        row.ordering = True
        self._track(self.holders.state_of(holder), order)
        order.addBoth(lambda _: setattr(row, "ordering", False))

    def _track(self, state: HolderState, order: "Deferred[None]") -> None:
        state.orders.add(order)

        def ended(result: object) -> None:
            state.orders.discard(order)
            if isinstance(result, Failure) and not result.check(CancelledError):
                log.error("an order failed: {}", result.getTraceback())

        order.addBoth(ended)

    def _release(self, row: Row, holder: Holder) -> "Deferred[None]":
        return Deferred.fromCoroutine(self._send_release(row, holder))

    async def _send_release(self, row: Row, holder: Holder) -> None:
        span = row.span
        release = Release(first=span.first, last=span.last, token=span.token)
        timeout_s = min(
            MOST_RELEASE_TIMEOUT_S,
            FIRST_RELEASE_TIMEOUT_S * (1 + row.release_tries),
            # Once its grant has run out there is nothing to wait for.
            self.holders.held_until_s(holder) - self._now_s(),
        )
        row.release_tries += 1
        sent_s = self._now_s()
        try:
            handover = await self._orders.release(holder, release, timeout_s=timeout_s)
        except HolderEndedError as error:
            # Another one answers there: this one is no more, nor are its grants.
            self.holders.note_ended(holder, error)
            if holder in row.former:
                self._leave_out(row, holder)
            self._go_on(row)
            return
        except GentianwharfError as error:
            row.due_s = self._now_s() + self._timing.retry_every_s
            self.holders.note_unanswered(holder, sent_s)
            if row.release_tries == 1:
                # Said again with each try it would drown what it means.
                self._log(row, holder, "release failed", error=str(error))
            return
        self.holders.state_of(holder).failing_since_s = None
        row.handover = handover or row.handover
        if holder in row.former:
            row.former.remove(holder)
        self._log(row, holder, "released")
        self._go_on(row)

    def _go_on(self, row: Row) -> None:
        """Take a row's next step, which needs no tick."""
        row.ordering = False
        if not row.gone and self._leading:
            self._advance(row, self._now_s())

    def _grant(self, row: Row) -> "Deferred[None]":
        return Deferred.fromCoroutine(self._send_grant(row))

    async def _send_grant(self, row: Row) -> None:
        span, holder = row.span, row.span.holder
        sent_s = self._now_s()
        spans = len(self._rows)
        duration_s = self._timing.duration_s(
            store_silent_s=sent_s - self._store_contact_s, spans=spans
        )
        grant = Grant(
            first=span.first,
            last=span.last,
            token=span.token,
            duration_s=duration_s,
            handover=row.handover,
        )
        row.due_s = float("inf")
        state = self.holders.state_of(holder)
        self._grants_sent += 1
        number = self._grants_sent
        # Until the call has ended, the grant may arrive at any time.
        state.on_their_way_until_s[number] = self._timing.held_until_s(
            ended_s=sent_s + GRANT_TIMEOUT_S, duration_s=duration_s
        )
        try:
            await self._orders.grant(holder, grant, timeout_s=GRANT_TIMEOUT_S)
        except HolderEndedError as error:
            row.due_s = self._now_s() + self._timing.retry_every_s
            self.holders.note_ended(holder, error)
        except PeerUnavailableError as error:
            # It never left: a server that can't be reached runs out of its grants
            # although it is asked again and again.
            row.due_s = self._now_s() + self._timing.retry_every_s
            self.holders.note_unanswered(holder, sent_s)
            self._note_failed(row, error)
        except RefusedError as error:
            state.failing_since_s = None
            row.due_s = self._now_s() + self._timing.retry_every_s
            self._note_refused(row, error)
        except GentianwharfError as error:
            row.due_s = self._now_s() + self._timing.retry_every_s
            self.holders.note_unanswered(holder, sent_s)
            self._note_failed(row, error)
            self.holders.note_grant(
                holder, ended_s=self._now_s(), duration_s=duration_s
            )
        else:
            state.failing_since_s = None
            row.failing = False
            row.due_s = sent_s + self._timing.renew_after_s(spans)
            self.holders.note_grant(
                holder, ended_s=self._now_s(), duration_s=duration_s
            )
            self._note_granted(row)
        finally:
            state.on_their_way_until_s.pop(number, None)
            self._grant_next(state)

    def _note_refused(self, row: Row, error: GentianwharfError) -> None:
        # A renewal that crosses the release of a part of its span is refused, and the
        # rest of the span has a row of its own by then.
        if not row.gone and not row.failing:
            row.failing = True
            self._log(row, row.span.holder, "grant refused", error=str(error))

    def _note_failed(self, row: Row, error: GentianwharfError) -> None:
        if row.granted and not row.failing:
            row.failing = True
            self._log(row, row.span.holder, "renewal failed", error=str(error))

    def _note_granted(self, row: Row) -> None:
        if row.granted or row.gone:
            return
        row.granted = True
        self._log(row, row.span.holder, "granted")
        self.on_granted(row.service, row.span)

    def _log(self, row: Row, holder: Holder, event: str, **fields: str) -> None:
        log.info(
            event,
            extra={
                "service": row.service,
                "first": row.span.first,
                "last": row.span.last,
                "token": row.span.token,
                "server": holder.server_id,
                **fields,
            },
        )
