"""Mapping of keys to shards."""

from ._shard import shard_of

__all__ = ["shard_of"]
