"""Health of keyed services' servers and liveness of control holders."""

from random import Random

import pytest
from twisted.internet.task import Clock

from gentianwharf import ownership
from gentianwharf.daemon._hosts import HostTable
from gentianwharf.daemon._monitored_control import (
    UNANSWERED_TO_SUSPECT,
    MonitoredControl,
)
from gentianwharf.daemon._ownership_link import CONTROL_TIMEOUT_S, OwnershipLink
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
    """A backend server that answers, or is silent."""

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
        """Return a report in which only ``draining`` varies."""
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
        """Accept."""
        self._answer()


def test_server_that_leaves_calls_unanswered_is_suspect_until_it_answers() -> None:
    """Guards against a killed server of a keyed service that stays shown as active.

    The gate only judges servers that it chooses, so its state alone raised no alarm.
    """
    server = ScriptedControl()
    control = MonitoredControl(control=server)
    server.silent = True
    for number in range(UNANSWERED_TO_SUSPECT):
        assert control.is_suspect(SERVER.id) is False, number
        with pytest.raises(OutcomeUnknownError):
            run_now(control.report(SERVER))
    assert control.is_suspect(SERVER.id)
    server.silent = False
    run_now(control.report(SERVER))
    assert not control.is_suspect(SERVER.id)


def test_request_outcomes_count_where_this_host_makes_no_calls() -> None:
    control = MonitoredControl(control=ScriptedControl())
    for _ in range(UNANSWERED_TO_SUSPECT):
        control.record_outcome(SERVER.id, answered=False)
    assert control.is_suspect(SERVER.id)
    control.record_outcome(SERVER.id, answered=True)
    assert not control.is_suspect(SERVER.id)


@pytest.mark.parametrize("by", ["report", "drain"])
def test_draining_server_is_shown_as_leaving(by: str) -> None:
    server = ScriptedControl()
    control = MonitoredControl(control=server)
    run_now(control.report(SERVER))
    assert not control.is_draining(SERVER.id)
    if by == "drain":
        run_now(control.drain(SERVER))
    else:
        server.draining = True
        run_now(control.report(SERVER))
    assert control.is_draining(SERVER.id)


def test_silent_control_holder_loses_control_after_the_timeout() -> None:
    """Guards against a last known control holder that stays shown as the holder.

    When the store goes down, every control lease lapses; without a time-out, the alarm
    ``no-control-holder`` is never raised.
    """
    clock = Clock()
    host = Host(id="lac-1", domain="lac", peer_address="127.0.0.1:7000")
    mesh = PeerMesh(reactor=clock, host=host, rng=Random(1))
    hosts = HostTable(own=host, known=(), servers=(), now_s=clock.seconds)
    link = OwnershipLink(mesh=mesh, hosts=hosts, now_s=clock.seconds)
    link.on_message = lambda host_id, message: None
    assert not link.has_live_control_holder("calendrier")
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
    assert link.has_live_control_holder("calendrier")
    clock.advance(CONTROL_TIMEOUT_S + 0.1)
    assert not link.has_live_control_holder("calendrier")
