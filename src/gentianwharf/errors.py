"""Errors that say at which step and with which peer they arose."""

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
    """Base of every error that this package raises on purpose.

    ``step`` names the operation that failed, ``peer`` the other side of it (an
    ``ip:port``, a file, a store key), so that a log line can be searched by either.
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
    """Something that a person or a peer wrote is wrong; says where and what to do."""


@final
class PeerUnavailableError(GentianwharfError):
    """The peer did not get the request: nothing took effect there."""


@final
class OutcomeUnknownError(GentianwharfError):
    """The request may have taken effect; its answer was lost or came too late."""


@final
class ConflictError(GentianwharfError):
    """Somebody else changed the value first: nothing took effect."""


@final
class RefusedError(GentianwharfError):
    """The peer understood the request and said no: nothing took effect."""


@final
class PeerMismatchError(GentianwharfError):
    """An answer does not belong to the request it came for."""
