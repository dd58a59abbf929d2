"""The shards that a stand-in server holds according to its grants and releases."""

from array import array
from typing import final

import msgspec

from .._config import SHARDS


@final
class Order(msgspec.Struct, rename={"first": "from", "last": "target"}):
    """A grant or a release of a range of shards."""

    first: int
    last: int
    fence: int
    hold_time: str = "0ms"
    handover: str | None = None


@final
class HeldShards:
    """Stores the highest fencing token of each shard, and until when it is held.

    >>> shards = HeldShards()
    >>> shards.grant(0, 9, token=5, until_s=2.0), shards.is_held(3, 1.0)
    (True, True)
    >>> shards.release(2, 4, token=6)
    >>> shards.is_held(3, 1.0), shards.is_held(5, 1.0), shards.is_held(5, 2.0)
    (False, True, False)
    >>> shards.grant(0, 9, token=5, until_s=4.0)
    False
    """

    def __init__(self) -> None:
        self._tokens = array("q", [0]) * SHARDS
        self._until_s = array("d", [0.0]) * SHARDS

    def grant(self, first: int, last: int, *, token: int, until_s: float) -> bool:
        """Hold a range of shards until a time.

        Return False and change nothing if a higher token was seen for one of them. A
        grant that is carried out late does not shorten a later one of the same token.
        """
        if max(self._tokens[first : last + 1]) > token:
            return False
        for shard in range(first, last + 1):
            if self._tokens[shard] == token:
                self._until_s[shard] = max(self._until_s[shard], until_s)
            else:
                self._tokens[shard] = token
                self._until_s[shard] = until_s
        return True

    def release(self, first: int, last: int, *, token: int) -> None:
        """Release a range of shards, and refuse lower tokens for them from now on."""
        for shard in range(first, last + 1):
            self._tokens[shard] = max(self._tokens[shard], token)
            self._until_s[shard] = 0.0

    def held_until_s(self, shard: int) -> float:
        """Return the time at which the grant of a shard expires."""
        return self._until_s[shard]

    def is_held(self, shard: int, now_s: float) -> bool:
        """Return whether a request for a shard may run."""
        return now_s < self._until_s[shard]
