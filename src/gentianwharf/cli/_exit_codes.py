"""Exit codes of the command-line tool."""

from enum import IntEnum

from gentianwharf.errors import (
    ConflictError,
    GentianwharfError,
    OutcomeUnknownError,
    PeerUnavailableError,
)


class ExitCode(IntEnum):
    """Exit codes of every command.

    ``UNREACHABLE`` also stands for a change whose outcome is unknown; the message then
    says how to find out. ``INCOMPLETE`` is a change that took effect and is not in
    force on every host, or a report without the data of some hosts. ``FAULT`` is a
    fault of the tool itself, printed with a traceback; its value 70 is ``EX_SOFTWARE``
    (internal software error) of ``sysexits.h``.
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
