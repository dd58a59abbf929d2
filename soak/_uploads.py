"""Sends uploads in pieces, and checks the bodies that servers received."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IConsumer
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

from gentianwharf.platform.standin import BodyReport, upload_body

MAX_UPLOAD_BYTES = 200_000
MEDIUM_UPLOAD_BYTES = 70_000
SMALL_UPLOAD_BYTES = 1_000
MAX_PIECES = 24
MAX_PAUSE_S = 0.04
PAUSED_SHARE = 0.6
"""Share of the pieces that are sent after a pause."""

CHUNKED_SHARE = 0.5
DISCONNECT_SHARE = 0.08
"""Share of the callers that disconnect before the end of the body."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class UploadPlan:
    """How a caller sends a body.

    ``pieces`` lists the end offset of each piece and the pause before it, in seconds.
    The caller disconnects once it has sent ``leaves_after_bytes``, unless that is None.
    With chunked encoding, that may be after the last byte and before the final chunk.
    """

    body_bytes: int
    is_chunked: bool
    pieces: tuple[tuple[int, float], ...]
    leaves_after_bytes: int | None = None


def draw_upload(rng: Random) -> UploadPlan:
    """Return a random plan for an upload of a random size."""
    body_bytes = rng.choice(
        [
            0,
            rng.randrange(1, SMALL_UPLOAD_BYTES),
            rng.randrange(SMALL_UPLOAD_BYTES, MEDIUM_UPLOAD_BYTES),
            rng.randrange(SMALL_UPLOAD_BYTES, MEDIUM_UPLOAD_BYTES),
            rng.randrange(MEDIUM_UPLOAD_BYTES, MAX_UPLOAD_BYTES),
        ]
    )
    is_chunked = rng.random() < CHUNKED_SHARE
    leaves_after_bytes = None
    if rng.random() < DISCONNECT_SHARE and (is_chunked or body_bytes):
        leaves_after_bytes = rng.randrange(body_bytes + is_chunked)
    ends = [rng.randrange(body_bytes + 1) for _ in range(rng.randrange(MAX_PIECES))]
    return UploadPlan(
        body_bytes=body_bytes,
        is_chunked=is_chunked,
        pieces=tuple(
            (end, rng.uniform(0, MAX_PAUSE_S) if rng.random() < PAUSED_SHARE else 0.0)
            for end in [*sorted(ends), body_bytes]
        ),
        leaves_after_bytes=leaves_after_bytes,
    )


class CallerDisconnectedError(Exception):
    """The caller disconnected before the end of the body."""


@final
@implementer(IBodyProducer)
class UploadProducer:
    """Sends a body as planned.

    Calls ``on_end`` once or twice before it sends the end of the body. If the request
    ``is_answered`` already, the caller does not disconnect: Twisted can't abort it.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        request_id: str,
        plan: UploadPlan,
        on_end: Callable[[], None],
        is_answered: Callable[[], bool],
    ) -> None:
        self.length = UNKNOWN_LENGTH if plan.is_chunked else plan.body_bytes
        self._reactor = reactor
        self._request_id = request_id
        self._plan = plan
        self._on_end = on_end
        self._is_answered = is_answered
        self._sent_bytes = 0
        self._pieces = list(plan.pieces)
        self._timer: Any = None
        self._is_paused = False
        self._is_due = False
        self._is_stopped = False
        self._finished: Deferred[None] = Deferred(lambda _: self.stopProducing())

    def startProducing(self, consumer: IConsumer) -> Deferred[None]:  # noqa: N802
        """Schedule the first piece."""
        self._consumer = consumer
        if self._is_stated_end(0):
            self._on_end()
        self._schedule_piece()
        return self._finished

    def _schedule_piece(self) -> None:
        self._timer = self._reactor.callLater(self._pieces[0][1], self._handle_timer)

    def _is_stated_end(self, byte: int) -> bool:
        """Whether ``byte`` is the end of the body according to ``Content-Length``."""
        return not self._plan.is_chunked and byte == self._plan.body_bytes

    def _handle_timer(self) -> None:
        self._is_due = True
        self._send_if_due()

    def _send_if_due(self) -> None:
        if self._is_paused or self._is_stopped or not self._is_due:
            return
        self._is_due = False
        end, _ = self._pieces.pop(0)
        leaves_after_bytes = self._plan.leaves_after_bytes
        is_leaving = (
            leaves_after_bytes is not None
            and (end >= leaves_after_bytes)
            and (end > leaves_after_bytes or not self._pieces)
            and not self._is_answered()
        )
        if is_leaving and leaves_after_bytes is not None:
            end = leaves_after_bytes
        is_last = not self._pieces and not is_leaving
        if is_last or self._is_stated_end(end):
            self._on_end()
        if end > self._sent_bytes:
            piece = upload_body(self._request_id, self._sent_bytes, end)
            self._sent_bytes = end
            self._consumer.write(piece)
        if is_leaving:
            self._is_stopped = True
            self._finished.errback(CallerDisconnectedError())
        elif is_last:
            self._is_stopped = True
            self._finished.callback(None)
        else:
            self._schedule_piece()

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause sending."""
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume sending, at once if a piece is due."""
        self._is_paused = False
        self._send_if_due()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop sending for good."""
        self._is_stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


def find_unasked(
    has_ended: Mapping[str, bool],
    reports: Iterable[BodyReport],
    runs: Iterable[tuple[str, str]],
) -> list[str]:
    """Return a line for each received body with data or an end that was never sent.

    ``has_ended`` maps the id of each upload to whether its caller has sent the end of
    the body; ``runs`` has the request id and the server of each run.
    """
    ran = set(runs)
    return [
        f"UNASKED: {report.request_id} at {report.server} got {difference}"
        + (", and ran" if (report.request_id, report.server) in ran else "")
        for report in reports
        if (
            difference := _describe_difference(report, has_ended.get(report.request_id))
        )
    ]


def _describe_difference(report: BodyReport, has_caller_ended: bool | None) -> str:
    if has_caller_ended is None:
        return "a body that no caller sent"
    if report.changed_at_byte is not None:
        return (
            f"other bytes from byte {report.changed_at_byte} on,"
            f" {report.received_bytes} for {report.body_bytes}"
        )
    if report.has_ended and report.received_bytes != report.body_bytes:
        return f"a body of {report.received_bytes} bytes for {report.body_bytes}"
    if report.has_ended and not has_caller_ended:
        return f"the end of a body of {report.body_bytes} bytes that its caller left"
    return ""
