"""Checks of responses: complete, and belonging to their requests."""

from typing import Any

import msgspec
import pytest

from gentianwharf.loadtool import LoadTally, Verdict, check_response
from tests.builders_loadtool import received, request


@pytest.mark.parametrize(
    ("changes", "verdict"),
    [
        pytest.param({}, Verdict.SERVED, id="right"),
        pytest.param({"complete": False}, Verdict.BROKEN, id="cut-short"),
        pytest.param({"body": b'{"servi'}, Verdict.BROKEN, id="half-json"),
        pytest.param({"body": b"[]"}, Verdict.BROKEN, id="not-an-object"),
        pytest.param({"content_type": "text/html"}, Verdict.BROKEN, id="html"),
        pytest.param(
            {"fields": {"key": "faculte-2"}}, Verdict.WRONG_ANSWER, id="other-key"
        ),
        pytest.param(
            {"fields": {"service": "documents"}},
            Verdict.WRONG_ANSWER,
            id="other-service",
        ),
        pytest.param(
            {"request_id": "id-2"}, Verdict.WRONG_ANSWER, id="other-request-id"
        ),
        pytest.param(
            {"status": 503, "body": b'{"run":"not-run"}'}, Verdict.NOT_RUN, id="refused"
        ),
        pytest.param(
            {"status": 504, "body": b'{"run":"unknown"}'}, Verdict.UNKNOWN, id="unknown"
        ),
        pytest.param({"status": 500, "body": b"{}"}, Verdict.FAILED, id="failed"),
    ],
)
def test_verdict(changes: dict[str, Any], verdict: Verdict) -> None:
    assert check_response(request(), received(**changes)).verdict is verdict


@pytest.mark.parametrize(
    ("kind", "verdict"),
    [
        pytest.param(1, Verdict.RAN_TWICE, id="must-run-once"),
        pytest.param(0, Verdict.SERVED, id="may-repeat"),
    ],
)
def test_second_run_is_a_violation_only_where_it_must_not_be(
    kind: int, verdict: Verdict
) -> None:
    planned = request(kind)
    fields = {"service": planned.kind.service, "runs": 2}
    assert check_response(planned, received(fields=fields)).verdict is verdict


def test_crossed_answers_of_one_key_show_in_the_request_id() -> None:
    """Two callers request the same key and both receive the first one's response.

    The bodies differ only in the request id, so that service and key are as expected;
    only the duplicate id shows the fault.
    """
    tally = LoadTally()
    for _ in range(2):
        result = check_response(request(), received())
        tally.add(request(), result, elapsed_s=0.01, service_s=0.01)
    assert tally.violations == 1


def test_example_of_a_verdict_names_request_and_reason() -> None:
    tally = LoadTally()
    body = msgspec.json.encode({"run": "not-run", "title": "queue full"})
    result = check_response(request(), received(status=503, body=body))
    tally.add(request(), result, elapsed_s=0.01, service_s=0.01)
    expected = "GET /calendrier/faculte-1/seances: 503 queue full"
    assert tally.examples[Verdict.NOT_RUN] == [expected]
