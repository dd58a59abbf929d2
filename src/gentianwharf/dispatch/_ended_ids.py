"""The ids of requests that ended, to which repeated messages may still refer."""

from collections import OrderedDict
from typing import final

MAX_IDS_PER_HOST = 256
"""More than a host sends within the time by which a message may be late."""


@final
class EndedIds:
    """A bounded number of ids for each host.

    >>> ended = EndedIds()
    >>> ended.add("host-1", 7)
    >>> ("host-1", 7) in ended, ("host-2", 7) in ended
    (True, False)
    """

    def __init__(self) -> None:
        self._ids: dict[str, OrderedDict[int, None]] = {}

    def __contains__(self, key: tuple[str, int]) -> bool:
        return key[1] in self._ids.get(key[0], ())

    def add(self, host: str, request_id: int) -> None:
        """Add an id; the host's oldest one is dropped if there are too many."""
        ids = self._ids.setdefault(host, OrderedDict())
        ids[request_id] = None
        if len(ids) > MAX_IDS_PER_HOST:
            ids.popitem(last=False)

    def drop_host(self, host: str) -> None:
        """Drop a host's ids; a restarted host uses them again."""
        self._ids.pop(host, None)

    def clear(self) -> None:
        """Drop all ids."""
        self._ids.clear()
