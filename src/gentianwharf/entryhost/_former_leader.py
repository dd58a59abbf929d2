"""A new leader asks the one before which of its grants may still hold.

Load pattern: the leader is replaced while servers are lost, and their keys wait for
grants that the former one may have given. Knowing nothing, the next leader has to wait
for the longest that servers take and for as long as a leader without the store goes on.
The former one knows for each server, and once it has answered it gives no more.
"""

from dataclasses import dataclass
from typing import Any, final

import msgspec

from gentianwharf.keyspace import Former, GrantTiming, Holder, Holds, Keeper, Leadership
from gentianwharf.links import NngLink, dial
from gentianwharf.logs import log

from ._peer_messages import HoldsRequest, HoldsResponse, HostIdentity, ServerHold

REQUEST_INTERVAL_S = 0.25

LINK_IDLE_TIMEOUT_S = 4.0
"""After so long without a message a link is closed; one to a lost host would go on
dialling."""


@final
@dataclass(kw_only=True, slots=True)
class _Link:
    connection: NngLink
    used_s: float


@final
class FormerLeader:
    """Asks the former leader, and answers as one; ``tick`` is due every 50 ms or so."""

    def __init__(
        self,
        *,
        identity: HostIdentity,
        keeper: Keeper,
        leadership: Leadership,
        timing: GrantTiming,
        reactor: Any,
    ) -> None:
        self._identity = identity
        self._keeper = keeper
        self._leadership = leadership
        self._timing = timing
        self._reactor = reactor
        self._started_s = float(reactor.seconds())
        self._target: HostIdentity | None = None
        self._is_settled = False
        self._due_s = 0.0
        self._links: dict[str, _Link] = {}

    def stop(self) -> None:
        """Close every link."""
        for link in self._links.values():
            link.connection.close()
        self._links.clear()

    def ask(self, former: Former) -> None:
        """Begin to ask the leader before this one."""
        try:
            self._target = msgspec.json.decode(former.value, type=HostIdentity)
        except msgspec.DecodeError as error:
            log.warning("the former leader's name can't be read: {}", error)
            return
        self._is_settled = former.is_settled
        self._due_s = self._reactor.seconds()
        self.tick()

    def tick(self) -> None:
        """Ask once more when that is due, until the answer would tell nothing new."""
        self._close_idle()
        if self._target is None:
            return
        term = self._leadership.term
        if term is None or self._keeper.lives.is_settled():
            self._target = None
            return
        now_s = self._reactor.seconds()
        if now_s >= self._due_s:
            self._due_s = now_s + REQUEST_INTERVAL_S
            request = HoldsRequest(
                self._identity.address, self._target.incarnation, term.revision
            )
            self._send(self._target.address, request)

    def handle_request(self, request: HoldsRequest) -> None:
        """Answer a new leader, and lead no more."""
        if request.incarnation != self._identity.incarnation:
            ended_s = float(self._reactor.seconds()) - self._started_s
            response = HoldsResponse(request.incarnation, request.revision, ended_s)
            self._send(request.address, response)
            return
        term = self._leadership.term
        if term is not None and term.revision > request.revision:
            # Late: this host has taken the lead from the one that asked.
            return
        self._leadership.give_way()
        self._keeper.stop()
        holds = self._keeper.lives.holds()
        held = [
            ServerHold(holder.server_id, holder.born_ms, holder.address, held_s)
            for holder, held_s in holds.of_s.items()
        ]
        self._send(
            request.address,
            HoldsResponse(
                request.incarnation, request.revision, None, holds.others_s, held
            ),
        )

    def handle_response(self, response: HoldsResponse) -> None:
        """Learn what the former leader's grants hold."""
        if self._target is None or response.incarnation != self._target.incarnation:
            return
        term = self._leadership.term
        if term is None or response.revision != term.revision:
            # To an earlier question, late: since then the one that answered may have
            # led again, and granted what its answer does not tell of.
            return
        holds = self._holds(response)
        self._target = None
        if holds is None:
            return
        log.info(
            "former leader has answered",
            extra={"held_s": round(holds.others_s, 3), "servers": len(holds.of_s)},
        )
        self._keeper.lives.note_holds(holds)

    def _holds(self, response: HoldsResponse) -> Holds | None:
        if response.ended_s is None:
            held = {
                Holder(
                    server_id=hold.server_id, born_ms=hold.born_ms, address=hold.address
                ): hold.held_s
                for hold in response.held
            }
            return Holds(others_s=response.others_s, of_s=held)
        if not self._is_settled:
            # What it knew of the leaders before it is lost with it.
            return None
        left_s = self._timing.ended_until_s(ended_s=0.0) - response.ended_s
        return Holds(others_s=max(0.0, left_s))

    def _send(self, address: str, message: HoldsRequest | HoldsResponse) -> None:
        now_s = float(self._reactor.seconds())
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Link(connection=dial(address), used_s=now_s)
        link.used_s = now_s
        link.connection.send(msgspec.msgpack.encode(message))

    def _close_idle(self) -> None:
        now_s = self._reactor.seconds()
        for address, link in list(self._links.items()):
            if now_s > link.used_s + LINK_IDLE_TIMEOUT_S:
                link.connection.close()
                del self._links[address]
