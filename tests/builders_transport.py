"""Transports without a socket."""

from typing import final

from twisted.internet.testing import StringTransport


@final
class ProbedTransport(StringTransport):
    """A transport whose socket takes every option."""

    def getHandle(self) -> "ProbedTransport":  # noqa: N802
        """Return its socket."""
        return self

    def setsockopt(self, *option: int) -> None:
        """Take an option."""
