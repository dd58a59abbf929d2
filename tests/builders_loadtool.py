"""Builders of planned requests and responses, and a server that acts as a router."""

import sys
from collections import Counter
from itertools import count
from random import Random
from typing import Any

import msgspec
from twisted.internet import reactor as default_reactor
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from gentianwharf.loadtool import TUNIS, PlannedRequest, ReceivedResponse, plan

SERVICE_OF_PATH = {
    "calendrier": "calendrier",
    "inscription": "inscription",
    "documents": "documents",
}


def request(
    kind: int = 0, key: str = "faculte-1", due_s: float = 0.0
) -> PlannedRequest:
    """Return a request of the Tunis mix; kind 0 is keyed, kind 1 must run once."""
    return PlannedRequest(number=1, due_s=due_s, kind=TUNIS.kinds[kind], key=key)


def received(**changes: Any) -> ReceivedResponse:
    """Return a correct response to ``request()``; ``fields`` changes its JSON."""
    fields: dict[str, Any] = {
        "service": "calendrier",
        "server": "calendrier-3",
        "key": "faculte-1",
        "token": 5,
        "request_id": "id-1",
        "runs": 1,
    } | changes.pop("fields", {})
    response: dict[str, Any] = {
        "status": 200,
        "content_type": "application/json",
        "request_id": "id-1",
        "body": msgspec.json.encode(fields),
        "complete": True,
    }
    return ReceivedResponse(**(response | changes))


def planned(rate_per_s: float, duration_s: float) -> list[PlannedRequest]:
    """Return a plan of the Tunis mix with a fixed seed."""
    return list(
        plan(TUNIS, rate_per_s=rate_per_s, duration_s=duration_s, random=Random(1))
    )


class RouterResource(Resource):
    """Responds like a router in front of a stand-in server.

    With ``crossed`` all responses have the same request id.
    """

    isLeaf = True

    def __init__(self, *, crossed: bool) -> None:
        super().__init__()
        self._numbers = count()
        self._crossed = crossed
        self._runs: Counter[bytes] = Counter()

    def render(self, request: Request) -> bytes:
        """Respond to any method with the stand-in's JSON."""
        parts = request.path.decode().strip("/").split("/")
        number = 0 if self._crossed else next(self._numbers)
        request_id = f"id-{number}"
        idempotency_key = request.getHeader(b"idempotency-key") or b"%d" % number
        self._runs[idempotency_key] += 1
        request.setHeader(b"Content-Type", b"application/json")
        request.setHeader(b"Gentianwharf-Request-Id", request_id.encode())
        return msgspec.json.encode(
            {
                "service": SERVICE_OF_PATH[parts[0]],
                "server": f"{parts[0]}-{number % 2}",
                "key": parts[1],
                "token": 1,
                "request_id": request_id,
                "runs": self._runs[idempotency_key],
            }
        )


def main() -> None:
    """Serve on a free loopback port, print the port, and stop after a minute."""
    site = Site(RouterResource(crossed="crossed" in sys.argv))
    reactor: Any = default_reactor
    port = reactor.listenTCP(0, site, interface="127.0.0.1")
    print(port.getHost().port, flush=True)
    reactor.callLater(60, reactor.stop)
    reactor.run()


if __name__ == "__main__":
    main()
