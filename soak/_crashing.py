"""A request that ends each server which runs it, and the check of its sends."""

from collections.abc import Iterable, Mapping, Sequence
from random import Random
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.web.client import Agent, readBody
from twisted.web.http_headers import Headers

from gentianwharf.http_agent import BytesBody
from gentianwharf.platform.standin import POSTINGS, UNKEYED

from ._checks import SentRequest
from ._disruptions import Disruptions

ENDS = "ends-its-server"
"""Part of the target that lets a server end; it is passed to the stand-ins."""

ID_PREFIX = "crashing-"
MAX_CRASHES = 3
MAX_LATE_SENDS = 3
CONTACT_S = 4.0
DEADLINE_MS = 2_500
TIMEOUT_S = 4.0
MEAN_PAUSE_S = 0.4


def is_crashing(request_id: str) -> bool:
    """Whether a request may end its server."""
    return request_id.startswith(ID_PREFIX)


@final
class CrashingCaller:
    """Sends the same request again and again, each time to a random host."""

    def __init__(
        self, *, reactor: Any, rng: Random, addresses: Mapping[str, str]
    ) -> None:
        self.requests: list[SentRequest] = []
        self.is_sending = True
        self._reactor = reactor
        self._rng = rng
        self._addresses = addresses
        self._agent = Agent(reactor, connectTimeout=1)

    def start(self) -> None:
        """Send a request now, and others after random pauses."""
        if not self.is_sending:
            return
        host = self._rng.choice(sorted(self._addresses))
        request = SentRequest(
            id=f"{ID_PREFIX}{len(self.requests)}",
            service=UNKEYED,
            host=host,
            may_repeat=False,
            sent_s=self._reactor.seconds(),
        )
        self.requests.append(request)
        sending = Deferred.fromCoroutine(self._send(request))
        sending.addTimeout(TIMEOUT_S, self._reactor).addErrback(lambda _: None)
        pause_s = self._rng.expovariate(1 / MEAN_PAUSE_S)
        self._reactor.callLater(pause_s, self.start)

    async def _send(self, request: SentRequest) -> None:
        headers = Headers({"Host": [POSTINGS], "Attempt-Id": [request.id]})
        headers.setRawHeaders("Deadline-Ms", [str(DEADLINE_MS)])
        url = f"http://{self._addresses[request.host]}/{ENDS}".encode()
        body = BytesBody(body=ENDS.encode())
        response = await self._agent.request(b"POST", url, headers, body)
        request.status = response.code
        await readBody(response)


def find_late_sends(
    requests: Sequence[SentRequest],
    arrivals: Iterable[Mapping[str, Any]],
    ends_s: Sequence[float],
    disruptions: Disruptions,
) -> list[str]:
    """Return a line if hosts in touch let such a request reach too many servers.

    ``ends_s`` has the times at which it ended a server, on the clock of arrivals.
    """
    if len(ends_s) < MAX_CRASHES:
        return []
    from_s = sorted(ends_s)[MAX_CRASHES - 1] + CONTACT_S
    sent = {request.id: request for request in requests}
    late = [
        arrival["request_id"]
        for arrival in arrivals
        if arrival["arrived_s"] > from_s
        and (request := sent.get(arrival["request_id"])) is not None
        and disruptions.is_undisrupted(
            request.host, arrival["arrived_s"] - 1.0, arrival["arrived_s"]
        )
    ]
    if len(late) <= MAX_LATE_SENDS:
        return []
    return [
        f"BUDGET: {len(late)} sends of a request that had ended {len(ends_s)} servers,"
        f" later than {CONTACT_S} s after the third: {late[:5]}"
    ]
