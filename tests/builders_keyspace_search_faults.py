"""Known faults of leaders and grants that are put back, to show that they are found."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec
import pytest

from gentianwharf.entryhost._previous_leader import RemainingGrantsExchange
from gentianwharf.errors import GentianwharfError
from gentianwharf.keyspace import (
    GrantManager,
    Holder,
    KeyTable,
    Leadership,
    MaySend,
    Planner,
    _timing,
)
from gentianwharf.keyspace._holder_states import HolderStates
from gentianwharf.keyspace._states import HolderState
from gentianwharf.keyspace._store_contact import StoreContact
from gentianwharf.keyspace._timing import GrantTiming
from gentianwharf.platform import _order_connections
from gentianwharf.platform._order_connections import (
    RELEASE,
    STATUS_OK,
    OrderConnections,
    _OrderConnection,
)
from tests.builders_keyspace_search_hosts import SenderLoop
from tests.builders_keyspace_search_orders import SearchConnection
from tests.builders_keyspace_search_servers import Fleet

Patch = Callable[[pytest.MonkeyPatch], None]

SHORT_WAIT_S = 5.0
UNBOUNDED_S = 900.0


def answer_for_a_term_not_taken_over(patch: pytest.MonkeyPatch) -> None:
    """Answer for any term with what is known of the last term that was taken over."""
    handle = RemainingGrantsExchange.handle_request

    def handle_any(exchange: Any, request: Any) -> None:
        lease_id = exchange._grant_manager.holders._lease_id
        handle(exchange, msgspec.structs.replace(request, lease_id=lease_id))

    patch.setattr(RemainingGrantsExchange, "handle_request", handle_any)


def resign_before_the_tables_are_read(patch: pytest.MonkeyPatch) -> None:
    """State the grants of an older term on resignation, none if there is none."""
    held_s = HolderStates.held_s
    patch.setattr(
        HolderStates,
        "held_s",
        lambda states, lease_id: held_s(states, states._lease_id),
    )


def take_own_memory_of_an_older_term(patch: pytest.MonkeyPatch) -> None:
    """Take what is known of an older term for that of the last one."""
    take_over: Any = Planner._take_over

    def take_over_any(planner: Any, term: Any, **options: Any) -> None:
        lease_id = planner._grant_manager.holders._lease_id
        if planner._previous_leader is not None and lease_id is not None:
            previous = replace(planner._previous_leader, lease_id=lease_id)
            planner._previous_leader = previous
        take_over(planner, term, **options)

    patch.setattr(Planner, "_take_over", take_over_any)


def leave_out_the_drift_of_clocks(patch: pytest.MonkeyPatch) -> None:
    """Take the clocks of servers for exact."""
    patch.setattr(_timing, "CLOCK_DRIFT", 1.0)


def grant_without_the_store(patch: pytest.MonkeyPatch) -> None:
    """Grant for longer without the store than the next leader assumes."""
    patch.setattr(StoreContact, "is_silenced", lambda contact: False)


def go_on_while_replaced(patch: pytest.MonkeyPatch) -> None:
    """Go on granting after the loss of the term."""
    patch.setattr(StoreContact, "is_silenced", lambda contact: False)
    patch.setattr(StoreContact, "is_replaced", lambda contact: False)
    patch.setattr(GrantManager, "stop", lambda manager: None)


def take_grants_of_a_lost_leader_for_expired(patch: pytest.MonkeyPatch) -> None:
    """Assume that a lost leader has left no grants."""
    patch.setattr(
        GrantTiming,
        "earlier_grants_expiry_s",
        lambda timing, *, took_over_s: took_over_s,
    )


def wait_too_short_for_a_lost_leader(patch: pytest.MonkeyPatch) -> None:
    """Assume that the grants of a lost leader expire within 5 s."""
    patch.setattr(
        GrantTiming,
        "earlier_grants_expiry_s",
        lambda timing, *, took_over_s: took_over_s + SHORT_WAIT_S,
    )


def count_half_of_a_hold(patch: pytest.MonkeyPatch) -> None:
    """Assume that grants last half as long as they do."""
    patch.setattr(
        GrantTiming,
        "grant_expiry_s",
        lambda timing, *, ended_s, duration_s: ended_s + duration_s / 2,
    )


def forget_grants_in_flight(patch: pytest.MonkeyPatch) -> None:
    """Leave out grants that are still on their way."""
    patch.setattr(
        HolderState, "expire_by_s", lambda state, now_s, timing: state.held_until_s
    )


def forget_unanswered_grants(patch: pytest.MonkeyPatch) -> None:
    """Take grants without an answer for not executed."""
    note_grant = HolderStates.note_grant

    def note_answered_grant(
        states: Any, holder: Holder, *, ended_s: float, duration_s: float
    ) -> None:
        if states.state_of(holder).answered_s == states._now_s():
            note_grant(states, holder, ended_s=ended_s, duration_s=duration_s)

    patch.setattr(HolderStates, "note_grant", note_answered_grant)


def take_unlisted_servers_for_ended(patch: pytest.MonkeyPatch) -> None:
    """Assume that a server has ended whose address another has in the list."""
    note_listed, held_until_s = GrantManager.note_listed, HolderStates.held_until_s

    def note(manager: Any, listed: Any) -> None:
        listed = list(listed)
        manager.holders.listed = listed
        note_listed(manager, listed)

    def known_until_s(states: Any, holder: Holder) -> float:
        listed = getattr(states, "listed", None)
        if listed and holder not in listed:
            return 0.0
        return held_until_s(states, holder)

    patch.setattr(GrantManager, "note_listed", note)
    patch.setattr(HolderStates, "held_until_s", known_until_s)


def order_from_any_server_at_an_address(patch: pytest.MonkeyPatch) -> None:
    """Let the next server at an address take the orders to its predecessor."""
    patch.setattr(Fleet, "checks_instance", False)


def act_on_an_expired_lease_after_a_pause(patch: pytest.MonkeyPatch) -> None:
    """Measure the lease by a clock that stops while the host is paused."""
    patch.setattr(SenderLoop, "stops_with_host", True)


def believe_a_restarted_process(patch: pytest.MonkeyPatch) -> None:
    """Believe a process that has no information about earlier leaders."""
    request_grants = RemainingGrantsExchange.request_grants

    def request(exchange: Any, previous: Any) -> None:
        request_grants(exchange, replace(previous, earlier_grants_expired=True))

    patch.setattr(RemainingGrantsExchange, "request_grants", request)


def take_silence_for_the_end(patch: pytest.MonkeyPatch) -> None:
    """Take a holder that answers nothing for ended."""
    note_unanswered = HolderStates.note_unanswered

    def note(states: Any, holder: Holder, sent_s: float) -> None:
        note_unanswered(states, holder, sent_s)
        if holder in states.unreachable():
            states.state_of(holder).held_until_s = 0.0

    patch.setattr(HolderStates, "note_unanswered", note)


def send_on_new_connections_while_replaced(patch: pytest.MonkeyPatch) -> None:
    """Send orders on new connections though another host may lead."""
    may_send: Any = GrantManager._may_send
    patch.setattr(
        GrantManager,
        "_may_send",
        lambda manager, *, on_new_connection: may_send(
            manager, on_new_connection=False
        ),
    )


def follow_tables_while_replaced(patch: pytest.MonkeyPatch) -> None:
    """Carry out tables when another host may lead, also those of a first read."""

    async def begin(planner: Any, term: Any) -> None:
        try:
            page = await planner._store.items(planner._prefix)
        except GentianwharfError:
            return
        if term is None or planner._leadership.term is not term:
            return
        if planner._term is not term:
            planner._term = term
            rejected = [item for item in page.items if not planner.note_table(item)]
            planner._take_over(
                term,
                may_have_grants=_has_spans(planner) or bool(rejected),
                rejected=frozenset(),
            )

    def follow(manager: Any, table: KeyTable) -> None:
        if manager._leading:
            due_s = manager._now_s() + manager.announce_wait_s
            manager._send_orders(manager._rows.follow(table, release_due_s=due_s))

    carry_out_tables_of_later_leaders(patch)
    patch.setattr(Planner, "_begin", begin)
    patch.setattr(GrantManager, "follow", follow)


def carry_out_tables_of_later_leaders(patch: pytest.MonkeyPatch) -> None:
    """Carry out any table while the lease has not run out by the host's clock."""
    patch.setattr(Planner, "_check_term", lambda planner, table, revision: None)


