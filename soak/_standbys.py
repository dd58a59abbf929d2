"""Processes that wait to become the next life of a server."""

import signal
from collections.abc import Callable
from typing import final

from ._processes import Program


@final
class Standbys:
    """Starts such processes, since a server loads its modules for about a second.

    ``spawn`` starts one, which becomes the named server once it reads a line.
    """

    def __init__(self, *, spawn: Callable[[str], Program]) -> None:
        self._spawn = spawn
        self._waiting: dict[str, Program] = {}

    def prepare(self, name: str) -> None:
        """Start a process for the next life of a server, unless there is one."""
        if name not in self._waiting:
            self._waiting[name] = self._spawn(name)

    def take(self, name: str) -> Program | None:
        """Let the process for a server begin, if there is one."""
        program = self._waiting.pop(name, None)
        if program is not None:
            program.write_line(b"")
        return program

    def stop(self) -> None:
        """Kill all that wait."""
        for program in self._waiting.values():
            program.send(signal.SIGKILL)
