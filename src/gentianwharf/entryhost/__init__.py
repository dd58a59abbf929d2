"""One entry host on the users' platform: the parts and how they hang together."""

from ._host import EntryHost
from ._main import main

__all__ = ["EntryHost", "main"]
