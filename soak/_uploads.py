"""Uploads in pieces, and the check of what servers got of them."""

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
"""Share of the pieces before which a caller pauses."""

CHUNKED_SHARE = 0.5
LEAVING_SHARE = 0.08
"""Share of the callers that leave before they have ended their body."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class UploadPlan:
    """How a caller sends a body.

    ``pieces`` has the end of each piece in bytes and the pause before it. The caller
    leaves once it has sent ``leaves_after_bytes``, unless that is None; in chunks, it
    may leave after the last byte and before the end.
    """

    body_bytes: int
    is_chunked: bool
    pieces: tuple[tuple[int, float], ...]
    leaves_after_bytes: int | None = None


def draw_upload(rng: Random) -> UploadPlan:
    """Return how to send a body of a random size."""
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
    if rng.random() < LEAVING_SHARE and (is_chunked or body_bytes):
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


class CallerLeftError(Exception):
    """The caller has left within its body."""


@final
@implementer(IBodyProducer)
class UploadProducer:
    """Sends a body as planned.

    Calls ``on_end`` before it sends the end of the body, maybe twice. The caller stays
    until the end if it ``is_answered`` by then: Twisted can't break off such a request.
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
        self._is_over = False
        self._finished: Deferred[None] = Deferred(lambda _: self.stopProducing())

    def startProducing(self, consumer: IConsumer) -> Deferred[None]:  # noqa: N802
        """Send the first piece after its pause."""
        self._consumer = consumer
        if self._is_stated_end(0):
            self._on_end()
        self._wait()
        return self._finished

    def _wait(self) -> None:
        self._timer = self._reactor.callLater(self._pieces[0][1], self._note_due)

    def _is_stated_end(self, byte: int) -> bool:
        """Whether the head has told that the body ends here."""
        return not self._plan.is_chunked and byte == self._plan.body_bytes

    def _note_due(self) -> None:
        self._is_due = True
        self._send_if_due()

    def _send_if_due(self) -> None:
        if self._is_paused or self._is_over or not self._is_due:
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
            self._is_over = True
            self._finished.errback(CallerLeftError())
        elif is_last:
            self._is_over = True
            self._finished.callback(None)
        else:
            self._wait()

    def pauseProducing(self) -> None:  # noqa: N802
        """Send nothing for now."""
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Send what has become due, and the rest."""
        self._is_paused = False
        self._send_if_due()

    def stopProducing(self) -> None:  # noqa: N802
        """Send nothing any more."""
        self._is_over = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


def find_unasked(
    has_ended: Mapping[str, bool],
    reports: Iterable[BodyReport],
    runs: Iterable[tuple[str, str]],
) -> list[str]:
    """Return a line for each body of which a server got what its caller did not send.

    ``has_ended`` tells of each upload whether its caller has sent the end of the body;
    ``runs`` has a request's id and a server for each run.
    """
    ran = set(runs)
    return [
        f"UNASKED: {report.request_id} at {report.server} got {wrong}"
        + (", and ran" if (report.request_id, report.server) in ran else "")
        for report in reports
        if (wrong := _describe_wrong(report, has_ended.get(report.request_id)))
    ]


def _describe_wrong(report: BodyReport, has_caller_ended: bool | None) -> str:
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
