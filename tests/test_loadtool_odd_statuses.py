"""An answer without a valid status is a broken one in the load tool's report."""

import pytest
from twisted.internet.defer import Deferred

from gentianwharf.loadtool._check_response import Verdict
from gentianwharf.loadtool._mix import RequestKind
from gentianwharf.loadtool._plan import PlannedRequest
from gentianwharf.loadtool._sender import HttpSender, SendError
from gentianwharf.loadtool._target import Target
from tests.builders_odd_statuses import ODD_STATUSES, OddServer
from tests.builders_processes import wait_until
from tests.builders_relay import ScriptedServer, in_reactor, running_reactor

KIND = RequestKind(
    service="calendar",
    request_class="consultation",
    method="GET",
    path="/calendar/{key}",
    share=1.0,
    timeout_s=5.0,
)


@pytest.mark.parametrize("status", ODD_STATUSES)
def test_odd_status_is_a_broken_answer(status: str) -> None:
    """Guards against a report that counts such an answer as served."""
    server = OddServer(status)
    scripted = ScriptedServer(scripts=[server])
    port = scripted.start()
    sender = HttpSender(
        reactor=running_reactor(),
        target=Target(host="127.0.0.1", port=port),
        seed=1,
        connections=1,
    )
    planned = PlannedRequest(number=1, due_s=0.0, kind=KIND, key="k1")
    try:
        with pytest.raises(SendError, match="three digits from 100 to 599") as raised:
            in_reactor(lambda: Deferred.fromCoroutine(sender.send(planned)))
        assert raised.value.verdict is Verdict.BROKEN
        wait_until(lambda: server.ended, description="the end of the connection")
    finally:
        in_reactor(sender.close)
        scripted.stop()
