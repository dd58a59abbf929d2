"""Lets a host that starts, or that stood still, catch up with what others know.

Load pattern: a caller comes to such a host at once, and the news that it missed is not
repeated yet, or not in the store, since the leader is gone as well.
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import Any, final

import msgspec
from twisted.internet.defer import Deferred

from gentianwharf.logs import log

from ._host_links import HostLinks
from ._peer_messages import HostAddress, HostIdentity, RecordsReply, RecordsRequest

MAX_ASKED = 3
ANSWER_TIMEOUT_S = 0.3
PAUSE_S = 1.0
"""Time without a tick after which this host counts as having stood still."""


@final
class RecordsExchange:
    """Asks some hosts for their records; requests wait for the first current one."""

    def __init__(
        self,
        *,
        identity: HostIdentity,
        links: HostLinks,
        listed: Callable[[], Sequence[HostAddress]],
        reactor: Any,
        rng: Random,
    ) -> None:
        self.count = 0
        """How often this host asked, since its start."""
        self.is_current = False
        """Whether this host has asked since its start, and has an answer or none."""
        self._identity = identity
        self._links = links
        self._listed = listed
        self._reactor = reactor
        self._rng = rng
        self._ticked_s = reactor.seconds()
        self._timer: Any = None
        self._asked_s = 0.0
        self._waiting: list[Deferred[None]] = []

    def tick(self, *, knows_hosts: bool) -> None:
        """Ask once the list of hosts is known, and again after a pause."""
        if self._has_stood_still() or (knows_hosts and not self.is_current):
            self._ask()
        self._ticked_s = self._reactor.seconds()

    def needs_answer(self) -> bool:
        """Whether requests have to wait."""
        return self._timer is not None or self._has_stood_still()

    def _has_stood_still(self) -> bool:
        return bool(self._reactor.seconds() - self._ticked_s > PAUSE_S)

    def wait(self) -> "Deferred[None]":
        """Return a Deferred that fires with an answer of a host that knows, or without.

        It fires after ``ANSWER_TIMEOUT_S`` if no such answer came.
        """
        if self._timer is None:
            self._ask()
            self._ticked_s = self._reactor.seconds()
        waiting: Deferred[None] = Deferred(self._waiting.remove)
        if self._timer is None:
            waiting.callback(None)
        else:
            self._waiting.append(waiting)
        return waiting

    def _ask(self) -> None:
        if self._timer is not None:
            return
        others = [
            entry for entry in self._listed() if entry.host != self._identity.host
        ]
        if not others:
            self.is_current = True
            return
        self.count += 1
        self._asked_s = self._reactor.seconds()
        self._timer = self._reactor.callLater(ANSWER_TIMEOUT_S, self._end)
        data = msgspec.msgpack.encode(RecordsRequest(self._identity.address))
        for entry in self._rng.sample(others, min(MAX_ASKED, len(others))):
            self._links.send(entry.address, data)

    def answer(self, request: RecordsRequest, reply: RecordsReply) -> None:
        """Send this host's records to another host, which may have just started."""
        reply.is_current = self.is_current and not self.needs_answer()
        # A link to its former process would be opened again only after a delay.
        self._links.renew(request.address)
        self._links.send(request.address, msgspec.msgpack.encode(reply))

    def note_answer(self, reply: RecordsReply) -> None:
        """Record that another host's records were applied.

        Hosts that start together know nothing; one of them must not be believed before
        a host that knows.
        """
        if reply.is_current:
            self._end_wait()

    def _end_wait(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._end()

    def stop(self) -> None:
        """Wait for no answer any more."""
        self._end_wait()

    def _end(self) -> None:
        took_s = self._reactor.seconds() - self._asked_s
        log.info(
            "asked other hosts about requests that end servers",
            extra={"answered": took_s < ANSWER_TIMEOUT_S, "took_s": round(took_s, 3)},
        )
        self._timer = None
        self.is_current = True
        waiting, self._waiting = self._waiting, []
        for done in waiting:
            done.callback(None)
