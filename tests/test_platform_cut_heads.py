"""An answer to a host's own call that is cut tells nothing."""

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from gentianwharf.errors import OutcomeUnknownError, PeerUnavailableError
from tests.builders_cut_calls import CALLS, CutCall, HostCall
from tests.builders_cut_heads import Form

CASES = [
    pytest.param(call, form, id=f"{name}-{form_name}")
    for name, call in CALLS.items()
    for form_name, form in call.forms().items()
]
ENDS = [
    pytest.param(ConnectionDone, id="close"),
    pytest.param(ConnectionLost, id="reset"),
]


def is_known(call: HostCall, result: object) -> bool:
    """Whether a call has returned a value, or an error that states what happened."""
    if call is CALLS["load-query"]:
        return result is not None
    if not isinstance(result, Failure):
        return True
    # A read of the command line has no effect that could be unknown.
    unknown = (
        PeerUnavailableError if call is CALLS["command-line"] else OutcomeUnknownError
    )
    return result.check(unknown) is None


def unknown_lengths(call: HostCall, form: Form, answer: bytes) -> range:
    """Return the numbers of bytes of an answer that tell nothing."""
    if call is CALLS["load-query"] or not (call.reads_body or form.has_end):
        return range(len(answer) - len(form.body))
    return range(len(answer))


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("is_used", [False, True], ids=["new", "used"])
@pytest.mark.parametrize(("call", "form"), CASES)
def test_outcome_is_unknown_after_a_cut_answer(
    call: HostCall, form: Form, is_used: bool, end: type[Exception]
) -> None:
    """Guards against a value or a refusal that was read from a part of an answer."""
    after = call.forms()["length"] if is_used else None
    lengths = unknown_lengths(call, form, CutCall(call).answer(form))
    found = []
    for length in lengths:
        cut = CutCall(call, after=after)
        result = cut.deliver(cut.answer(form)[:length], end)
        if is_known(call, result):
            found.append((length, result))
    assert found == []


@pytest.mark.parametrize(("call", "form"), CASES)
def test_outcome_is_known_after_a_whole_answer(call: HostCall, form: Form) -> None:
    whole = CutCall(call)
    result = whole.deliver(whole.answer(form), ConnectionDone)
    assert is_known(call, result) is (form.has_end or not call.needs_end)


@pytest.mark.parametrize(
    "call", [pytest.param(each, id=name) for name, each in CALLS.items()]
)
def test_second_call_uses_the_connection_of_the_first(call: HostCall) -> None:
    cut = CutCall(call, after=call.forms()["length"])
    assert cut.connections == (1 if call.keeps_connection else 2)
