"""Checks the status lines of responses.

Twisted takes what ``int`` takes for a status, such as ``000``, ``+421`` or ``4_21``. A
response with an invalid status says nothing about its request (RFC 9110, section 15).
"""

import re
from typing import Any, final

from twisted.web._newclient import HTTP11ClientProtocol, HTTPClientParser

__all__ = ["InvalidStatusError", "check_statuses", "error_text", "invalid_status"]

VALID_STATUS = re.compile(rb"[1-5][0-9]{2}")

MAX_QUOTED_BYTES = 20


@final
class InvalidStatusError(Exception):
    """The status line of a response has no valid status."""


@final
class _CheckingParser(HTTPClientParser):
    """Accepts valid statuses only, also those of informational responses."""

    def statusReceived(self, status: bytes) -> None:  # noqa: N802
        """Parse a status line; raises ``InvalidStatusError``."""
        _, _, rest = status.partition(b" ")
        code = rest.partition(b" ")[0]
        if VALID_STATUS.fullmatch(code) is None:
            raise InvalidStatusError(
                "expected three digits from 100 to 599, got"
                f" {code[:MAX_QUOTED_BYTES].decode('latin-1')!r}; check what answers"
                " at this address"
            )
        super().statusReceived(status)


def check_statuses(protocol: HTTP11ClientProtocol) -> None:
    """Fail the current request of ``protocol`` if its response has no valid status.

    To be called after each request, before data is parsed.
    """
    parser: Any = protocol._parser
    if parser is not None:
        # Twisted creates the parser itself, and has no setting for its class.
        parser.__class__ = _CheckingParser


def invalid_status(error: BaseException) -> InvalidStatusError | None:
    """Return the invalid status that a request failed with, None if there is none."""
    if isinstance(error, InvalidStatusError):
        return error
    for reason in getattr(error, "reasons", ()):
        found = invalid_status(reason.value)
        if found is not None:
            return found
    return None


def error_text(error: Exception) -> str:
    """Return what a request failed with: an invalid status, or the error's type."""
    found = invalid_status(error)
    return f"an invalid status ({found})" if found else type(error).__name__
