"""Exit codes of the operator's tool."""

from enum import IntEnum

from gentianwharf.errors import (
    ConflictError,
    GentianwharfError,
    OutcomeUnknownError,
    PeerUnavailableError,
)


class ExitCode(IntEnum):
    """What a script can tell from the exit code.

    ``UNREACHABLE`` also stands for a change whose outcome could not be learned; the
    message then says how to find out. ``INCOMPLETE`` is a change that took effect and
    is not in force on every host, or a read that lacks some. ``FAULT`` is a fault of
    the tool itself, with a trace; 70 is what ``sysexits.h`` calls an internal software
    error.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    INCOMPLETE = 5
    FAULT = 70


def exit_code_of(error: GentianwharfError) -> ExitCode:
    """Return the exit code for ``error``."""
    if isinstance(error, (PeerUnavailableError, OutcomeUnknownError)):
        return ExitCode.UNREACHABLE
    if isinstance(error, ConflictError):
        return ExitCode.CONFLICT
    return ExitCode.REFUSED
