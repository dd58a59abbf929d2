"""An answer to a host's own call whose status isn't one of HTTP's tells nothing."""

from dataclasses import replace

import pytest
from twisted.python.failure import Failure

from gentianwharf.errors import OutcomeUnknownError, PeerUnavailableError
from tests.builders_cut_calls import CALLS, CutCall, HostCall
from tests.builders_cut_heads import HINTS, Form
from tests.builders_odd_statuses import ODD_STATUSES

FREEING = (
    "+409 Conflict",
    "0409",
    "4_09",
    "+421 Other",
    "0421",
    "4_21",
    "42_1",
    "421\t",
)
"""Read with ``int``, these free the keys of an order."""

every_call = pytest.mark.parametrize(
    "call", [pytest.param(each, id=name) for name, each in CALLS.items()]
)
every_status = pytest.mark.parametrize("status", ODD_STATUSES + FREEING)


def odd_form(call: HostCall, status: str, *, first: bytes = b"") -> Form:
    """Return the usual answer to a call with another status."""
    form = call.forms()["length"]
    _, _, fields = form.head.partition(b"\r\n")
    head = first + f"HTTP/1.1 {status}\r\n".encode() + fields
    return replace(form, head=head)


def assert_unknown(call: HostCall, cut: CutCall, form: Form) -> None:
    """Check that the outcome is unknown at once, and the connection is closed."""
    result = cut.receive(cut.answer(form))
    if call is CALLS["load-query"]:
        assert result is None
    else:
        assert isinstance(result, Failure), f"expected an error, got {result!r}"
        # A read of the command line has no effect that could be unknown.
        is_read = call is CALLS["command-line"]
        assert result.check(PeerUnavailableError if is_read else OutcomeUnknownError)
        assert "expected three digits from 100 to 599, got '" in str(result.value)
    assert cut.is_closing


@every_status
@every_call
def test_outcome_is_unknown_after_an_odd_status(call: HostCall, status: str) -> None:
    """Guards against a value, a refusal or freed keys by an answer without a status."""
    assert_unknown(call, CutCall(call), odd_form(call, status))


@pytest.mark.parametrize("status", ["000 OK", "+421 Other", "2_00", "600"])
@every_call
def test_outcome_is_unknown_after_hints_and_an_odd_status(
    call: HostCall, status: str
) -> None:
    """Guards against a check of the first status line alone."""
    assert_unknown(call, CutCall(call), odd_form(call, status, first=HINTS))


@pytest.mark.parametrize("status", ["000 OK", "+421 Other", "2_00", "600"])
@every_call
def test_outcome_is_unknown_on_a_used_connection(call: HostCall, status: str) -> None:
    """Guards against a check of the first answer alone."""
    cut = CutCall(call, after=call.forms()["length"])
    assert_unknown(call, cut, odd_form(call, status))


@every_call
def test_odd_status_in_pieces_is_seen(call: HostCall) -> None:
    """Guards against a check that sees only a part of the line."""
    cut = CutCall(call)
    answer = cut.answer(odd_form(call, "0421 Other"))
    for number in range(answer.index(b"\n")):
        cut.feed(answer[number : number + 1])
    assert cut.results == []
    assert_unknown(call, cut, Form(head=b"\n"))
