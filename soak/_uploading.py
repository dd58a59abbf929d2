"""Callers that send uploads, whose every byte servers verify."""

from collections import Counter
from collections.abc import Mapping, Sequence
from random import Random
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from gentianwharf.platform.standin import UNKEYED, UPLOAD_HEADER, UPLOADS, BodyReport

from ._answers import read_answer
from ._checks import SentRequest
from ._uploads import UploadPlan, UploadProducer, draw_upload

UPLOADS_PER_S = 12.0
DEADLINE_MS = 2_500
TIMEOUT_S = 4.0
MAX_CONNECTIONS = 20


@final
class UploadingCallers:
    """Sends uploads at a steady mean rate, each through a randomly chosen host."""

    def __init__(
        self, *, reactor: Any, rng: Random, addresses: Mapping[str, str]
    ) -> None:
        self.requests: list[SentRequest] = []
        self.has_ended: dict[str, bool] = {}
        """Whether the caller has sent the end of the body, by request id."""
        self.is_sending = True
        self._reactor = reactor
        self._rng = rng
        self._addresses = addresses
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = MAX_CONNECTIONS
        pool.retryAutomatically = False
        self._agent = Agent(reactor, pool=pool, connectTimeout=1)

    def start(self) -> None:
        """Send an upload now, and more at random intervals."""
        if not self.is_sending:
            return
        request = SentRequest(
            id=f"body-{len(self.requests)}",
            service=UNKEYED,
            host=self._rng.choice(sorted(self._addresses)),
            may_repeat=False,
            sent_s=self._reactor.seconds(),
        )
        self.requests.append(request)
        self.has_ended[request.id] = False
        sending = Deferred.fromCoroutine(self._send(request, draw_upload(self._rng)))
        sending.addTimeout(TIMEOUT_S, self._reactor)
        sending.addBoth(lambda result: self._note_end(request, result))
        pause_s = self._rng.expovariate(UPLOADS_PER_S)
        self._reactor.callLater(pause_s, self.start)

    def _note_end(self, request: SentRequest, result: Any) -> None:
        if result is not None:
            request.error = result.type.__name__
        request.ended_s = self._reactor.seconds()

    async def _send(self, request: SentRequest, plan: UploadPlan) -> None:
        headers = Headers({"Host": [UPLOADS], "Attempt-Id": [request.id]})
        headers.setRawHeaders("Deadline-Ms", [str(DEADLINE_MS)])
        headers.setRawHeaders(UPLOAD_HEADER, [str(plan.body_bytes)])
        body = UploadProducer(
            reactor=self._reactor,
            request_id=request.id,
            plan=plan,
            on_end=lambda: self.has_ended.update({request.id: True}),
            is_answered=lambda: bool(request.status),
        )
        url = f"http://{self._addresses[request.host]}/".encode()
        response = await self._agent.request(b"POST", url, headers, body)
        request.status = response.code
        signatures = response.headers.getRawHeaders("response-signature")
        request.signature = signatures[0] if signatures else None
        request.body = await read_answer(response)
        request.is_complete = True


def describe_uploads(
    requests: Sequence[SentRequest], reports: Sequence[BodyReport]
) -> str:
    """Return a summary of the uploads, their answers and the received bodies."""
    answers = Counter(request.status for request in requests)
    ended = sum(report.has_ended for report in reports)
    return (
        f"{len(requests)} uploads with answers {dict(sorted(answers.items()))},"
        f" {ended} of {len(reports)} bodies whole"
    )
