"""Lets suspected requests run one at a time."""

from typing import final

MAX_PERMITS = 1_000


@final
class PermitTable:
    """The permits that one host gives to all hosts, by request.

    Load pattern: callers repeat a request at once, each time at another host, or send
    many copies of it. Each copy that runs may end one more server.

    >>> granter = PermitTable()
    >>> granter.take(b"name", holder="h1/1", until_s=12.0, now_s=10.0)
    True
    >>> granter.take(b"name", holder="h2/7", until_s=13.0, now_s=11.0)
    False
    >>> granter.return_permit(b"name", holder="h1/1")
    >>> granter.take(b"name", holder="h2/7", until_s=13.0, now_s=11.0)
    True
    """

    def __init__(self) -> None:
        self._permits: dict[bytes, tuple[str, float]] = {}

    def take(self, digest: bytes, *, holder: str, until_s: float, now_s: float) -> bool:
        """Take the permit until ``until_s``; return whether it was free."""
        permit = self._permits.get(digest)
        if permit is not None and permit[0] != holder and permit[1] > now_s:
            return False
        if len(self._permits) >= MAX_PERMITS:
            self._drop_ended(now_s)
        self._permits[digest] = (holder, until_s)
        return True

    def return_permit(self, digest: bytes, *, holder: str) -> None:
        """End a permit; that of another holder is left alone."""
        permit = self._permits.get(digest)
        if permit is not None and permit[0] == holder:
            del self._permits[digest]

    def _drop_ended(self, now_s: float) -> None:
        self._permits = {
            digest: permit
            for digest, permit in self._permits.items()
            if permit[1] > now_s
        }
