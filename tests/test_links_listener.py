"""Messages that a host receives over a real link."""

from select import select
from typing import final

from twisted.internet.defer import Deferred

from gentianwharf.links import NngListener, dial
from tests.builders_relay import in_reactor, running_reactor

TIMEOUT_S = 5.0


def test_error_in_one_message_does_not_stop_the_listener() -> None:
    """Guards against a host that stops receiving messages from all peers.

    One message makes the handler raise. The reactor removes a reader that raises, so
    that the host received nothing until it was restarted.
    """
    got: list[bytes] = []
    last: Deferred[None] = Deferred()

    def read(data: bytes) -> None:
        if data == b"odd":
            raise KeyError("odd")
        got.append(data)
        if data == b"last":
            last.callback(None)

    reactor = running_reactor()
    listener = in_reactor(
        lambda: NngListener(
            reactor=reactor, address="127.0.0.1:0", on_data=read, max_bytes=1000
        )
    )
    link = dial(listener.address.removeprefix("tcp://"))
    for data in (b"first", b"odd", b"last"):
        link.send(data)
    try:
        in_reactor(lambda: last.addTimeout(TIMEOUT_S, reactor))
    finally:
        link.close()
        in_reactor(listener.close)
    assert got == [b"first", b"last"]


@final
class FakeReactor:
    """A reactor that calls no readers, with a clock that the test sets."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def seconds(self) -> float:
        """Return the time."""
        return self.now_s

    def addReader(self, reader: object) -> None:  # noqa: N802
        """Do nothing: the test calls the reader."""

    removeReader = addReader  # noqa: N815


def test_slow_messages_are_handled_in_separate_iterations() -> None:
    """Guards against blocking the event loop of a host.

    Messages from the leader queued while the host was busy. Each contains a long list
    of rules that takes tenths of a second. All were handled in one loop iteration, so
    that callers waited for 3 s and the host's lease expired.
    """
    reactor = FakeReactor()
    got: list[bytes] = []

    def read(data: bytes) -> None:
        got.append(data)
        reactor.now_s += 0.3

    listener = NngListener(
        reactor=reactor, address="127.0.0.1:0", on_data=read, max_bytes=1000
    )
    link = dial(listener.address.removeprefix("tcp://"))
    sent = [b"first", b"second", b"third"]
    for data in sent:
        link.send(data)
    turns = []
    try:
        while len(got) < len(sent):
            assert select([listener], [], [], TIMEOUT_S)[0], "no message arrived"
            before = len(got)
            listener.doRead()
            turns.append(len(got) - before)
    finally:
        link.close()
        listener.close()
    assert got == sent
    assert max(turns) == 1
