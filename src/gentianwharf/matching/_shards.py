"""The shard that a rule finds a key in."""

from gentianwharf.keys import shard_of

from ._rule import KeySource

MAX_KEY_CHARACTERS = 512
"""Keys travel in a header; servers commonly take 8 KiB for all headers together."""


def find_shard(key_source: KeySource | None, key: str, shards: int) -> int | None:
    """Return the shard of ``key`` among ``shards``; None for a number that is none.

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
        # No request's key is so long. Python refuses to read thousands of digits: one
        # rule for such a key would keep its whole list from being put in force.
        return None
    shard = int(key)
    return shard if shard < shards else None


def is_in_range(first_shard: int, shard: int | None, end_shard: int) -> bool:
    """Say whether there is a shard and it stands from the first up to the end.

    >>> is_in_range(0, 7, 8), is_in_range(0, 8, 8), is_in_range(0, None, 8)
    (True, False, False)
    """
    return shard is not None and first_shard <= shard < end_shard
