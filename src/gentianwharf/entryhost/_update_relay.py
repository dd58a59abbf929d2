"""Forwards updates of the leader to the next hosts of a relay tree."""

from collections import deque
from collections.abc import Sequence
from typing import Any, final

import msgspec

from gentianwharf.addresses import split_port
from gentianwharf.logs import log

from ._host_links import HostLinks
from ._peer_messages import LeaderUpdate, Receiver, RelayedUpdate

MAX_QUEUED_S = 2.0
"""Older messages are dropped: hosts have fetched their changes from the store."""


@final
class UpdateRelay:
    """Sends updates to one host at a time, so that the first can forward them early.

    Other messages of this host do not queue behind the transfers to all receivers.
    """

    def __init__(
        self, *, links: HostLinks, link_bytes_per_s: float, reactor: Any
    ) -> None:
        self._links = links
        self._link_bytes_per_s = link_bytes_per_s
        self._reactor = reactor
        self._queue: deque[tuple[float, str, RelayedUpdate]] = deque()
        self._sending: Any = None

    def forward(self, update: LeaderUpdate, receivers: Sequence[Receiver]) -> None:
        """Send an update to the first level of a relay tree, which forwards it."""
        now_s = self._reactor.seconds()
        index = 0
        while index < len(receivers):
            receiver = receivers[index]
            end = index + 1 + receiver.descendants
            relayed = RelayedUpdate(update, list(receivers[index + 1 : end]))
            self._queue.append((now_s, receiver.address, relayed))
            index = end
        if self._sending is None:
            self._send_next()

    def _send_next(self) -> None:
        self._sending = None
        while self._queue and self._sending is None:
            queued_s, address, relayed = self._queue.popleft()
            if self._reactor.seconds() > queued_s + MAX_QUEUED_S:
                continue
            data = msgspec.msgpack.encode(relayed)
            if self._send(address, data):
                self._sending = self._reactor.callLater(
                    len(data) / self._link_bytes_per_s, self._send_next
                )

    def _send(self, address: str, data: bytes) -> bool:
        try:
            split_port(address)
        except ValueError as error:
            log.warning("cannot forward an update: {}", error, extra={"peer": address})
            return False
        return self._links.send(address, data)

    def tick(self) -> None:
        """Close idle links."""
        self._links.tick()

    def close(self) -> None:
        """Drop all queued messages, and close all links."""
        self._queue.clear()
        if self._sending is not None:
            self._sending.cancel()
            self._sending = None
        self._links.close()
