"""Direct links to other hosts, for messages that may not depend on the leader."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from gentianwharf.links import NngLink

from ._membership import Dial

IDLE_S = 15.0
"""A link that was not used for this long is closed."""

CHECK_INTERVAL_S = 5.0


@final
@dataclass(kw_only=True, slots=True)
class _OpenLink:
    link: NngLink
    used_s: float


@final
class HostLinks:
    """Links by address, opened with the first message to it."""

    def __init__(self, *, dial: Dial, now_s: Callable[[], float]) -> None:
        self._dial = dial
        self._now_s = now_s
        self._open: dict[str, _OpenLink] = {}
        self._checked_s = now_s()

    def __len__(self) -> int:
        return len(self._open)

    def send(self, address: str, data: bytes) -> bool:
        """Queue a message; return False if the queue is full."""
        now_s = self._now_s()
        used = self._open.get(address)
        if used is None:
            used = _OpenLink(link=self._dial(address), used_s=now_s)
            self._open[address] = used
        used.used_s = now_s
        return used.link.send(data)

    def renew(self, address: str) -> None:
        """Open the link to an address again with the next message."""
        used = self._open.pop(address, None)
        if used is not None:
            used.link.close()

    def tick(self) -> None:
        """Close idle links."""
        now_s = self._now_s()
        if now_s < self._checked_s + CHECK_INTERVAL_S:
            return
        self._checked_s = now_s
        for address, used in list(self._open.items()):
            if now_s > used.used_s + IDLE_S:
                used.link.close()
                del self._open[address]

    def close(self) -> None:
        """Close every link."""
        for used in self._open.values():
            used.link.close()
        self._open.clear()
