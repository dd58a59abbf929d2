"""Connections to backend servers through another host.

A host that has lost its links to the servers keeps its callers, its rules and its
shares of what all hosts may send. Only the bytes of its requests take another way:
another host opens the connection and copies what passes, without reading it.
"""

from ._client import Tunnel, TunnelClient
from ._messages import TUNNEL_PORT_OFFSET, SharedNotice, tunnel_address
from ._peer import TunnelHost
from ._server import TunnelServer

__all__ = [
    "TUNNEL_PORT_OFFSET",
    "SharedNotice",
    "Tunnel",
    "TunnelClient",
    "TunnelHost",
    "TunnelServer",
    "tunnel_address",
]
