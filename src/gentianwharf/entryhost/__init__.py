"""An entry host on the users' platform: its components and how they are connected."""

from ._host import EntryHost
from ._main import main

__all__ = ["EntryHost", "main"]
