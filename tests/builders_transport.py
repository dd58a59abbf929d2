"""Transports without sockets, for tests."""

from typing import final

from twisted.internet.testing import StringTransport


@final
class ProbedTransport(StringTransport):
    """A transport whose socket accepts every option."""

    def getHandle(self) -> "ProbedTransport":  # noqa: N802
        """Return the object that stands in for the socket."""
        return self

    def setsockopt(self, *option: int) -> None:
        """Ignore an option."""
