"""An answer to a call counts only for that call, whatever arrives late."""

import json
from collections.abc import Sequence
from functools import partial
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.web.server import Site

from gentianwharf.errors import OutcomeUnknownError
from gentianwharf.infra import (
    GrantOutcome,
    HttpBackendControl,
    HttpStore,
    MemoryHostList,
    MemoryStore,
)
from gentianwharf.standin import StoreApp
from tests.builders_late_answers import Answer, LateCopies
from tests.builders_platform import Loop
from tests.builders_relay import (
    REACTOR,
    ScriptedServer,
    in_reactor,
    make_server,
    request_id_header,
    response,
    running_reactor,
)

SERVICE = "ledger"


class CountingSite(Site):
    """Counts its connections."""

    connections = 0

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Count a connection."""
        self.connections += 1
        return super().buildProtocol(addr)


def outcome(name: str, *, has_id: bool = True) -> Answer:
    """Return an answer to a release."""

    def answer(head: bytes) -> bytes:
        extra = request_id_header(head) if has_id else ""
        return response(json.dumps({"outcome": name}).encode(), extra=extra)

    return answer


def release_in_turn(copies: LateCopies, tokens: Sequence[int]) -> tuple[list[Any], int]:
    """Return the results of releases, errors included, and the connections used."""
    scripted = ScriptedServer(scripts=[copies])
    running_reactor()
    server = make_server(0, scripted.start())
    control = HttpBackendControl(reactor=REACTOR, release_timeout_s=2.0)

    def release(token: int) -> Any:
        released: Deferred[Any] = Deferred.fromCoroutine(
            control.release(server, SERVICE, {3: token})
        )
        return released.addErrback(lambda failure: failure.value)

    results = [in_reactor(partial(release, token)) for token in tokens]
    in_reactor(lambda: Deferred.fromCoroutine(control.close()))
    scripted.stop()
    return results, scripted.connections


@pytest.mark.parametrize("has_id", [True, False], ids=["with-id", "without-id"])
def test_late_copy_of_an_answer_does_not_answer_the_next_call(has_id: bool) -> None:
    """Guards against an order that counts as carried out although it was refused."""
    answers = [outcome("accepted", has_id=has_id), outcome("fenced", has_id=has_id)]
    results, connections = release_in_turn(LateCopies(answers=answers), [7, 6])
    assert results[0] is GrantOutcome.ACCEPTED
    if has_id:
        assert isinstance(results[1], OutcomeUnknownError)
    else:
        assert results[1] is GrantOutcome.FENCED
        assert connections == 2


def test_calls_share_a_connection_while_answers_repeat_their_ids() -> None:
    """Guards against a new connection for each order to a server."""
    copies = LateCopies(answers=[outcome("accepted")], copies=0)
    results, connections = release_in_turn(copies, [7, 8, 9])
    assert results == [GrantOutcome.ACCEPTED] * 3
    assert connections == 1


def test_stand_in_repeats_the_ids_of_calls() -> None:
    """Guards against a new connection for each call to the stand-in store."""
    loop, clock = Loop(), Clock()
    app = StoreApp(store=MemoryStore(clock=clock), hosts=MemoryHostList(clock=clock))
    site = CountingSite(app.resource(), reactor=loop.reactor)
    store = HttpStore(
        reactor=loop.reactor, url=f"http://{loop.listen(site)}", call_timeout_s=5.0
    )
    for _ in range(3):
        loop.run(store.get("table"))
    loop.close()
    assert site.connections == 1
