"""The shard of a key, as a rule determines it."""

from gentianwharf.keys import shard_of

from ._rule import KeySource

MAX_KEY_CHARACTERS = 512
"""Keys are sent in a header, and servers commonly accept 8 KiB of headers in all."""


def find_shard(key_source: KeySource | None, key: str, shards: int) -> int | None:
    """Return the shard of ``key``, a number from 0 to ``shards - 1``.

    If the key itself is a shard number (``KeySource.is_shard``), return None for a key
    that is not a number or is out of range.

    >>> find_shard(None, "faculte-des-sciences", 1024)
    72
    >>> from ._rule import DecodedKeySource, KeyPlace
    >>> numbered = DecodedKeySource(
    ...     place=KeyPlace.HEADER, name="x-shard", is_shard=True)
    >>> find_shard(numbered, "72", 1024), find_shard(numbered, "1024", 1024)
    (72, None)
    """
    if key_source is None or not key_source.is_shard:
        return shard_of(key, shards)
    if not (key.isascii() and key.isdigit()):
        return None
    if len(key) > MAX_KEY_CHARACTERS:
        # No request has such a long key. int() raises ValueError for thousands of
        # digits, so one rule for such a key would make its whole document fail to load.
        return None
    shard = int(key)
    return shard if shard < shards else None


def is_in_range(first_shard: int, shard: int | None, end_shard: int) -> bool:
    """Return whether ``shard`` is in ``range(first_shard, end_shard)``; None is not.

    >>> is_in_range(0, 7, 8), is_in_range(0, 8, 8), is_in_range(0, None, 8)
    (True, False, False)
    """
    return shard is not None and first_shard <= shard < end_shard
