"""Callers that upload, and servers that compare each byte with what was sent."""

from dataclasses import replace
from enum import StrEnum
from random import Random

from tests.builders_relay import Script
from tests.builders_upload_callers import Caller
from tests.builders_upload_records import (
    Answer,
    Arrival,
    Behaviour,
    Framing,
    Upload,
    Uploads,
    body_of,
)
from tests.builders_upload_servers import CheckingServer

__all__ = [
    "ANSWER_MARGIN_S",
    "DEADLINE_S",
    "Answer",
    "Arrival",
    "Behaviour",
    "Caller",
    "CheckingServer",
    "Dialect",
    "Framing",
    "Upload",
    "Uploads",
    "body_of",
    "draw_batch",
    "draw_upload",
    "script_for",
]

DEADLINE_S = 1.5
ANSWER_MARGIN_S = 1.0
"""Time after a request's deadline by which its caller has an answer."""

MAX_BODY_BYTES = 1_000_000
MAX_FOLLOWING_BYTES = 60_000
LONG_PAUSES_S = (0.3, 0.6, 2.0)
CALLER_DEADLINES_S = (0.4, 1.0, DEADLINE_S)


class Dialect(StrEnum):
    """The headers that callers, servers and the relay exchange."""

    DEFAULT = "default"
    PLATFORM = "platform"


def draw_upload(rng: Random, number: int, *, most_bytes: int = 1_500_000) -> Upload:
    """Return a request of a random size, framing and speed."""
    length = rng.choice(
        [
            0,
            1,
            rng.randrange(1, 16_384),
            rng.randrange(16_384, 70_000),
            rng.randrange(70_000, 400_000),
            rng.randrange(400_000, most_bytes),
        ]
    )
    count = rng.choice([1, 1, 3, 8])
    cuts = sorted(rng.randrange(length + 1) for _ in range(count - 1))
    pieces = tuple(
        (end - start, rng.choice([0.0, 0.0, 0.01, 0.1]))
        for start, end in zip([0, *cuts], [*cuts, length], strict=True)
    )
    return Upload(
        number=number,
        length=length,
        framing=rng.choice(list(Framing)),
        expects_continue=length > 0 and rng.random() < 0.2,
        pieces=pieces,
        leaves_after=rng.randrange(length) if length and rng.random() < 0.05 else None,
    )


def draw_batch(rng: Random, number: int, dialect: Dialect) -> list[Upload]:
    """Return a request, or two that a caller sends without waiting."""
    upload = draw_upload(rng, number, most_bytes=MAX_BODY_BYTES)
    if rng.random() < 0.05:
        last_length, _ = upload.pieces[-1]
        pause = (last_length, rng.choice(LONG_PAUSES_S))
        upload = replace(upload, pieces=(*upload.pieces[:-1], pause))
    batch, kind = [upload], rng.random()
    if upload.expects_continue or upload.leaves_after is not None or kind < 0.7:
        pass
    elif kind < 0.8:
        batch.append(_get(number + 1))
    elif kind < 0.9:
        batch.insert(0, _get(number + 1))
    else:
        length = rng.randrange(MAX_FOLLOWING_BYTES)
        framing = rng.choice(list(Framing))
        batch.append(Upload(number=number + 1, length=length, framing=framing))
    return [_in_dialect(rng, each, dialect) for each in batch]


def _get(number: int) -> Upload:
    return Upload(number=number, length=0, framing=Framing.LENGTH, method="GET")


def _in_dialect(rng: Random, upload: Upload, dialect: Dialect) -> Upload:
    if dialect is Dialect.DEFAULT:
        return upload
    deadline_s = rng.choice(CALLER_DEADLINES_S)
    return replace(
        upload,
        headers=(
            f"Attempt-Id: {upload.number}\r\nDeadline-Ms: {deadline_s * 1000:.0f}\r\n"
        ),
        answer_within_s=deadline_s + ANSWER_MARGIN_S,
    )


def script_for(server: CheckingServer) -> list[Script]:
    """Return the scripts of a server for ``running_relay``."""
    return [server]
