"""Lets suspected requests run one at a time."""

from typing import final

MAX_TURNS = 1_000


@final
class TrialDesk:
    """The turns that one host gives to all hosts, by request.

    Load pattern: callers repeat a request at once, each time at another host, or send
    many copies of it. Each copy that runs may end one more server.

    >>> desk = TrialDesk()
    >>> desk.take(b"name", holder="h1/1", until_s=12.0, now_s=10.0)
    True
    >>> desk.take(b"name", holder="h2/7", until_s=13.0, now_s=11.0)
    False
    >>> desk.give_back(b"name", holder="h1/1")
    >>> desk.take(b"name", holder="h2/7", until_s=13.0, now_s=11.0)
    True
    """

    def __init__(self) -> None:
        self._turns: dict[bytes, tuple[str, float]] = {}

    def take(self, digest: bytes, *, holder: str, until_s: float, now_s: float) -> bool:
        """Take the turn until ``until_s``; return whether it was free."""
        turn = self._turns.get(digest)
        if turn is not None and turn[0] != holder and turn[1] > now_s:
            return False
        if len(self._turns) >= MAX_TURNS:
            self._drop_ended(now_s)
        self._turns[digest] = (holder, until_s)
        return True

    def give_back(self, digest: bytes, *, holder: str) -> None:
        """End a turn; that of another holder is left alone."""
        turn = self._turns.get(digest)
        if turn is not None and turn[0] == holder:
            del self._turns[digest]

    def _drop_ended(self, now_s: float) -> None:
        self._turns = {
            digest: turn for digest, turn in self._turns.items() if turn[1] > now_s
        }
