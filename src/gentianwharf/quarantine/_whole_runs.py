"""Requests that servers have just run wholly."""

from typing import final

VALID_S = 2.0
MAX_NAMES = 1_024


@final
class WholeRuns:
    """Names of requests, and when a server last ran each of them wholly.

    Load pattern: callers behind one address send the same request often. Copies of it
    are on most servers, and on each of those that are lost together.

    >>> runs = WholeRuns()
    >>> runs.note(b"name", 10.0)
    >>> [runs.clears(b"name", ended_s) for ended_s in (5.0, 11.0, 15.0)]
    [True, True, False]
    """

    def __init__(self) -> None:
        self._run_s: dict[bytes, float] = {}

    def __len__(self) -> int:
        return len(self._run_s)

    def note(self, digest: bytes, now_s: float) -> None:
        """Record a whole run."""
        self._run_s.pop(digest, None)
        self._run_s[digest] = now_s
        if len(self._run_s) > MAX_NAMES:
            del self._run_s[next(iter(self._run_s))]

    def clears(self, digest: bytes, ended_s: float) -> bool:
        """Whether a whole run clears the request of a server's end at ``ended_s``.

        The run was after the end or at most ``VALID_S`` before it. The time at which
        the end was reported does not matter.
        """
        run_s = self._run_s.get(digest)
        return run_s is not None and ended_s - run_s <= VALID_S
