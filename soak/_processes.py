"""Programs under test: started, signalled and ended by their process ids."""

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
    """One process; ``on_line`` is told of each JSON line that it writes."""

    def __init__(
        self, *, name: str, log: Path, on_line: Callable[[Line], None]
    ) -> None:
        self.name = name
        self.is_running = False
        self.exit_status: str | None = None
        self.was_asked_to_end = False
        self._log = log.open("ab")
        self._on_line = on_line
        self._rest = b""

    def start(
        self, reactor: Any, arguments: Sequence[str], env: Mapping[str, str]
    ) -> None:
        """Start it with this interpreter."""
        command = [sys.executable, *arguments]
        reactor.spawnProcess(self, sys.executable, command, {**os.environ, **env})
        self.is_running = True

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if it still runs."""
        if not self.is_running or self.transport is None or self.transport.pid is None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.was_asked_to_end = True
        os.kill(self.transport.pid, number)

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep the log, and read its lines."""
        self._log.write(data)
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            if line.startswith(b"{"):
                self._on_line(json.loads(line))

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep what it says of its faults."""
        self._log.write(data)

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        """Note how it ended."""
        self.is_running = False
        value = reason.value
        self.exit_status = (
            f"signal {value.signal}" if value.signal else f"code {value.exitCode}"
        )
        self._log.close()
