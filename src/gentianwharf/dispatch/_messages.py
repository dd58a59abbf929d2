"""Messages between hosts and dispatchers, and their conversion.

Every message is a tagged msgpack array. Durations are whole numbers: a float takes nine
bytes, and the durations of a request three to five.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import isfinite
from typing import Annotated, final

import msgspec

from ._types import (
    SlotAnswer,
    SlotGrant,
    SlotOutcome,
    SlotRefusal,
    SlotRequest,
    SlotReturn,
    SlotWaiting,
)

REQUESTS_TAG = "slots-1"
ANSWERS_TAG = "slot-answers-1"
TAG_PREFIXES = (b"slots-", b"slot-answers-")
"""Also those of other releases, whose messages have a different number."""

MAX_DURATION_S = 3_600.0
"""Upper bound of durations in messages; longer ones, also infinite ones, are cut."""

FIXED_ARRAY, FIXED_STRING = 0x90, 0xA0
"""Type bits of short arrays and strings in msgpack."""

Count = Annotated[int, msgspec.Meta(ge=0)]


class RequestEntry(msgspec.Struct, array_like=True, frozen=True):
    """A request for a slot; see ``SlotRequest``."""

    id: Count
    subject: str
    service: str
    server: str | None
    priority: Count
    caller: Count
    work_us: Count
    max_wait_ms: Count
    deadline_ms: Count
    in_flight: Count
    may_wait: bool


class ReturnEntry(msgspec.Struct, array_like=True, frozen=True):
    """A slot that is free again; see ``SlotReturn``."""

    request_id: Count
    outcome: SlotOutcome
    work_us: Count | None
    running: Count | None
    waiting: Count | None


class RequestsMessage(msgspec.Struct, array_like=True, frozen=True, tag=REQUESTS_TAG):
    """Requests and returns of one host; ``address`` is where it receives answers.

    ``reconnects`` asks for answers over a new link, since the host has got none.
    """

    host: str
    address: str
    incarnation: int
    requests: list[RequestEntry]
    returns: list[ReturnEntry]
    reconnects: bool = False


class GrantEntry(msgspec.Struct, array_like=True, frozen=True):
    """A granted slot."""

    request_id: Count
    server: str


class RefusalEntry(msgspec.Struct, array_like=True, frozen=True):
    """A refused request."""

    request_id: Count
    retry_after_ms: Count
    reason: str


class AnswersMessage(msgspec.Struct, array_like=True, frozen=True, tag=ANSWERS_TAG):
    """Answers of one dispatcher to the process of a host that sent the requests.

    A restarted host may use the ids of its former process again.
    """

    dispatcher: str
    incarnation: int
    host_incarnation: int
    granted: list[GrantEntry]
    waiting: list[Count]
    refused: list[RefusalEntry]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Requests:
    """A decoded message with requests and returns."""

    host: str
    address: str
    incarnation: int
    requests: Sequence[SlotRequest]
    returns: Sequence[SlotReturn]
    reconnects: bool = False


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Answers:
    """A decoded message with answers."""

    dispatcher: str
    incarnation: int
    host_incarnation: int
    answers: Sequence[SlotAnswer]


_decoder: msgspec.msgpack.Decoder[RequestsMessage | AnswersMessage] = (
    msgspec.msgpack.Decoder(RequestsMessage | AnswersMessage)
)
_encoder = msgspec.msgpack.Encoder()


def is_slot_message(data: bytes) -> bool:
    """Whether a message is one of this module's, of this or another release.

    >>> is_slot_message(encode_answers(Answers(
    ...     dispatcher="h1", incarnation=1, host_incarnation=2, answers=())))
    True
    >>> is_slot_message(msgspec.msgpack.encode(["report"]))
    False
    """
    return (
        len(data) > 2
        and data[0] & 0xF0 == FIXED_ARRAY
        and data[1] & 0xE0 == FIXED_STRING
        and data.startswith(TAG_PREFIXES, 2)
    )


def decode(data: bytes) -> Requests | Answers:
    """Decode a message; raises ``msgspec.DecodeError``."""
    message = _decoder.decode(data)
    if isinstance(message, RequestsMessage):
        return Requests(
            host=message.host,
            address=message.address,
            incarnation=message.incarnation,
            requests=[_request(entry) for entry in message.requests],
            returns=[_return(entry) for entry in message.returns],
            reconnects=message.reconnects,
        )
    answers: list[SlotAnswer] = [
        SlotGrant(request_id=entry.request_id, server=entry.server)
        for entry in message.granted
    ]
    answers += [SlotWaiting(request_id=request_id) for request_id in message.waiting]
    answers += [
        SlotRefusal(
            request_id=entry.request_id,
            retry_after_s=entry.retry_after_ms / 1e3,
            reason=entry.reason,
        )
        for entry in message.refused
    ]
    return Answers(
        dispatcher=message.dispatcher,
        incarnation=message.incarnation,
        host_incarnation=message.host_incarnation,
        answers=answers,
    )


def encode_requests(message: Requests) -> bytes:
    """Encode requests and returns."""
    return _encoder.encode(
        RequestsMessage(
            message.host,
            message.address,
            message.incarnation,
            [_request_entry(request) for request in message.requests],
            [_return_entry(slot) for slot in message.returns],
            message.reconnects,
        )
    )


def encode_answers(message: Answers) -> bytes:
    """Encode answers; their order is kept within each kind of answer only."""
    granted: list[GrantEntry] = []
    waiting: list[int] = []
    refused: list[RefusalEntry] = []
    for answer in message.answers:
        if isinstance(answer, SlotGrant):
            granted.append(GrantEntry(answer.request_id, answer.server))
        elif isinstance(answer, SlotWaiting):
            waiting.append(answer.request_id)
        else:
            retry_after_ms = _scaled(answer.retry_after_s, 1e3)
            refused.append(
                RefusalEntry(answer.request_id, retry_after_ms, answer.reason)
            )
    return _encoder.encode(
        AnswersMessage(
            message.dispatcher,
            message.incarnation,
            message.host_incarnation,
            granted,
            waiting,
            refused,
        )
    )


def _scaled(duration_s: float, units_per_s: float) -> int:
    if not isfinite(duration_s):
        return int(MAX_DURATION_S * units_per_s) if duration_s > 0 else 0
    return round(max(0.0, min(MAX_DURATION_S, duration_s)) * units_per_s)


def _request_entry(request: SlotRequest) -> RequestEntry:
    return RequestEntry(
        request.id,
        request.subject,
        request.service,
        request.server,
        request.priority,
        request.caller,
        _scaled(request.work_s, 1e6),
        _scaled(request.max_wait_s, 1e3),
        _scaled(request.deadline_s, 1e3),
        request.in_flight,
        request.may_wait,
    )


def _request(entry: RequestEntry) -> SlotRequest:
    return SlotRequest(
        id=entry.id,
        subject=entry.subject,
        service=entry.service,
        server=entry.server,
        priority=entry.priority,
        caller=entry.caller,
        work_s=entry.work_us / 1e6,
        max_wait_s=entry.max_wait_ms / 1e3,
        deadline_s=entry.deadline_ms / 1e3,
        in_flight=entry.in_flight,
        may_wait=entry.may_wait,
    )


def _return_entry(slot: SlotReturn) -> ReturnEntry:
    return ReturnEntry(
        slot.request_id,
        slot.outcome,
        None if slot.work_s is None else _scaled(slot.work_s, 1e6),
        slot.running,
        slot.waiting,
    )


def _return(entry: ReturnEntry) -> SlotReturn:
    return SlotReturn(
        request_id=entry.request_id,
        outcome=entry.outcome,
        work_s=None if entry.work_us is None else entry.work_us / 1e6,
        running=entry.running,
        waiting=entry.waiting,
    )
