"""Links to other hosts, and the messages collected for them in one loop iteration."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol, final

from ._counters import MessageCounters
from ._messages import Answers, Requests, encode_answers, encode_requests
from ._types import SlotAnswer, SlotOutcome, SlotRequest, SlotReturn

IDLE_TIMEOUT_S = 30.0
"""Links without a message for this long are closed."""


class Link(Protocol):
    """A one-way link to a host."""

    def send(self, data: bytes) -> bool:
        """Queue a message; returns False if the queue is full."""

    def close(self) -> None:
        """Close immediately and drop queued messages."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class SlotIdentity:
    """The own host: ``address`` is the ``ip:port`` on which it listens for others."""

    host: str
    address: str
    domain: str
    incarnation: int


@final
@dataclass(kw_only=True, slots=True, eq=False)
class _Batch:
    requests: list[SlotRequest] = field(default_factory=list)
    returns: list[SlotReturn] = field(default_factory=list)
    reconnects: bool = False
    host_incarnation: int = 0
    answers: list[SlotAnswer] = field(default_factory=list)


@final
@dataclass(kw_only=True, slots=True, eq=False)
class _OpenLink:
    link: Link
    used_s: float


@final
class Outbox:
    """Collects messages by address until ``flush``, and opens links at first use.

    ``on_first`` is called when the first message since the last ``flush`` is added.
    """

    def __init__(
        self,
        *,
        identity: SlotIdentity,
        dial: Callable[[str], Link],
        clock: Any,
        counters: MessageCounters,
        on_first: Callable[[], None],
    ) -> None:
        self._identity = identity
        self._dial = dial
        self._clock = clock
        self._counters = counters
        self._on_first = on_first
        self._batches: dict[str, _Batch] = {}
        self._links: dict[str, _OpenLink] = {}

    def add_request(self, address: str, request: SlotRequest) -> None:
        """Add a request to the dispatcher at an address."""
        self._batch(address).requests.append(request)

    def add_return(self, address: str, slot: SlotReturn) -> None:
        """Add a return; a request that is withdrawn before it was sent isn't sent."""
        batch = self._batch(address)
        if slot.outcome is SlotOutcome.WITHDRAWN:
            kept = [
                request for request in batch.requests if request.id != slot.request_id
            ]
            if len(kept) < len(batch.requests):
                batch.requests = kept
                return
        batch.returns.append(slot)

    def add_answer(
        self, address: str, host_incarnation: int, answer: SlotAnswer
    ) -> None:
        """Add an answer to the process of a host that sent the request."""
        batch = self._batch(address)
        if batch.host_incarnation != host_incarnation:
            batch.host_incarnation, batch.answers = host_incarnation, []
        batch.answers.append(answer)

    def reconnect(self, address: str) -> None:
        """Use new links in both directions from the next requests on."""
        self.disconnect(address)
        self._batch(address).reconnects = True

    def flush(self) -> None:
        """Send all messages."""
        batches, self._batches = self._batches, {}
        for address, batch in batches.items():
            if batch.requests or batch.returns:
                requests = Requests(
                    host=self._identity.host,
                    address=self._identity.address,
                    incarnation=self._identity.incarnation,
                    requests=batch.requests,
                    returns=batch.returns,
                    reconnects=batch.reconnects,
                )
                self._send(address, encode_requests(requests))
            if batch.answers:
                answers = Answers(
                    dispatcher=self._identity.host,
                    incarnation=self._identity.incarnation,
                    host_incarnation=batch.host_incarnation,
                    answers=batch.answers,
                )
                self._send(address, encode_answers(answers))

    def disconnect(self, address: str) -> None:
        """Close the link to an address; the next message opens another one.

        Messages that are queued for a silent host are outdated, and a new connection
        works at once when the host is back, without waiting for a retransmission.
        """
        link = self._links.pop(address, None)
        if link is not None:
            link.link.close()

    def close_idle(self) -> None:
        """Close links that were not used for ``IDLE_TIMEOUT_S``."""
        idle_s = self._clock.seconds() - IDLE_TIMEOUT_S
        idle = [
            address for address, link in self._links.items() if link.used_s < idle_s
        ]
        for address in idle:
            self.disconnect(address)

    def close(self) -> None:
        """Close every link, and drop what was not sent."""
        self._batches.clear()
        for address in list(self._links):
            self.disconnect(address)

    def _batch(self, address: str) -> _Batch:
        batch = self._batches.get(address)
        if batch is None:
            if not self._batches:
                self._on_first()
            batch = self._batches[address] = _Batch()
        return batch

    def _send(self, address: str, data: bytes) -> None:
        now_s = float(self._clock.seconds())
        link = self._links.get(address)
        if link is None:
            link = _OpenLink(link=self._dial(address), used_s=now_s)
            self._links[address] = link
        link.used_s = now_s
        if link.link.send(data):
            self._counters.sent += 1
        else:
            self._counters.not_sent += 1
