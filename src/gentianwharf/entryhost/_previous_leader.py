"""Exchange between a new leader and the previous one about remaining grants.

Load pattern: the leader is replaced while servers are lost, and the lost servers' keys
wait for the expiry of grants that the previous leader may have made. Without further
information the new leader has to wait for the longest grant, and for as long as a
leader continues without the store. The previous leader has the expiry for each server,
and makes no more grants once it has responded.
"""

from dataclasses import dataclass
from math import inf
from typing import Any, final

import msgspec

from gentianwharf.errors import InputError
from gentianwharf.keyspace import (
    UNKNOWN_GRANTS,
    GrantManager,
    GrantTiming,
    Holder,
    Leadership,
    PreviousLeader,
    RemainingGrants,
)
from gentianwharf.links import NngLink, dial
from gentianwharf.logs import log

from ._peer_messages import (
    HostIdentity,
    RemainingGrant,
    RemainingGrantsRequest,
    RemainingGrantsResponse,
    decode_identity,
)

REQUEST_INTERVAL_S = 0.25

LINK_IDLE_TIMEOUT_S = 4.0
"""Links without a message for this long are closed; a link to a lost host would try to
reconnect forever."""


@final
@dataclass(kw_only=True, slots=True)
class _Link:
    connection: NngLink
    used_s: float


@final
class RemainingGrantsExchange:
    """Requests the previous leader's remaining grants, and answers such requests.

    ``tick`` is called about every 50 ms.
    """

    def __init__(
        self,
        *,
        identity: HostIdentity,
        grant_manager: GrantManager,
        leadership: Leadership,
        timing: GrantTiming,
        reactor: Any,
    ) -> None:
        self._identity = identity
        self._grant_manager = grant_manager
        self._leadership = leadership
        self._timing = timing
        self._reactor = reactor
        self._started_s = float(reactor.seconds())
        self._target: HostIdentity | None = None
        self._target_lease_id = 0
        self._earlier_grants_expired = False
        self._next_request_s = 0.0
        self._links: dict[str, _Link] = {}

    def stop(self) -> None:
        """Close every link."""
        for link in self._links.values():
            link.connection.close()
        self._links.clear()

    def request_grants(self, previous: PreviousLeader) -> None:
        """Start to request the remaining grants of the previous leader."""
        try:
            self._target = decode_identity(previous.value, peer="previous leader")
        except InputError as error:
            log.warning("cannot decode the previous leader's identity: {}", error)
            return
        self._target_lease_id = previous.lease_id
        self._earlier_grants_expired = previous.earlier_grants_expired
        self._next_request_s = self._reactor.seconds()
        self.tick()

    def tick(self) -> None:
        """Repeat the request when it is due, until a response would change nothing."""
        self._close_idle()
        if self._target is None:
            return
        term = self._leadership.term
        if term is None or self._grant_manager.holders.earlier_grants_expired():
            self._target = None
            return
        now_s = self._reactor.seconds()
        if now_s >= self._next_request_s:
            self._next_request_s = now_s + REQUEST_INTERVAL_S
            request = RemainingGrantsRequest(
                self._identity.address,
                self._target.incarnation,
                term.revision,
                self._target_lease_id,
            )
            self._send(self._target.address, request)

    def handle_request(self, request: RemainingGrantsRequest) -> None:
        """Answer a new leader's request, and stop leading."""
        if request.incarnation != self._identity.incarnation:
            ended_s = float(self._reactor.seconds()) - self._started_s
            response = RemainingGrantsResponse(
                request.incarnation, request.revision, ended_s
            )
            self._send(request.address, response)
            return
        term = self._leadership.term
        if term is not None and term.revision > request.revision:
            # The request is outdated: this host has become leader after the one that
            # sent it.
            return
        self._leadership.step_down()
        self._grant_manager.stop()
        remaining = self._grant_manager.holders.remaining_grants(request.lease_id)
        held = [
            RemainingGrant(holder.server_id, holder.born_ms, holder.address, held_s)
            for holder, held_s in remaining.by_holder_s.items()
        ]
        self._send(
            request.address,
            RemainingGrantsResponse(
                request.incarnation, request.revision, None, remaining.others_s, held
            ),
        )

    def handle_response(self, response: RemainingGrantsResponse) -> None:
        """Apply the previous leader's response."""
        if self._target is None or response.incarnation != self._target.incarnation:
            return
        term = self._leadership.term
        if term is None or response.revision != term.revision:
            # This answers an earlier request. Since then its sender may have led again
            # and made grants that the response does not contain.
            return
        remaining = self._remaining_grants(response)
        self._target = None
        if remaining.others_s == inf:
            log.info("former leader does not know the grants of its term")
            return
        log.info(
            "former leader has answered",
            extra={
                "held_s": round(remaining.others_s, 3),
                "servers": len(remaining.by_holder_s),
            },
        )
        self._grant_manager.holders.note_remaining_grants(remaining)

    def _remaining_grants(self, response: RemainingGrantsResponse) -> RemainingGrants:
        if response.ended_s is None:
            held = {
                Holder(
                    server_id=grant.server_id,
                    born_ms=grant.born_ms,
                    address=grant.address,
                ): grant.held_s
                for grant in response.held
            }
            return RemainingGrants(others_s=response.others_s, by_holder_s=held)
        if not self._earlier_grants_expired:
            # The restarted process has lost its information about earlier leaders.
            return UNKNOWN_GRANTS
        remaining_s = (
            self._timing.latest_grant_expiry_s(stopped_s=0.0) - response.ended_s
        )
        return RemainingGrants(others_s=max(0.0, remaining_s))

    def _send(
        self, address: str, message: RemainingGrantsRequest | RemainingGrantsResponse
    ) -> None:
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
