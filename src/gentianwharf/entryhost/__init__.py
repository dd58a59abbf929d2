"""One entry host on the users' platform: the parts and how they hang together."""

from ._host import EntryHost

__all__ = ["EntryHost"]
