"""What a host receives from others over a real link."""

from select import select
from typing import final

from twisted.internet.defer import Deferred

from gentianwharf.links import NngListener, dial
from tests.builders_relay import in_reactor, running_reactor

MOST_WAIT_S = 5.0


def test_message_that_can_t_be_handled_costs_that_message_alone() -> None:
    """A host hears no other host any more: no news, no moves, no reports.

    One message makes its reader raise. The event loop drops a reader that raises, so
    that the host's ear to all others is closed until it is started again.
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
        in_reactor(lambda: last.addTimeout(MOST_WAIT_S, reactor))
    finally:
        link.close()
        in_reactor(listener.close)
    assert got == [b"first", b"last"]


@final
class TimedReactor:
    """Calls nobody; its time goes on as a test says."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def seconds(self) -> float:
        """Return the time."""
        return self.now_s

    def addReader(self, reader: object) -> None:  # noqa: N802
        """Let the test call the reader."""

    removeReader = addReader  # noqa: N815


def test_messages_that_take_long_are_handled_in_turns_of_their_own() -> None:
    """A host's callers wait for 3 s, and its lease runs out.

    Its leader's news queued while it was busy. Each brings a long list of rules, which
    takes tenths of a second, and all of them were handled in one turn.
    """
    reactor = TimedReactor()
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
            assert select([listener], [], [], MOST_WAIT_S)[0], "nothing came"
            before = len(got)
            listener.doRead()
            turns.append(len(got) - before)
    finally:
        link.close()
        listener.close()
    assert got == sent
    assert max(turns) == 1
