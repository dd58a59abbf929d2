"""What a host receives from others over a real link."""

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
            reactor=reactor, address="127.0.0.1:0", on_data=read, most_bytes=1000
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
