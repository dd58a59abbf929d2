"""What is known of a request's run; a module of its own, which imports nothing."""

from enum import StrEnum

__all__ = ["RunStatus"]


class RunStatus(StrEnum):
    """What is known of a request's run at its backend server.

    ``NOT_RUN`` is said only when no byte was handed to a server, or when the server
    itself said so; ``UNKNOWN`` whenever a byte may have reached one.
    """

    RUN = "run"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
