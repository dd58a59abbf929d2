"""The hash that divides the key space of a keyed service into shards."""

import xxhash


def shard_of(key: str, shards: int) -> int:
    """Return the shard of ``key``, from 0 to ``shards - 1``.

    The result is the same on every host and in every release: it must never change
    for a service that has acknowledged assignments. Python's ``hash`` can't be used,
    since it differs from process to process.

    >>> shard_of("faculte-des-sciences", 1024)
    72
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % shards
