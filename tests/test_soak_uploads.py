"""Uploads in the soak: how they are sent, and what servers got of them."""

from random import Random
from typing import Any

import pytest
from soak._answers import read_answer
from soak._uploads import UploadPlan, UploadProducer, draw_upload, find_unasked
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from gentianwharf.platform.standin import BodyReport, upload_body

ENDED, LEFT, UNKNOWN = {"body-1": True}, {"body-1": False}, {"body-2": True}


def report(
    *, received_bytes: int, has_ended: bool = True, changed_at_byte: int | None = None
) -> BodyReport:
    return BodyReport(
        server="server-5",
        request_id="body-1",
        body_bytes=17_000,
        received_bytes=received_bytes,
        has_ended=has_ended,
        changed_at_byte=changed_at_byte,
    )


@pytest.mark.parametrize(
    ("has_ended", "body", "wrong"),
    [
        pytest.param(
            ENDED, report(received_bytes=0), "a body of 0 bytes for 17000", id="empty"
        ),
        pytest.param(
            ENDED,
            report(received_bytes=9_000, has_ended=False, changed_at_byte=7),
            "other bytes from byte 7 on, 9000 for 17000",
            id="changed",
        ),
        pytest.param(
            ENDED,
            report(received_bytes=17_001, changed_at_byte=17_000),
            "other bytes from byte 17000 on, 17001 for 17000",
            id="too-long",
        ),
        pytest.param(
            LEFT,
            report(received_bytes=17_000),
            "the end of a body of 17000 bytes that its caller left",
            id="ended-for-a-caller-that-left",
        ),
        pytest.param(
            UNKNOWN,
            report(received_bytes=17_000),
            "a body that no caller sent",
            id="unknown",
        ),
    ],
)
def test_bodies_that_no_caller_sent_are_found(
    has_ended: dict[str, bool], body: BodyReport, wrong: str
) -> None:
    """Guards against runs of a request with a body that its caller did not send."""
    found = find_unasked(has_ended, [body], [("body-1", "server-5")])
    assert found == [f"UNASKED: body-1 at server-5 got {wrong}, and ran"]
    found = find_unasked(has_ended, [body], [("body-1", "server-6")])
    assert found == [f"UNASKED: body-1 at server-5 got {wrong}"]


@pytest.mark.parametrize(
    ("has_ended", "body"),
    [
        pytest.param(ENDED, report(received_bytes=17_000), id="whole"),
        pytest.param(LEFT, report(received_bytes=9_000, has_ended=False), id="left"),
        pytest.param(ENDED, report(received_bytes=9_000, has_ended=False), id="cut"),
        pytest.param(ENDED, report(received_bytes=0, has_ended=False), id="head-only"),
    ],
)
def test_beginnings_of_bodies_and_whole_bodies_are_allowed(
    has_ended: dict[str, bool], body: BodyReport
) -> None:
    assert not find_unasked(has_ended, [body], [("body-1", "server-5")])


class SentBody:
    """What a producer sends, and whether it ended or failed."""

    def __init__(self, plan: UploadPlan, *, is_answered: bool = False) -> None:
        self.clock = Clock()
        self.data = b""
        self.ends = 0
        self.results: list[Any] = []
        self.producer = UploadProducer(
            reactor=self.clock,
            request_id="body-1",
            plan=plan,
            on_end=self._note_end,
            is_answered=lambda: is_answered,
        )
        consumer: Any = self
        self.producer.startProducing(consumer).addBoth(self.results.append)

    def _note_end(self) -> None:
        self.ends += 1

    def write(self, data: bytes) -> None:
        self.data += data


@pytest.mark.parametrize("seed", range(40))
def test_caller_sends_its_body_or_leaves_within_it(seed: int) -> None:
    plan = draw_upload(Random(seed))
    sent = SentBody(plan)
    sent.clock.pump([0.2] * 20)
    sent_bytes = plan.body_bytes
    if plan.leaves_after_bytes is not None:
        sent_bytes = plan.leaves_after_bytes
    assert sent.data == upload_body("body-1", 0, sent_bytes)
    assert bool(sent.ends) is (plan.leaves_after_bytes is None)
    assert len(sent.results) == 1
    assert (sent.results == [None]) is (plan.leaves_after_bytes is None)


def test_caller_may_leave_between_the_last_byte_and_the_end() -> None:
    plan = UploadPlan(
        body_bytes=100, is_chunked=True, pieces=((100, 0.0),), leaves_after_bytes=100
    )
    sent = SentBody(plan)
    sent.clock.advance(0)
    assert (len(sent.data), sent.ends) == (100, 0)
    answered = SentBody(plan, is_answered=True)
    answered.clock.advance(0)
    assert (len(answered.data), answered.ends) == (100, 1)


def test_head_ends_a_body_that_it_states_to_be_empty() -> None:
    """Guards against a clean run that is reported, its answer being early."""
    plan = UploadPlan(body_bytes=0, is_chunked=False, pieces=((0, 0.1),))
    assert SentBody(plan).ends == 1


def test_paused_caller_sends_nothing() -> None:
    plan = UploadPlan(body_bytes=100, is_chunked=True, pieces=((40, 0.1), (100, 0.1)))
    sent = SentBody(plan)
    sent.producer.pauseProducing()
    sent.clock.advance(1.0)
    assert not sent.data
    sent.producer.resumeProducing()
    assert len(sent.data) == 40
    sent.producer.stopProducing()
    sent.clock.advance(1.0)
    assert len(sent.data) == 40


@pytest.mark.parametrize("is_cancelled", [False, True], ids=["read", "cancelled"])
def test_answer_whose_end_is_told_twice_is_read_once(*, is_cancelled: bool) -> None:
    """Guards against fleets given up because a caller logged an error of Twisted's."""
    readers: list[Any] = []
    response: Any = type("Response", (), {"deliverBody": readers.append})()
    results: list[Any] = []
    body = read_answer(response).addBoth(results.append)
    (reader,) = readers
    reader.dataReceived(b"whole")
    if is_cancelled:
        body.cancel()
    reader.connectionLost(Failure(ResponseDone()))
    reader.connectionLost(Failure(ResponseDone()))
    assert len(results) == 1
    assert (results == [b"whole"]) is not is_cancelled
