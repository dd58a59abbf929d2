"""Passing rules and tables on: hosts over pynng, versions down a tree."""

from ._frames import Channel
from ._links import Link, LinkStats
from ._mesh import MeshStats, PeerChannel, PeerMesh
from ._queries import MOST_ANSWER_BYTES, PeerQueries
from ._state import SpreadCounts, SpreadState
from ._system import Peers, SpreadSystem

__all__ = [
    "Channel",
    "MOST_ANSWER_BYTES",
    "Link",
    "LinkStats",
    "MeshStats",
    "PeerChannel",
    "PeerMesh",
    "PeerQueries",
    "Peers",
    "SpreadCounts",
    "SpreadState",
    "SpreadSystem",
]
