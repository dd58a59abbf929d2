"""Replication of rules and tables between hosts over pynng connections."""

from ._frames import Channel
from ._links import Link, LinkStats
from ._mesh import MeshStats, PeerChannel, PeerMesh
from ._queries import MAX_ANSWER_BYTES, PeerQueries
from ._state import SpreadCounts, SpreadState
from ._system import PeerTransport, SpreadSystem

__all__ = [
    "Channel",
    "MAX_ANSWER_BYTES",
    "Link",
    "LinkStats",
    "MeshStats",
    "PeerChannel",
    "PeerMesh",
    "PeerQueries",
    "PeerTransport",
    "SpreadCounts",
    "SpreadState",
    "SpreadSystem",
]
