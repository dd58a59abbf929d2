"""Timeouts of the client of the platform's store, tested on virtual time."""

from collections.abc import Callable
from typing import Any, final

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure
from twisted.web.http import PotentialDataLoss

from gentianwharf.errors import OutcomeUnknownError
from gentianwharf.platform import PlatformStore
from gentianwharf.platform._store import RENEW_TIMEOUT_S
from gentianwharf.platform._store_response import CALL_TIMEOUT_S, body_reader
from gentianwharf.store import FORWARDING_PACE, Events, Page
from tests.builders_transport import ProbedTransport

CHUNK_INTERVAL_S = 0.1
SLOW_TRANSFER_S = 6.0
"""Transfer time of the largest value over 2 Mbit/s."""


@final
class SlowLink:
    """One call to the store, whose response a test delivers in chunks."""

    def __init__(self, call: Callable[[PlatformStore], Any]) -> None:
        self.reactor: Any = MemoryReactorClock()
        store = PlatformStore(reactor=self.reactor, address="10.0.0.1:80")
        self.result: Deferred[Any] = Deferred.fromCoroutine(call(store))
        factory: Any = self.reactor.tcpClients[0][2]
        self._protocol: Any = factory.buildProtocol(None)
        self.transport = ProbedTransport()
        self._protocol.makeConnection(self.transport)

    def deliver(
        self, response: bytes, *, within_s: float, missing_bytes: int = 0
    ) -> None:
        """Deliver the response in chunks, except for its last ``missing_bytes``."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(response)
        self._protocol.dataReceived(head)
        size = -(-len(response) // round(within_s / CHUNK_INTERVAL_S))
        for start in range(0, len(response) - missing_bytes, size):
            self.reactor.advance(CHUNK_INTERVAL_S)
            if self.result.called:
                return
            end = min(start + size, len(response) - missing_bytes)
            self._protocol.dataReceived(response[start:end])

    def has_timed_out(self) -> bool:
        """Return whether the call ended without a response."""
        failures: list[Any] = []
        self.result.addErrback(failures.append)
        return bool(failures and failures[0].check(OutcomeUnknownError))


LARGE = {"key": "op/config", "revision": 7, "value": "QUJD" * 250_000, "lease": 0}


def test_large_value_on_a_slow_link_arrives_at_startup() -> None:
    """A restarted host never gets any rules and responds with 503 to all requests.

    Over its slow link, reading the store takes longer than the call timeout. Each read
    is cancelled midway and started again.
    """
    link = SlowLink(lambda store: store.items(""))
    response = {"items": [LARGE], "has-more": False, "as-of": 9}
    link.deliver(msgspec.json.encode(response), within_s=SLOW_TRANSFER_S)
    pages: list[Page] = []
    link.result.addCallback(pages.append)
    assert [len(item.value) for item in pages[0].items] == [750_000]


def test_large_change_on_a_slow_link_arrives_by_watch() -> None:
    """New rules are never in force on the leader, which distributes them to the others.

    Its watches wait 0.8 s each, and the response to one takes longer than that and the
    grace period. Each watch is cancelled midway, and the next one starts over.
    """
    link = SlowLink(
        lambda store: store.watch("", after_revision=3, wait_s=FORWARDING_PACE.wait_s)
    )
    response = {"events": [LARGE], "as-of": 9}
    link.deliver(msgspec.json.encode(response), within_s=SLOW_TRANSFER_S)
    events: list[Events] = []
    link.result.addCallback(events.append)
    assert [change.revision for change in events[0].changes] == [7]


def test_response_that_stalls_times_out() -> None:
    # No more data arrives on a connection on which a response is lost.
    link = SlowLink(lambda store: store.items(""))
    response = msgspec.json.encode({"items": [LARGE], "has-more": False, "as-of": 9})
    link.deliver(response, within_s=SLOW_TRANSFER_S, missing_bytes=10)
    assert not link.result.called
    link.reactor.advance(CALL_TIMEOUT_S)
    assert link.has_timed_out()
    assert link.transport.disconnecting, "the rest of the response would fill the link"


def test_response_that_never_begins_times_out() -> None:
    link = SlowLink(lambda store: store.items(""))
    link.reactor.advance(CALL_TIMEOUT_S)
    assert link.has_timed_out()


def test_renewal_whose_response_stalls_times_out() -> None:
    # The next renewal must be sent while the lease still holds.
    link = SlowLink(lambda store: store.renew_lease(7))
    link.deliver(b'{"ttl_time": "1200ms"}', within_s=0.1, missing_bytes=1)
    link.reactor.advance(RENEW_TIMEOUT_S)
    assert link.has_timed_out()


def test_response_that_trickles_for_ever_times_out() -> None:
    """A host gets no data, since its response arrives at one byte per 0.1 s."""
    link = SlowLink(lambda store: store.items(""))
    link.deliver(b" " * 10_000, within_s=1_000.0)
    assert link.has_timed_out()


def test_watch_that_stalls_midway_times_out() -> None:
    """A host waits 21 s for the rest of a response that is lost.

    Only the start of a watch's response may take long; the rest follows at once.
    """
    link = SlowLink(lambda store: store.watch("", after_revision=3, wait_s=20.0))
    response = msgspec.json.encode({"events": [LARGE], "as-of": 9})
    link.deliver(response, within_s=SLOW_TRANSFER_S, missing_bytes=10)
    link.reactor.advance(CALL_TIMEOUT_S)
    assert link.has_timed_out()


def test_renewal_that_trickles_times_out_while_its_lease_holds() -> None:
    """A leader waits for one response until its lease expires, and doesn't retry."""
    link = SlowLink(lambda store: store.renew_lease(7))
    link.deliver(b" " * 100, within_s=10.0)
    assert link.reactor.seconds() <= RENEW_TIMEOUT_S + CHUNK_INTERVAL_S
    assert link.has_timed_out()


def test_response_without_a_length_ends_with_its_connection() -> None:
    """No host gets any rules if a proxy at the store removes Content-Length."""
    reader = body_reader(on_chunk=lambda: None)
    bodies: list[bytes] = []
    reader.done.addCallback(bodies.append)
    reader.dataReceived(b"{}")
    reader.connectionLost(Failure(PotentialDataLoss()))
    assert bodies == [b"{}"]
