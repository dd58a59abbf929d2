"""Passing rules and tables on: hosts over pynng, versions down a tree."""

from ._system import Peers, SpreadCounts, SpreadState, SpreadSystem

__all__ = ["Peers", "SpreadCounts", "SpreadState", "SpreadSystem"]
