"""Routing of requests for keys; runs for every request."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import final

from gentianwharf.topology import BackendServer

from ._deadlines import Allowances
from ._loads import SentCounts
from ._rights import Rights
from ._table import Entry, EntryState
from ._tables import Tables
from ._timing import (
    DEADLINE_PAST_RIGHT_S,
    HOLD_S,
    HOLD_STEP_S,
    LEAST_DEADLINE_S,
    RETRY_AFTER_S,
    RIGHT_HOLD_S,
    RIGHT_HOLD_STEP_S,
    SHORT_DEADLINE_S,
    SHORT_HOLD_S,
)


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """Send to ``server_id`` as ``shard`` under ``token``.

    ``shard`` is the number of the key's own entry if the key has one. The request's
    deadline may be at most ``deadline_cap_s`` after the moment of the decision: after
    the loss of an owner, the new owner waits for the last deadline of a request that
    may still be in the old owner's buffers.
    """

    server_id: str
    shard: int
    token: int
    deadline_cap_s: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Hold:
    """Hold the request until ``until_s`` on this host's clock, then route it again.

    Until then, route it every ``step_s``, since the awaited change may come earlier.
    """

    until_s: float
    step_s: float = HOLD_STEP_S


class RefusalReason(StrEnum):
    """Why the request may not be sent to any server; it was not executed."""

    NO_TABLE = "no-table"
    NO_RIGHT = "no-right"
    MOVING = "moving"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """Refuse the request unexecuted; the caller may retry after ``retry_after_s``."""

    reason: RefusalReason
    retry_after_s: float


Route = Send | Hold | Refuse


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class _Block:
    token: int
    since_s: float


def _min_deadline_s(wanted_s: float) -> float:
    """Return the shortest acceptable deadline for a request that asks ``wanted_s``."""
    if wanted_s > SHORT_DEADLINE_S:
        return wanted_s
    return min(wanted_s, LEAST_DEADLINE_S)


@final
class Router:
    """Routes requests by the tables and this host's rights."""

    def __init__(
        self,
        *,
        tables: Tables,
        rights: Rights,
        servers: Mapping[str, BackendServer],
        allowances: Allowances,
        deadline_caps_s: Mapping[str, float],
        sent: Mapping[str, SentCounts],
    ) -> None:
        self._tables = tables
        self._rights = rights
        self._domain_of = {server.id: server.domain for server in servers.values()}
        # Servers whose grants don't expire: only the deadlines of their requests do.
        self._token_only_servers = {
            server.id
            for server in servers.values()
            if not (server.knows_validity and server.gives_stamp)
        }
        self._allowances = allowances
        self._deadline_caps_s = deadline_caps_s
        self._sent = sent
        self._blocks: dict[tuple[str, int], _Block] = {}
        self._right_missing_since_s: dict[str, float] = {}

    def route(
        self,
        service: str,
        shard: int,
        key: str | None,
        now_s: float,
        *,
        deadline_s: float | None = None,
    ) -> Route:
        """Route one request.

        A request with ``deadline_s`` is held until a deadline that long may be sent;
        with None it gets the longest deadline that is allowed at once.
        """
        number = self._tables.shard_for(service, shard, key)
        entry = self._tables.entry(service, number)
        if entry is None:
            return Refuse(reason=RefusalReason.NO_TABLE, retry_after_s=RETRY_AFTER_S)
        if self._blocks or entry.state is not EntryState.OWNED:
            route = self._wait_for_move(service, number, entry, now_s)
            if route is not None:
                return route
        server = entry.owner
        # ``now_s`` is read after any pause of the process, so that a right that expired
        # during the pause is refused here.
        domain = self._domain_of.get(server, "")
        if now_s >= self._rights.until_s(domain):
            return self._wait_for_right(domain, now_s)
        if self._right_missing_since_s:
            self._right_missing_since_s.pop(domain, None)
        cap_s = self._deadline_caps_s[service]
        if server in self._token_only_servers:
            wanted_s = cap_s if deadline_s is None else min(deadline_s - now_s, cap_s)
            longest_s = self._max_deadline_s(service, number, server, wanted_s, now_s)
            if deadline_s is not None and longest_s < _min_deadline_s(wanted_s):
                until_s = now_s + wanted_s
                return self._wait_for_deadline(service, number, server, until_s, now_s)
            cap_s = min(cap_s, longest_s)
        self._sent[service].add(number, key)
        return Send(
            server_id=server, shard=number, token=entry.token, deadline_cap_s=cap_s
        )

    def _wait_for_right(self, domain: str, now_s: float) -> Hold | Refuse:
        """Hold requests while a right that has just expired is requested again.

        After a pause of the process all rights of the host have expired, and requests
        wait in its sockets. Refusing these at once would expose the pause to callers,
        although the right is renewed within one round. A partitioned host stays
        without the right, so only the first requests are held.
        """
        since_s = self._right_missing_since_s.setdefault(domain, now_s)
        until_s = since_s + RIGHT_HOLD_S
        if now_s < until_s:
            return Hold(until_s=until_s, step_s=RIGHT_HOLD_STEP_S)
        return Refuse(reason=RefusalReason.NO_RIGHT, retry_after_s=RETRY_AFTER_S)

    def _max_deadline_s(
        self, service: str, shard: int, server: str, wanted_s: float, now_s: float
    ) -> float:
        """Return the longest deadline allowed, looking no further than ``wanted_s``."""
        domain = self._domain_of[server]
        short_s = self._rights.until_s(domain) + DEADLINE_PAST_RIGHT_S - now_s
        if short_s >= _min_deadline_s(wanted_s):
            return short_s
        allowed_s = self._allowances.until_s(service, shard, domain) - now_s
        if allowed_s >= wanted_s:
            self._allowances.renew(
                service, shard, domain, until_s=now_s + wanted_s, now_s=now_s
            )
        return max(short_s, allowed_s)

    def _wait_for_deadline(
        self, service: str, shard: int, server: str, until_s: float, now_s: float
    ) -> Hold | Refuse:
        """Ask for a longer deadline; refuse if no majority allows it in time.

        With a shorter deadline a long request would be cut off and its outcome would
        be unknown.
        """
        wait_until_s = self._allowances.want(
            service, shard, self._domain_of[server], until_s=until_s, now_s=now_s
        )
        if now_s < wait_until_s:
            return Hold(until_s=wait_until_s)
        return Refuse(reason=RefusalReason.NO_RIGHT, retry_after_s=RETRY_AFTER_S)

    def _wait_for_move(
        self, service: str, shard: int, entry: Entry, now_s: float
    ) -> Hold | Refuse | None:
        block = self._blocks.get((service, shard))
        if block is not None and block.token != entry.token:
            del self._blocks[service, shard]
            block = None
        if block is None and entry.state is EntryState.LAPSING:
            block = self.block(service, shard, entry.token, now_s)
        if block is None:
            return None
        is_moving = entry.state is EntryState.RELEASING
        until_s = block.since_s + (HOLD_S if is_moving else SHORT_HOLD_S)
        if now_s < until_s:
            return Hold(until_s=until_s)
        if entry.state is EntryState.OWNED:
            # A server that restarted without state gets a grant with the same token,
            # so the request is tried there.
            del self._blocks[service, shard]
            return None
        return Refuse(reason=RefusalReason.MOVING, retry_after_s=RETRY_AFTER_S)

    def block(self, service: str, shard: int, token: int, now_s: float) -> _Block:
        """Record that the owner under ``token`` runs no more requests for ``shard``."""
        block = self._blocks.get((service, shard))
        if block is None or block.token != token:
            block = _Block(token=token, since_s=now_s)
            self._blocks[service, shard] = block
        return block
