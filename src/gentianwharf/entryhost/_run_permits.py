"""Permits to run suspected requests: over all hosts, one copy runs at a time.

Each request has a host that gives its permits, chosen by rendezvous hashing from the
list of hosts, so that neither the leader nor the store is needed.
"""

from collections.abc import Callable, Sequence
from typing import Any, final

import msgspec
from twisted.internet.defer import CancelledError, Deferred

from gentianwharf.pauses import Timeout
from gentianwharf.placement import rendezvous_rank
from gentianwharf.quarantine import PermitTable

from ._host_links import HostLinks
from ._peer_messages import (
    HostAddress,
    HostIdentity,
    PermitAnswer,
    PermitEnd,
    PermitRequest,
)

ANSWER_TIMEOUT_S = 0.25
MAX_GRANTERS = 3
"""Hosts that are asked in turn. A host that reaches none decides by itself."""


@final
class RunPermit:
    """A permit for one write, which this host has until it is given back.

    ``granter`` is None if no host answered and this one decided by itself.
    """

    def __init__(
        self, *, digest: bytes, granter: HostAddress | None, serial: int
    ) -> None:
        self.digest = digest
        self.granter = granter
        self.serial = serial
        self.try_id = ""
        self.is_last_chance = False
        """Whether three servers may have ended when it was given."""
        self.is_used = False
        """Whether the request was written."""


@final
class RunPermits:
    """Takes permits of other hosts, and gives those of this one."""

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
        self._granted = PermitTable()
        # Hosts name a permit by its holder's name and this number, so a process that
        # follows another must not begin where that one began.
        self._serial = identity.incarnation
        self._asked: dict[int, Deferred[bool]] = {}

    async def take(self, digest: bytes, *, duration_s: float) -> RunPermit | None:
        """Return the permit of a request, None if another run has it."""
        for granter in self._granters(digest):
            self._serial += 1
            serial = self._serial
            if granter is None or granter.host == self._identity.host:
                granted: bool | None = self._take_here(digest, serial, duration_s)
            else:
                granted = await self._ask(granter, digest, serial, duration_s)
            if granted is not None:
                permit = RunPermit(digest=digest, granter=granter, serial=serial)
                return permit if granted else None
        return None

    def _granters(self, digest: bytes) -> list[HostAddress | None]:
        """Return the hosts to ask in order; None stands for this host."""
        listed = {entry.host: entry for entry in self._listed()}
        ranked = rendezvous_rank(digest.hex(), listed)[:MAX_GRANTERS]
        return [*(listed[name] for name in ranked), None]

    def _take_here(self, digest: bytes, serial: int, duration_s: float) -> bool:
        now_s = self._reactor.seconds()
        return self._granted.take(
            digest,
            holder=_holder(self._identity.host, serial),
            until_s=now_s + duration_s,
            now_s=now_s,
        )

    async def _ask(
        self, granter: HostAddress, digest: bytes, serial: int, duration_s: float
    ) -> bool | None:
        """Return whether the permit was free, None without an answer."""
        answer: Deferred[bool] = Deferred()
        self._asked[serial] = answer
        request = PermitRequest(
            digest,
            self._identity.host,
            self._identity.address,
            serial,
            int(duration_s * 1000),
        )
        self._links.send(granter.address, msgspec.msgpack.encode(request))
        timeout = Timeout(
            clock=self._reactor, delay_s=ANSWER_TIMEOUT_S, expire=answer.cancel
        )
        try:
            return await answer
        except CancelledError:
            # The host may have given the permit, or may still do so.
            self._end(granter, digest, serial)
            if timeout.expired:
                return None
            raise
        finally:
            timeout.stop()
            self._asked.pop(serial, None)

    def return_permit(self, permit: RunPermit) -> None:
        """End a permit."""
        self._end(permit.granter, permit.digest, permit.serial)

    def _end(self, granter: HostAddress | None, digest: bytes, serial: int) -> None:
        host = self._identity.host
        if granter is None or granter.host == host:
            self._granted.return_permit(digest, holder=_holder(host, serial))
        else:
            end = PermitEnd(digest, host, serial)
            self._links.send(granter.address, msgspec.msgpack.encode(end))

    def handle(self, message: PermitRequest | PermitAnswer | PermitEnd) -> None:
        """Handle a message of another host."""
        if isinstance(message, PermitAnswer):
            answer = self._asked.get(message.serial)
            if answer is not None and not answer.called:
                answer.callback(message.granted)
        elif isinstance(message, PermitEnd):
            self._granted.return_permit(
                message.digest, holder=_holder(message.host, message.serial)
            )
        else:
            now_s = self._reactor.seconds()
            granted = self._granted.take(
                message.digest,
                holder=_holder(message.host, message.serial),
                until_s=now_s + message.duration_ms / 1000,
                now_s=now_s,
            )
            data = msgspec.msgpack.encode(PermitAnswer(message.serial, granted))
            self._links.send(message.address, data)


def _holder(host: str, serial: int) -> str:
    return f"{host}/{serial}"
