"""A bare klein + treq relay without decisions, the baseline for the whole path.

``python -m bench.path_bare PORT SERVER_PORT...`` relays to the servers round robin.
"""

import sys
from itertools import cycle
from typing import Any, cast

import treq
from klein import Klein
from twisted.internet import reactor as default_reactor
from twisted.web.client import HTTPConnectionPool
from twisted.web.iweb import IRequest
from twisted.web.server import Site

app = Klein()
reactor: Any = default_reactor
pool = HTTPConnectionPool(reactor, persistent=True)
servers = cycle(sys.argv[2:])


@app.route("/", branch=True)
async def relay(request: IRequest) -> bytes:
    """Send the request to the next server and return its response."""
    http = cast(Any, request)
    url = f"http://127.0.0.1:{next(servers)}{http.uri.decode()}"
    response = await treq.request(http.method.decode(), url, pool=pool)
    http.setResponseCode(response.code)
    return await response.content()


if __name__ == "__main__":
    reactor.listenTCP(int(sys.argv[1]), Site(app.resource()), interface="127.0.0.1")
    reactor.run()
