"""Exceptions of this package, with the failed operation and the peer."""

from typing import final

__all__ = [
    "ConflictError",
    "GentianwharfError",
    "InputError",
    "OutcomeUnknownError",
    "PeerMismatchError",
    "PeerUnavailableError",
    "RefusedError",
]


class GentianwharfError(Exception):
    """Base class of the errors that this package raises.

    ``step`` is the operation that failed and ``peer`` its counterpart (an ``ip:port``,
    a file, a store key). Both are fields of log lines, so that logs can be searched by
    either.
    """

    def __init__(self, message: str, *, step: str, peer: str) -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        return f"{self.message} (step {self.step}, peer {self.peer})"


@final
class InputError(GentianwharfError):
    """Input from a person or a peer is invalid; the message says where and why."""


@final
class PeerUnavailableError(GentianwharfError):
    """The peer did not receive the request, which therefore had no effect."""


@final
class OutcomeUnknownError(GentianwharfError):
    """The request may have taken effect: its answer was lost or late."""


@final
class ConflictError(GentianwharfError):
    """Another writer changed the value first; the request had no effect."""


@final
class RefusedError(GentianwharfError):
    """The peer rejected a valid request, which had no effect."""


@final
class PeerMismatchError(GentianwharfError):
    """The answer does not belong to the request."""