def take_renewals_for_contact(patch: pytest.MonkeyPatch) -> None:
    """Take a renewed lease for a sign that the leader's item is still there."""
    renew: Any = Leadership._renew

    async def renew_and_confirm(leadership: Any, term: Any, now_s: float) -> None:
        await renew(leadership, term, now_s)
        leadership.confirmed_s = max(leadership.confirmed_s, leadership.lease_renewed_s)

    async def confirm(leadership: Any, term: Any, now_s: float) -> None:
        leadership._confirm_due_s = float("inf")

    patch.setattr(Leadership, "_renew", renew_and_confirm)
    patch.setattr(Leadership, "_confirm", confirm)


def release_while_earlier_leaders_connect(patch: pytest.MonkeyPatch) -> None:
    """Begin releases at servers that keep their id at once."""
    patch.setattr(GrantManager, "_may_release", lambda manager, holder: True)


def lead_by_a_claim_before_the_next_leader(patch: pytest.MonkeyPatch) -> None:
    """Lead by a claim that is answered after the item of a later leader was seen."""
    gain: Any = Leadership._gain

    def gain_always(leadership: Any, revision: int) -> None:
        leadership.newest_revision = 0
        gain(leadership, revision)

    patch.setattr(Leadership, "_gain", gain_always)


def begin_by_own_tables(patch: pytest.MonkeyPatch) -> None:
    """Begin to lead by the tables that this host has, without a read."""

    async def begin(planner: Any, term: Any) -> None:
        if term is not None and planner._term is not term:
            planner._term = term
            planner._take_over(
                term, may_have_grants=_has_spans(planner), rejected=frozenset()
            )

    patch.setattr(Planner, "_begin", begin)


