"""Serve the admin port of a fake daemon until standard input closes; print its port.

Tests that run the command-line tool as a process start ``python -m tests.serve_admin``.
"""

import sys
from typing import Any, cast

from twisted.internet import reactor as installed
from twisted.internet.protocol import Protocol
from twisted.internet.stdio import StandardIO

from tests.builders_admin import FakeDaemon, admin_app

reactor = cast(Any, installed)


class _StopOnInputClose(Protocol):
    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if reactor.running:
            reactor.stop()


def main() -> None:
    """Listen on a free loopback port until standard input closes."""
    port = reactor.listenTCP(0, admin_app(FakeDaemon()).site(), interface="127.0.0.1")
    StandardIO(_StopOnInputClose(), reactor=reactor)
    sys.stderr.write(f"{port.getHost().port}\n")
    sys.stderr.flush()
    reactor.run()


if __name__ == "__main__":
    main()
