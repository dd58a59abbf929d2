"""Uploads of a request's body, and flow control of the caller's connection."""

from random import Random

import pytest
from twisted.internet.testing import StringTransport

from gentianwharf.relay._caller_body import MAX_REPLAY_BYTES, CallerBody
from tests.builders_bodies import FakeChannel, FakeServerConnection
from tests.builders_uploads import body_of

READ_BYTES = 65_536
SMALL_BYTES, LARGE_BYTES = 1_000, 4 * READ_BYTES
STEPS = 60


def new_body(length: int | None = None) -> tuple[CallerBody, FakeChannel]:
    channel = FakeChannel()
    return CallerBody(length=length, channel=channel), channel


def test_body_that_grows_between_attempts_is_sent_from_its_beginning() -> None:
    """Guards against a retry that sends only the data received after the refusal."""
    body, _ = new_body()
    body.received(b"begin")
    first = FakeServerConnection(body=body)
    first.upload.abort()
    body.received(b"x" * READ_BYTES)
    assert body.can_restart
    second = FakeServerConnection(body=body)
    body.received(b"end")
    body.end()
    assert second.written == b"begin" + b"x" * READ_BYTES + b"end"
    assert second.has_end
    assert not first.has_end


@pytest.mark.parametrize("act", ["pauseProducing", "resumeProducing", "stopProducing"])
def test_connection_of_a_previous_attempt_does_not_affect_the_next(act: str) -> None:
    """Guards against a closing connection that pauses or stops the next upload."""
    body, channel = new_body()
    body.received(b"begin")
    first = FakeServerConnection(body=body)
    first.upload.abort()
    second = FakeServerConnection(body=body)
    getattr(first.upload, act)()
    assert channel.is_reading
    body.received(b"end")
    body.end()
    assert second.written == b"beginend"
    assert second.has_end


def test_reading_from_the_caller_resumes_once_its_request_has_ended() -> None:
    """Guards against reading that stays paused for the caller's next request."""
    body, channel = new_body(LARGE_BYTES)
    server = FakeServerConnection(body=body, capacity_bytes=SMALL_BYTES)
    body.received(b"x" * LARGE_BYTES)
    assert not channel.is_reading
    body.end()
    body.close()
    assert channel.is_reading
    server.upload.pauseProducing()
    assert channel.is_reading


def test_server_that_responded_early_still_gets_the_rest_of_the_body() -> None:
    """Guards against a body that is truncated by an early response."""
    body, _ = new_body(LARGE_BYTES)
    server = FakeServerConnection(body=body, capacity_bytes=READ_BYTES)
    sent = body_of(1, LARGE_BYTES)
    body.received(sent[:READ_BYTES])
    body.received(sent[READ_BYTES:])
    body.end()
    body.close()
    while not server.has_end:
        server.upload.resumeProducing()
    assert server.written == sent


def test_body_of_a_disconnected_caller_is_not_ended() -> None:
    """Guards against a server that runs an incomplete body."""
    body, _ = new_body()
    server = FakeServerConnection(body=body)
    body.received(b"begin")
    body.lost()
    assert server.is_closed
    assert not server.has_end
    assert not body.can_restart


def test_body_is_kept_only_until_its_upload_is_confirmed() -> None:
    """Guards against an upload whose body is buffered without limit."""
    body, _ = new_body()
    upload = body.open_upload(on_abort=lambda: None, is_confirmed=False)
    upload.startProducing(StringTransport())
    body.received(b"x" * READ_BYTES)
    assert body.can_restart
    assert body.held_bytes == READ_BYTES
    upload.confirm()
    assert not body.can_restart
    assert body.held_bytes == 0


def test_body_without_its_beginning_in_memory_is_not_sent_again() -> None:
    """Guards against a retry without the body's beginning."""
    body, _ = new_body()
    first = FakeServerConnection(body=body)
    body.received(b"x" * READ_BYTES)
    first.upload.abort()
    assert not body.can_restart
    with pytest.raises(ValueError, match="expected a body that is held from its"):
        FakeServerConnection(body=body)


def test_closed_body_does_not_resume_reading_for_the_next_request() -> None:
    """Guards against an ended request that overrides the next one's flow control."""
    body, channel = new_body(SMALL_BYTES)
    body.received(b"x" * SMALL_BYTES)
    body.end()
    body.close()
    channel.pause_reading()
    body.close()
    assert not channel.is_reading


@pytest.mark.parametrize("seed", range(40))
def test_servers_get_a_prefix_of_the_body_and_the_end_only_if_complete(
    seed: int,
) -> None:
    """Guards against lost, changed or duplicated bytes in any order of events."""
    rng = Random(seed)
    sent = body_of(seed, rng.choice([SMALL_BYTES, MAX_REPLAY_BYTES, LARGE_BYTES]))
    body, channel = new_body()
    servers: list[FakeServerConnection] = []
    for _ in range(STEPS):
        step = rng.randrange(8)
        if step <= 2 and channel.is_reading and not body.complete:
            start = body.received_bytes
            body.received(sent[start : start + rng.randrange(1, READ_BYTES)])
            if body.received_bytes == len(sent):
                body.end()
        elif step == 3 and body.can_restart:
            capacity_bytes = rng.choice([None, rng.randrange(1, len(sent))])
            servers.append(
                FakeServerConnection(body=body, capacity_bytes=capacity_bytes)
            )
        elif servers and step >= 4:
            upload = rng.choice(servers).upload
            acts = [upload.pauseProducing, upload.resumeProducing]
            acts += [upload.stopProducing, upload.abort] * (rng.random() < 0.1)
            rng.choice(acts)()
        assert body.held_bytes <= MAX_REPLAY_BYTES + READ_BYTES
        for server in servers:
            assert server.written == sent[: len(server.written)]
            assert not server.has_end or (body.complete and server.written == sent)
        assert sum(server.upload.is_active for server in servers) <= 1
