"""Execution of the moves of one service on the host that holds its control.

The next step of a move follows from the table alone, so another host can continue at
any point: the entry's holders are cleared, its target gets a grant, and the new owner
is written to the store.
"""

from collections import defaultdict
from collections.abc import Mapping
from typing import final

from twisted.internet.defer import Deferred

from gentianwharf.errors import GentianwharfError
from gentianwharf.infra import Grant, GrantOutcome
from gentianwharf.keys import shard_of
from gentianwharf.topology import Service

from ._announce import Announcement
from ._announcer import Announcer
from ._context import Context
from ._deadlines import DeadlineAsker
from ._lapse import Lapses
from ._lease import ControlLease
from ._move import Move, MoveInputs, MoveState, build_move_machine
from ._protocols import answer_within
from ._table import EntryState
from ._timing import (
    ORDER_LIFE_S,
    RIGHT_WAIT_S,
    WALL_CLOCK_SKEW_S,
)
from ._writer import TableWriter

MAX_RELEASES_PER_SERVER = 16
"""Maximum number of concurrent releases per server. A release is answered when its
shard has drained, so that one long request does not keep other shards unserved."""

RELEASE_GRACE_S = 1.0
"""Time beyond the longest deadline for which a release's answer is awaited."""

GRANT_RETRY_INTERVAL_S = 0.1
"""Minimum time between two attempts of a grant."""


