"""The client of the platform's store on virtual time: how long it waits for what."""

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
from gentianwharf.platform._store_answer import CALL_TIMEOUT_S, BodyReader
from gentianwharf.store import FORWARDING_PACE, Events, Page
from tests.builders_transport import ProbedTransport

PIECE_EVERY_S = 0.1
SLOW_LINK_S = 6.0
"""What the largest value takes over 2 Mbit/s."""


@final
class SlowLink:
    """One call to the store, whose answer a test hands on in pieces."""

    def __init__(self, call: Callable[[PlatformStore], Any]) -> None:
        self.reactor: Any = MemoryReactorClock()
        store = PlatformStore(reactor=self.reactor, address="10.0.0.1:80")
        self.result: Deferred[Any] = Deferred.fromCoroutine(call(store))
        factory: Any = self.reactor.tcpClients[0][2]
        self._protocol: Any = factory.buildProtocol(None)
        self.transport = ProbedTransport()
        self._protocol.makeConnection(self.transport)

    def bring(self, answer: bytes, *, within_s: float, left_out: int = 0) -> None:
        """Hand the answer on, in as many pieces as it takes time, but for its end."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer)
        self._protocol.dataReceived(head)
        size = -(-len(answer) // round(within_s / PIECE_EVERY_S))
        for start in range(0, len(answer) - left_out, size):
            self.reactor.advance(PIECE_EVERY_S)
            if self.result.called:
                return
            end = min(start + size, len(answer) - left_out)
            self._protocol.dataReceived(answer[start:end])

    def has_given_up(self) -> bool:
        """Whether the call ended without an answer."""
        caught: list[Any] = []
        self.result.addErrback(caught.append)
        return bool(caught and caught[0].check(OutcomeUnknownError))


LARGE = {"key": "op/config", "revision": 7, "value": "QUJD" * 250_000, "lease": 0}


def test_large_value_on_a_slow_link_arrives_at_a_host_that_starts() -> None:
    """A host that is started again never knows any rules and answers 503 for good.

    Its link is slow, and reading what the store has takes longer than a call may. It
    gives up each time midway and begins anew.
    """
    link = SlowLink(lambda store: store.items(""))
    answer = {"items": [LARGE], "has-more": False, "as-of": 9}
    link.bring(msgspec.json.encode(answer), within_s=SLOW_LINK_S)
    page: list[Page] = []
    link.result.addCallback(page.append)
    assert [len(one.value) for one in page[0].items] == [750_000]


def test_large_change_on_a_slow_link_arrives_at_the_leader() -> None:
    """New rules are never in force on the leader, which tells all others.

    It watches in turns of 0.8 s, and what such a watch brings takes longer than the
    turn and its grace. Each turn gives up midway and the next one asks for the same.
    """
    link = SlowLink(
        lambda store: store.watch("", after_revision=3, wait_s=FORWARDING_PACE.wait_s)
    )
    answer = {"events": [LARGE], "as-of": 9}
    link.bring(msgspec.json.encode(answer), within_s=SLOW_LINK_S)
    brought: list[Events] = []
    link.result.addCallback(brought.append)
    assert [one.revision for one in brought[0].changes] == [7]


def test_answer_that_falls_silent_midway_is_given_up() -> None:
    # A connection on which an answer is lost brings nothing any more.
    link = SlowLink(lambda store: store.items(""))
    answer = msgspec.json.encode({"items": [LARGE], "has-more": False, "as-of": 9})
    link.bring(answer, within_s=SLOW_LINK_S, left_out=10)
    assert not link.result.called
    link.reactor.advance(CALL_TIMEOUT_S)
    assert link.has_given_up()
    assert link.transport.disconnecting, "its rest would fill the link"


def test_answer_that_never_begins_is_given_up_in_time() -> None:
    link = SlowLink(lambda store: store.items(""))
    link.reactor.advance(CALL_TIMEOUT_S)
    assert link.has_given_up()


def test_renewal_whose_answer_is_lost_midway_is_given_up_in_time() -> None:
    # The next one has to come while the lease still holds.
    link = SlowLink(lambda store: store.renew_lease(7))
    link.bring(b'{"ttl_time": "1200ms"}', within_s=0.1, left_out=1)
    link.reactor.advance(RENEW_TIMEOUT_S)
    assert link.has_given_up()


def test_answer_that_trickles_for_ever_is_given_up() -> None:
    """A host learns nothing: each tenth of a second one more byte comes."""
    link = SlowLink(lambda store: store.items(""))
    link.bring(b" " * 10_000, within_s=1_000.0)
    assert link.has_given_up()


def test_watch_that_falls_silent_midway_is_given_up_in_time() -> None:
    """A host waits for 21 s for the rest of an answer that is lost.

    What a watch brings comes at once when it comes; only its beginning may take long.
    """
    link = SlowLink(lambda store: store.watch("", after_revision=3, wait_s=20.0))
    answer = msgspec.json.encode({"events": [LARGE], "as-of": 9})
    link.bring(answer, within_s=SLOW_LINK_S, left_out=10)
    link.reactor.advance(CALL_TIMEOUT_S)
    assert link.has_given_up()


def test_renewal_that_trickles_is_given_up_while_its_lease_holds() -> None:
    """A leader waits for one answer while its lease runs out, and doesn't ask again."""
    link = SlowLink(lambda store: store.renew_lease(7))
    link.bring(b" " * 100, within_s=10.0)
    assert link.reactor.seconds() <= RENEW_TIMEOUT_S + PIECE_EVERY_S
    assert link.has_given_up()


def test_answer_without_a_length_ends_with_its_connection() -> None:
    """No host ever knows any rules where something before the store drops lengths."""
    reader = BodyReader(on_piece=lambda: None)
    whole: list[bytes] = []
    reader.done.addCallback(whole.append)
    reader.dataReceived(b"{}")
    reader.connectionLost(Failure(PotentialDataLoss()))
    assert whole == [b"{}"]
