"""From a key to its shard."""

from ._shard import shard_of

__all__ = ["shard_of"]
