"""A host that carries tunnels to one server, and does nothing else.

``python -m bench.tunnel_carrier PORT SERVER_PORT`` accepts tunnels on ``PORT``.
"""

import sys
from typing import Any

from twisted.internet import reactor as installed_reactor

from gentianwharf.topology import BackendServer
from gentianwharf.tunnels import TunnelServer

SECRET = "bench"
SERVER_ID = "s0"
reactor: Any = installed_reactor


def main() -> None:
    """Carry tunnels until the process is ended."""
    server = BackendServer(
        id=SERVER_ID,
        service="plain",
        domain="a",
        address=f"127.0.0.1:{sys.argv[2]}",
        slots=6,
        connections=100,
    )
    carrier = TunnelServer(
        server_by_id={SERVER_ID: server}.get,
        secret=lambda: SECRET,
        is_cut_off=lambda: False,
        reactor=reactor,
    )
    reactor.listenTCP(int(sys.argv[1]), carrier, interface="127.0.0.1")
    reactor.run()


if __name__ == "__main__":
    main()