@final
class Mover:
    """Moves of one service; ``tick`` and each answer from a server advance them."""

    def __init__(
        self,
        *,
        context: Context,
        service: Service,
        lease: ControlLease,
        announcer: Announcer,
        writer: TableWriter,
        asker: DeadlineAsker,
    ) -> None:
        self._context = context
        self._service = service
        self._lease = lease
        self._announcer = announcer
        self._writer = writer
        self._moves: dict[int, Move] = {}
        self._machines: dict[int, MoveInputs] = {}
        self._synced: dict[int, int] = {}
        self._releasing: set[tuple[str, int, int]] = set()
        self._granting: set[str] = set()
        self._is_tick_due = False
        self._lapses = Lapses(
            context=context, service=service.name, asker=asker, wake=self.tick_soon
        )

    @property
    def moves(self) -> Mapping[int, Move]:
        """Return the moves in progress by shard."""
        return self._moves

    def tick(self) -> None:
        """Advance every move as far as possible."""
        if not self._lease.is_held:
            return
        self._sync()
        grants: dict[str, list[Move]] = defaultdict(list)
        for move in list(self._moves.values()):
            self._clear(move, may_order=True)
            if self._machines[move.shard].step() == "granting":
                grants[move.entry.target].append(move)
        self._lapses.ask()
        for target, moves in grants.items():
            self._grant(target, moves)
        self._confirm()

    def prepare(self) -> None:
        """Start the waits for lost owners to lapse, without any order to servers.

        Needs no lease, because it only asks witnesses. If this host becomes the
        control holder, the waits are already in progress.
        """
        self._sync()
        for move in list(self._moves.values()):
            if move.entry.state is EntryState.LAPSING:
                self._clear(move, may_order=False)
        self._lapses.ask()

    def tick_soon(self) -> None:
        """Schedule one tick for the next event loop iteration; repeated calls coalesce.

        Hundreds of moves end in one iteration when a rule moves many shards. A tick
        for each, nested in the previous one, blocked the event loop and ended in a
        recursion error; answers to grants then came too late, and every move started
        over.
        """
        if self._is_tick_due:
            return
        self._is_tick_due = True
        self._context.clock.callLater(0, self._tick_now)

    def _tick_now(self) -> None:
        self._is_tick_due = False
        self.tick()

    def states(self) -> list[MoveState]:
        """Return the moves in the form that the admin port shows."""
        now_s = self._context.now_s
        return [
            MoveState(
                service=move.service,
                shard=shard,
                owner=move.entry.owner,
                target=move.entry.target,
                token=move.entry.next_token,
                step=self._machines[shard].step(),
                waits_for=tuple(move.uncleared()),
                age_s=now_s - move.started_s,
            )
            for shard, move in self._moves.items()
        ]

    def clear(self) -> None:
        """Discard all moves after the lease is lost; the table still contains them."""
        self._moves.clear()
        self._machines.clear()
        self._synced.clear()

    def _sync(self) -> None:
        for number, chunk in self._context.tables.chunks(self._service.name).items():
            revision = self._writer.revision(number)
            if self._synced.get(number) == revision:
                continue
            self._synced[number] = revision
            moving = {
                shard: entry
                for shard, entry in chunk.entries.items()
                if entry.state is not EntryState.OWNED
            }
            self._discard_ended(number, set(moving))
            for shard, entry in moving.items():
                known = self._moves.get(shard)
                if known is None or known.entry != entry:
                    self._begin(
                        Move(
                            service=self._service.name,
                            shard=shard,
                            chunk=number,
                            revision=revision,
                            entry=entry,
                            started_s=self._context.now_s,
                        )
                    )

    def _discard_ended(self, number: int, moving: set[int]) -> None:
        for shard, move in list(self._moves.items()):
            if move.chunk == number and shard not in moving:
                del self._machines[shard]
                del self._moves[shard]

    def _begin(self, move: Move) -> None:
        self._moves[move.shard] = move
        self._machines[move.shard] = build_move_machine(move)

    def _clear(self, move: Move, *, may_order: bool) -> None:
        machine = self._machines[move.shard]
        if machine.step() != "clearing":
            return
        for holder in move.uncleared():
            if self._is_declared_lost(move, holder):
                move.cleared.add(holder)
                continue
            announcement = self._announcement(move, holder)
            if announcement is None or announcement.complete_since_s is None:
                continue
            if self._has_lapsed(move, holder, announcement):
                move.cleared.add(holder)
            elif may_order:
                self._release(move, holder)
        if not move.uncleared() and self._shard_is_renewed(move):
            machine.holders_cleared()
            if not move.entry.target:
                machine.target_accepted()

    def _shard_is_renewed(self, move: Move) -> bool:
        """Whether the shard of a newly pinned key already has its new token.

        Until then the shard's owner would accept the key's requests under the old
        token.
        """
        if move.entry.owner or move.shard < self._service.shards:
            return True
        tables = self._context.tables
        key = tables.pinned_keys[self._service.name][move.shard]
        shard = shard_of(key, self._service.shards)
        entry = tables.entry(self._service.name, shard)
        return entry is not None and entry.token >= move.entry.token

    def _is_declared_lost(self, move: Move, holder: str) -> bool:
        """Whether an operator declared the holder's domain permanently lost.

        No host there can be asked. The wait still applies, so that the deadlines of
        requests that the domain's hosts sent just before the loss have passed. The
        operator's declaration is the only evidence of the loss.
        """
        domain = self._context.servers[holder].domain
        if move.entry.state is not EntryState.LAPSING:
            return False
        if not self._context.tables.is_declared_lost(domain):
            return False
        cap_s = self._context.deadline_caps_s[self._service.name]
        wait_s = RIGHT_WAIT_S + cap_s + WALL_CLOCK_SKEW_S
        return self._context.now_s >= move.started_s + wait_s

    def _announcement(self, move: Move, holder: str) -> Announcement | None:
        domain = self._context.servers[holder].domain
        known = move.announcements.get(domain)
        if known is None or known.outdated:
            known = self._announcer.announcement(
                self._service.name, move.chunk, move.revision, domain
            )
            if known is not None:
                move.announcements[domain] = known
        return known

    def _has_lapsed(self, move: Move, holder: str, announcement: Announcement) -> bool:
        if move.entry.state is not EntryState.LAPSING:
            return False
        since_s = announcement.complete_since_s
        if since_s is None:
            return False
        cap_s = self._context.deadline_caps_s[self._service.name]
        latest_s = since_s + RIGHT_WAIT_S + cap_s + WALL_CLOCK_SKEW_S
        return self._lapses.has_lapsed(move, holder, announcement, latest_s=latest_s)

    def _release(self, move: Move, holder: str) -> None:
        order = (holder, move.shard, move.entry.next_token)
        waiting = sum(1 for pending in self._releasing if pending[0] == holder)
        if order in self._releasing or waiting >= MAX_RELEASES_PER_SERVER:
            return
        self._releasing.add(order)
        Deferred.fromCoroutine(self._order_release(move, holder, order))

    async def _order_release(
        self, move: Move, holder: str, order: tuple[str, int, int]
    ) -> None:
        context = self._context
        cap_s = context.deadline_caps_s[self._service.name]
        try:
            outcome = await answer_within(
                context.clock,
                cap_s + RELEASE_GRACE_S,
                context.control.release(
                    context.servers[holder],
                    self._service.name,
                    {move.shard: move.entry.next_token},
                ),
                step="release",
                peer=holder,
            )
        except GentianwharfError as error:
            context.log("release-failed", server=holder, error=str(error))
        else:
            if outcome is GrantOutcome.ACCEPTED:
                move.cleared.add(holder)
        finally:
            self._releasing.discard(order)
        self.tick_soon()

    def _grant(self, target: str, moves: list[Move]) -> None:
        now_s = self._context.now_s
        due = [
            move
            for move in moves
            if now_s >= move.last_grant_attempt_s + GRANT_RETRY_INTERVAL_S
        ]
        if not due or target in self._granting:
            return
        for move in due:
            move.last_grant_attempt_s = now_s
        self._granting.add(target)
        Deferred.fromCoroutine(self._order_grant(target, due))

    async def _order_grant(self, target: str, moves: list[Move]) -> None:
        try:
            outcome = await self._send_grant(target, moves)
        except GentianwharfError as error:
            self._context.log("grant-failed", server=target, error=str(error))
        else:
            if outcome is GrantOutcome.ACCEPTED:
                self._accepted(moves)
            else:
                self._context.log("grant-refused", server=target, outcome=str(outcome))
        finally:
            self._granting.discard(target)
        self.tick_soon()

    async def _send_grant(self, target: str, moves: list[Move]) -> GrantOutcome | None:
        context = self._context
        server = context.servers[target]
        stamp_s = None
        if server.gives_stamp:
            report = await answer_within(
                context.clock,
                context.order_timeout_s,
                context.control.report(server),
                step="stamp",
                peer=target,
            )
            stamp_s = report.stamp_s
        now_s = context.now_s
        validity_s = context.rights.until_s(server.domain) - now_s
        # The lease is checked after every wait: a holder that was paused here must
        # not send an order that its successor is not aware of.
        if validity_s <= 0 or not self._lease.is_held:
            return None
        grant = Grant(
            service=self._service.name,
            giver=context.host.id,
            term=self._lease.term,
            tokens={move.shard: move.entry.next_token for move in moves},
            validity_s=validity_s,
            server_stamp_s=stamp_s,
            void_after_stamp_s=None if stamp_s is None else stamp_s + ORDER_LIFE_S,
        )
        return await answer_within(
            context.clock,
            context.order_timeout_s,
            context.control.grant(server, grant),
            step="grant",
            peer=target,
        )

    def _accepted(self, moves: list[Move]) -> None:
        for move in moves:
            if self._moves.get(move.shard) is move:
                self._machines[move.shard].target_accepted()

    def _confirm(self) -> None:
        changes = {
            move.shard: move.entry.confirm()
            for move in self._moves.values()
            if self._machines[move.shard].step() == "confirming"
        }
        if changes:
            self._writer.want(changes)
