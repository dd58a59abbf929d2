"""Passing rules and tables on: hosts over pynng, versions down a tree."""

from ._frames import Channel
from ._links import Link, LinkStats
from ._mesh import MeshStats, PeerChannel, PeerMesh
from ._state import SpreadCounts, SpreadState
from ._system import Peers, SpreadSystem

__all__ = [
    "Channel",
    "Link",
    "LinkStats",
    "MeshStats",
    "PeerChannel",
    "PeerMesh",
    "Peers",
    "SpreadCounts",
    "SpreadState",
    "SpreadSystem",
]
