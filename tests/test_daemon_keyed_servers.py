"""How servers of keyed services and control holders are shown, and their alarms."""

from random import Random

import pytest
from twisted.internet.task import Clock

from gentianwharf import ownership
from gentianwharf.daemon._channels import CONTROL_HEARD_S, OwnershipLink
from gentianwharf.daemon._hosts import HostTable
from gentianwharf.daemon._keyed_servers import UNANSWERED_TO_SUSPECT, WatchedControl
from gentianwharf.errors import OutcomeUnknownError
from gentianwharf.infra import Grant, GrantOutcome, ServerReport
from gentianwharf.spread import Channel, PeerMesh
from gentianwharf.spread._frames import FRAME_VERSION, Frame, FrameKind, encode_frame
from gentianwharf.topology import BackendServer, Host
from tests.builders_platform import run_now

SERVER = BackendServer(
    id="calendrier-1",
    service="calendrier",
    domain="lac",
    address="127.0.0.1:9100",
    slots=6,
    connections=130,
)


class ScriptedControl:
    """A server that answers, or does not."""

    def __init__(self) -> None:
        self.silent = False
        self.draining = False

    def _answer(self) -> None:
        if self.silent:
            raise OutcomeUnknownError("no answer", step="report", peer=SERVER.id)

    async def grant(self, server: BackendServer, grant: Grant) -> GrantOutcome:
        """Accept."""
        self._answer()
        return GrantOutcome.ACCEPTED

    async def release(
        self, server: BackendServer, service: str, tokens: dict[int, int]
    ) -> GrantOutcome:
        """Accept."""
        self._answer()
        return GrantOutcome.ACCEPTED

    async def report(self, server: BackendServer) -> ServerReport:
        """Tell of nothing but draining."""
        self._answer()
        return ServerReport(
            server=server.id,
            stamp_s=0.0,
            healthy=True,
            draining=self.draining,
            cold=False,
            load=0.0,
            held={},
        )

    async def drain(self, server: BackendServer) -> None:
        """Take it."""
        self._answer()


def test_server_that_answers_no_order_is_suspect_until_it_does() -> None:
    """A keyed service's server is killed, and the operator looks at the servers.

    It was shown as active for good, and no alarm was raised: the gate judges only
    servers that it chooses.
    """
    inner = ScriptedControl()
    control = WatchedControl(control=inner)
    inner.silent = True
    for number in range(UNANSWERED_TO_SUSPECT):
        assert control.is_suspect(SERVER.id) is False, number
        with pytest.raises(OutcomeUnknownError):
            run_now(control.report(SERVER))
    assert control.is_suspect(SERVER.id)
    inner.silent = False
    run_now(control.report(SERVER))
    assert not control.is_suspect(SERVER.id)


def test_requests_of_this_host_count_where_it_gives_no_orders() -> None:
    control = WatchedControl(control=ScriptedControl())
    for _ in range(UNANSWERED_TO_SUSPECT):
        control.note(SERVER.id, answered=False)
    assert control.is_suspect(SERVER.id)
    control.note(SERVER.id, answered=True)
    assert not control.is_suspect(SERVER.id)


@pytest.mark.parametrize("by", ["report", "drain"])
def test_draining_server_is_shown_as_leaving(by: str) -> None:
    inner = ScriptedControl()
    control = WatchedControl(control=inner)
    run_now(control.report(SERVER))
    assert not control.is_draining(SERVER.id)
    if by == "drain":
        run_now(control.drain(SERVER))
    else:
        inner.draining = True
        run_now(control.report(SERVER))
    assert control.is_draining(SERVER.id)


def test_control_holder_that_falls_silent_holds_nothing_any_more() -> None:
    """The store goes down, and every control lease lapses.

    The host that was heard of last was shown as the holder for good, and
    ``no-control-holder`` was never raised.
    """
    clock = Clock()
    host = Host(id="lac-1", domain="lac", peer_address="127.0.0.1:7000")
    mesh = PeerMesh(reactor=clock, host=host, rng=Random(1))
    hosts = HostTable(own=host, known=(), servers=(), now_s=clock.seconds)
    link = OwnershipLink(mesh=mesh, hosts=hosts, now_s=clock.seconds)
    link.on_message = lambda host_id, message: None
    assert not link.hears_control("calendrier")
    alive = ownership.ControlAlive(service="calendrier", holder="ariana-1", term=1)
    frame = Frame(
        version=FRAME_VERSION,
        kind=FrameKind.DATA,
        sender="ariana-1",
        receiver="lac-1",
        incarnation=1,
        channel=Channel.OWNERSHIP,
        body=ownership.encode(alive),
    )
    mesh.handle_frame(encode_frame(frame))
    assert link.hears_control("calendrier")
    clock.advance(CONTROL_HEARD_S + 0.1)
    assert not link.hears_control("calendrier")
