"""Turns of suspected requests: over all hosts, one of them runs at a time.

Each request has a host that gives its turns, chosen by rendezvous hashing from the list
of hosts, so that neither the leader nor the store is needed.
"""

from collections.abc import Callable, Sequence
from typing import Any, final

import msgspec
from twisted.internet.defer import CancelledError, Deferred

from gentianwharf.pauses import Timeout
from gentianwharf.placement import rendezvous_rank
from gentianwharf.quarantine import TrialDesk

from ._host_links import HostLinks
from ._peer_messages import (
    HostAddress,
    HostIdentity,
    TurnAnswer,
    TurnEnd,
    TurnRequest,
)

ANSWER_TIMEOUT_S = 0.25
MAX_DESKS = 3
"""Hosts that are asked in turn. A host that reaches none of them decides by itself."""


@final
class Turn:
    """A turn that this host has, until it is given back."""

    def __init__(self, *, digest: bytes, desk: HostAddress | None, serial: int) -> None:
        self.digest = digest
        self.desk = desk
        self.serial = serial


@final
class Turns:
    """Takes turns of other hosts, and gives those of this one."""

    def __init__(
        self,
        *,
        identity: HostIdentity,
        links: HostLinks,
        listed: Callable[[], Sequence[HostAddress]],
        reactor: Any,
    ) -> None:
        self._identity = identity
        self._links = links
        self._listed = listed
        self._reactor = reactor
        self._desk = TrialDesk()
        self._serial = 0
        self._asked: dict[int, Deferred[bool]] = {}

    async def take(self, digest: bytes, *, duration_s: float) -> Turn | None:
        """Return the turn of a request, None if another run has it."""
        for desk in self._desks(digest):
            self._serial += 1
            serial = self._serial
            if desk is None or desk.host == self._identity.host:
                granted: bool | None = self._take_here(digest, serial, duration_s)
            else:
                granted = await self._ask(desk, digest, serial, duration_s)
            if granted is not None:
                turn = Turn(digest=digest, desk=desk, serial=serial)
                return turn if granted else None
        return None

    def _desks(self, digest: bytes) -> list[HostAddress | None]:
        """Return the hosts to ask in order; None stands for this host."""
        listed = {entry.host: entry for entry in self._listed()}
        ranked = rendezvous_rank(digest.hex(), listed)[:MAX_DESKS]
        return [*(listed[name] for name in ranked), None]

    def _take_here(self, digest: bytes, serial: int, duration_s: float) -> bool:
        now_s = self._reactor.seconds()
        return self._desk.take(
            digest,
            holder=_holder(self._identity.host, serial),
            until_s=now_s + duration_s,
            now_s=now_s,
        )

    async def _ask(
        self, desk: HostAddress, digest: bytes, serial: int, duration_s: float
    ) -> bool | None:
        """Return whether the turn was free, None without an answer."""
        answer: Deferred[bool] = Deferred()
        self._asked[serial] = answer
        request = TurnRequest(
            digest,
            self._identity.host,
            self._identity.address,
            serial,
            int(duration_s * 1000),
        )
        self._links.send(desk.address, msgspec.msgpack.encode(request))
        timeout = Timeout(
            clock=self._reactor, delay_s=ANSWER_TIMEOUT_S, expire=answer.cancel
        )
        try:
            return await answer
        except CancelledError:
            # The host may have given the turn, or may still do so.
            self._end(desk, digest, serial)
            if timeout.expired:
                return None
            raise
        finally:
            timeout.stop()
            self._asked.pop(serial, None)

    def give_back(self, turn: Turn) -> None:
        """End a turn."""
        self._end(turn.desk, turn.digest, turn.serial)

    def _end(self, desk: HostAddress | None, digest: bytes, serial: int) -> None:
        host = self._identity.host
        if desk is None or desk.host == host:
            self._desk.give_back(digest, holder=_holder(host, serial))
        else:
            end = TurnEnd(digest, host, serial)
            self._links.send(desk.address, msgspec.msgpack.encode(end))

    def handle(self, message: TurnRequest | TurnAnswer | TurnEnd) -> None:
        """Handle a message of another host."""
        if isinstance(message, TurnAnswer):
            answer = self._asked.get(message.serial)
            if answer is not None and not answer.called:
                answer.callback(message.granted)
        elif isinstance(message, TurnEnd):
            self._desk.give_back(
                message.digest, holder=_holder(message.host, message.serial)
            )
        else:
            now_s = self._reactor.seconds()
            granted = self._desk.take(
                message.digest,
                holder=_holder(message.host, message.serial),
                until_s=now_s + message.duration_ms / 1000,
                now_s=now_s,
            )
            data = msgspec.msgpack.encode(TurnAnswer(message.serial, granted))
            self._links.send(message.address, data)


def _holder(host: str, serial: int) -> str:
    return f"{host}/{serial}"
