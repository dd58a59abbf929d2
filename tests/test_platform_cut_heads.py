"""An answer to a host's own call that is cut gives an error instead of a value."""

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from gentianwharf.errors import GentianwharfError
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


def has_value(call: HostCall, result: object) -> bool:
    """Whether a call has returned something; a query without a result returns None."""
    if call is CALLS["load-query"]:
        return result is not None
    return not (isinstance(result, Failure) and result.check(GentianwharfError))


def lengths_without_a_value(call: HostCall, form: Form, answer: bytes) -> range:
    """Return the numbers of bytes of an answer that contain no value."""
    if call is CALLS["load-query"] or not (call.reads_body or form.has_end):
        return range(len(answer) - len(form.body))
    return range(len(answer))


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("is_used", [False, True], ids=["new", "used"])
@pytest.mark.parametrize(("call", "form"), CASES)
def test_call_whose_answer_is_cut_has_no_value(
    call: HostCall, form: Form, is_used: bool, end: type[Exception]
) -> None:
    """Guards against a value that was read from a part of an answer."""
    after = call.forms()["length"] if is_used else None
    lengths = lengths_without_a_value(call, form, CutCall(call).answer(form))
    found = []
    for length in lengths:
        cut = CutCall(call, after=after)
        result = cut.deliver(cut.answer(form)[:length], end)
        if has_value(call, result):
            found.append((length, result))
    assert found == []


@pytest.mark.parametrize(("call", "form"), CASES)
def test_call_whose_answer_is_whole_has_a_value(call: HostCall, form: Form) -> None:
    whole = CutCall(call)
    result = whole.deliver(whole.answer(form), ConnectionDone)
    assert has_value(call, result) is (form.has_end or not call.needs_end)


@pytest.mark.parametrize(
    "call", [pytest.param(each, id=name) for name, each in CALLS.items()]
)
def test_second_call_uses_the_connection_of_the_first(call: HostCall) -> None:
    cut = CutCall(call, after=call.forms()["length"])
    assert cut.connections == (2 if call is CALLS["command-line"] else 1)
