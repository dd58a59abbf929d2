"""What the relay counts when it writes requests to servers."""

import pytest

from gentianwharf.relay import SendCause
from tests.builders_answers import hanging, ok, shedding
from tests.builders_relay import Script, request, running_relay
from tests.test_relay_repeats import closing


@pytest.mark.parametrize(
    ("script", "cause"),
    [
        pytest.param(shedding, SendCause.AFTER_SHED, id="after-a-refusal"),
        pytest.param(closing, SendCause.AFTER_LOST, id="on-a-new-connection"),
    ],
)
def test_retry_is_counted_by_its_cause(script: Script, cause: SendCause) -> None:
    with running_relay([script], [ok]) as relay:
        assert relay.send(request()).endswith(b"ok")
        causes = [cause for _, cause in relay.admission.sends]
        assert relay.records.responses[0].sends == 2
    assert causes == [SendCause.FIRST, cause]


def test_hedge_is_counted() -> None:
    with running_relay([hanging], [ok]) as relay:
        relay.admission.hedge_after_s = 0.02
        relay.send(request())
        causes = [cause for _, cause in relay.admission.sends]
    assert causes == [SendCause.FIRST, SendCause.HEDGE]


def test_request_that_reached_no_server_before_is_no_repeat() -> None:
    """Guards against a first send that counts as a repeat after a failed connection."""
    with running_relay([ok], [ok]) as relay:
        relay.servers[0].stop()
        assert relay.send(request()).endswith(b"ok")
        causes = [cause for _, cause in relay.admission.sends]
    assert causes == [SendCause.FIRST]
