"""One-way links between hosts over pynng, inside the Twisted loop."""

from ._nng import NngLink, NngListener, dial

__all__ = ["NngLink", "NngListener", "dial"]
