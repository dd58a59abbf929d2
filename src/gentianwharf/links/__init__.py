"""One-way links between hosts over pynng, in the Twisted event loop."""

from ._nng import NngLink, NngListener, dial

__all__ = ["NngLink", "NngListener", "dial"]