def _has_spans(planner: Any) -> bool:
    return any(service.table.spans for service in planner._services.values())


def believe_an_answer_to_an_earlier_term(patch: pytest.MonkeyPatch) -> None:
    """Take any answer of the previous leader for one to the latest question."""
    handle = RemainingGrantsExchange.handle_response

    def handle_any(exchange: Any, response: Any) -> None:
        term = exchange._leadership.term
        if term is not None:
            response = msgspec.structs.replace(response, revision=term.revision)
        handle(exchange, response)

    patch.setattr(RemainingGrantsExchange, "handle_response", handle_any)


def lead_after_a_resignation(patch: pytest.MonkeyPatch) -> None:
    """Lead by a claim that was on its way when the host resigned."""
    gain: Any = Leadership._gain

    def gain_always(leadership: Any, revision: int) -> None:
        paused_until_s = leadership._campaign_pause_until_s
        leadership._campaign_pause_until_s = float("-inf")
        gain(leadership, revision)
        leadership._campaign_pause_until_s = paused_until_s

    patch.setattr(Leadership, "_gain", gain_always)


def send_orders_of_obsolete_rows(patch: pytest.MonkeyPatch) -> None:
    """Send an order that was waiting for its connection after a newer table."""
    patch.setattr(
        GrantManager, "_may_send_for", lambda manager, row, holder: manager._may_send
    )


def believe_refusals_of_copies(patch: pytest.MonkeyPatch) -> None:
    """Believe refusals on connections that were used before."""
    patch.setattr(_order_connections, "FREEING_STATUSES", frozenset())


def believe_releases_answered_by_copies(patch: pytest.MonkeyPatch) -> None:
    """Believe any response to a release."""
    accept: Any = _OrderConnection.accept

    def accept_release(connection: Any, order: str, response: Any) -> bool:
        is_accepted = accept(connection, order, response)
        return is_accepted or (order == RELEASE and response.status == STATUS_OK)

    patch.setattr(_OrderConnection, "accept", accept_release)


def send_again_without_asking(patch: pytest.MonkeyPatch) -> None:
    """Send on a new connection whatever ``may_send`` returns."""

    async def connect(
        connections: Any, address: str, order: str, may_send: MaySend
    ) -> Any:
        return await connections._connect(address)

    patch.setattr(OrderConnections, "_connect_if_allowed", connect)


def deliver_without_a_bound(patch: pytest.MonkeyPatch) -> None:
    """Let kernels hold up orders for as long as they do by default."""
    patch.setattr(SearchConnection, "delivery_timeout_s", UNBOUNDED_S)
    patch.setattr(SearchConnection, "discards_at_end", False)


FAULTS: dict[str, Patch] = {
    "answer-for-a-term-not-taken-over": answer_for_a_term_not_taken_over,
    "resignation-before-the-tables": resign_before_the_tables_are_read,
    "memory-of-an-older-term": take_own_memory_of_an_older_term,
    "no-clock-drift": leave_out_the_drift_of_clocks,
    "grants-without-the-store": grant_without_the_store,
    "goes-on-while-replaced": go_on_while_replaced,
    "lost-leader-expired-at-once": take_grants_of_a_lost_leader_for_expired,
    "lost-leader-expired-in-5-s": wait_too_short_for_a_lost_leader,
    "half-of-a-hold": count_half_of_a_hold,
    "in-flight-forgotten": forget_grants_in_flight,
    "unanswered-forgotten": forget_unanswered_grants,
    "unlisted-taken-for-ended": take_unlisted_servers_for_ended,
    "address-reused": order_from_any_server_at_an_address,
    "lease-outlives-a-pause": act_on_an_expired_lease_after_a_pause,
    "restarted-process-believed": believe_a_restarted_process,
    "silent-taken-for-ended": take_silence_for_the_end,
    "restarted-server-renewed": send_on_new_connections_while_replaced,
    "tables-while-replaced": follow_tables_while_replaced,
    "tables-of-later-leaders": carry_out_tables_of_later_leaders,
    "renewals-for-contact": take_renewals_for_contact,
    "releases-at-once": release_while_earlier_leaders_connect,
    "claim-of-an-earlier-leader": lead_by_a_claim_before_the_next_leader,
    "own-old-tables": begin_by_own_tables,
    "answer-to-an-earlier-term": believe_an_answer_to_an_earlier_term,
    "leads-after-a-resignation": lead_after_a_resignation,
    "obsolete-order-sent": send_orders_of_obsolete_rows,
    "refusals-of-copies": believe_refusals_of_copies,
    "releases-of-copies": believe_releases_answered_by_copies,
    "sent-without-asking": send_again_without_asking,
    "kernel-without-a-bound": deliver_without_a_bound,
}
