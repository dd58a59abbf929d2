"""Processes of other hosts, told apart by the random number drawn at each start."""

from collections.abc import Container
from dataclasses import dataclass
from enum import Enum, auto
from typing import final


class Sender(Enum):
    """How the process that sent a message relates to those that sent earlier ones."""

    KNOWN = auto()
    NEW = auto()
    RESTARTED = auto()
    OUTDATED = auto()


@final
@dataclass(kw_only=True, slots=True)
class _Process:
    incarnation: int
    replaced: int | None = None


@final
class Incarnations:
    """The last process of each host from which a message has come.

    >>> seen = Incarnations()
    >>> [seen.note("h1", number).name for number in (7, 7, 9, 7)]
    ['NEW', 'KNOWN', 'RESTARTED', 'OUTDATED']
    """

    def __init__(self) -> None:
        self._processes: dict[str, _Process] = {}

    def note(self, host: str, incarnation: int) -> Sender:
        """Record the sender of a message.

        A delayed message of a process that was replaced is outdated. It would otherwise
        look like another restart.
        """
        process = self._processes.get(host)
        if process is None:
            self._processes[host] = _Process(incarnation=incarnation)
            return Sender.NEW
        if incarnation == process.incarnation:
            return Sender.KNOWN
        if incarnation == process.replaced:
            return Sender.OUTDATED
        process.incarnation, process.replaced = incarnation, process.incarnation
        return Sender.RESTARTED

    def of(self, host: str) -> int:
        """Return the incarnation of a host's last process, 0 if it is unknown."""
        process = self._processes.get(host)
        return process.incarnation if process is not None else 0

    def retain(self, hosts: Container[str]) -> None:
        """Forget all other hosts."""
        for host in [name for name in self._processes if name not in hosts]:
            del self._processes[host]
