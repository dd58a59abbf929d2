"""Whether a backend server executed a request. Imports nothing of this package."""

from enum import StrEnum

__all__ = ["RunStatus"]


class RunStatus(StrEnum):
    """Whether a backend server has executed a request.

    ``NOT_RUN`` is reported only if no byte was sent to a server or the server itself
    reported it; ``UNKNOWN`` if a server may have received a byte.
    """

    RUN = "run"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
