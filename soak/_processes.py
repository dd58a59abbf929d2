"""Programs under test, which are started and signalled by process id."""

import json
import os
import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, final

from twisted.internet.protocol import ProcessProtocol

Line = Mapping[str, Any]


@final
class Program(ProcessProtocol):
    """One process; ``on_line`` is called with each JSON line that it writes."""

    def __init__(
        self,
        *,
        name: str,
        log: Path,
        on_line: Callable[[Line], None],
        on_end: Callable[["Program"], None],
    ) -> None:
        self.name = name
        self.is_running = False
        self.exit_status: str | None = None
        self.is_end_requested = False
        self._log = log.open("ab")
        self._on_line = on_line
        self._on_end = on_end
        self._partial_line = b""

    def start(
        self, reactor: Any, arguments: Sequence[str], env: Mapping[str, str]
    ) -> None:
        """Start the program with this Python interpreter."""
        command = [sys.executable, *arguments]
        reactor.spawnProcess(self, sys.executable, command, {**os.environ, **env})
        self.is_running = True

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the program is running."""
        if not self.is_running or self.transport is None or self.transport.pid is None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.is_end_requested = True
        os.kill(self.transport.pid, number)

    def write_line(self, line: bytes) -> None:
        """Write a line to the standard input of the program."""
        if self.is_running and self.transport is not None:
            self.transport.write(line + b"\n")

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        """Write the output to the log file, and parse its JSON lines."""
        self._log.write(data)
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            if line.startswith(b"{"):
                self._on_line(json.loads(line))

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        """Write standard error to the log file."""
        self._log.write(data)

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        """Record the exit status, and close the log file."""
        self.is_running = False
        error = reason.value
        self.exit_status = (
            f"signal {error.signal}" if error.signal else f"code {error.exitCode}"
        )
        self._log.close()
        self._on_end(self)
