"""One JSON object a line, from logbook and from Twisted's own log."""

from collections.abc import Mapping
from datetime import UTC, datetime
from functools import cache
from typing import Any, Protocol, final

import logbook
import msgspec
from twisted.logger import (
    ILogObserver,
    LogEvent,
    LogLevel,
    formatEvent,
    globalLogBeginner,
    globalLogPublisher,
)
from zope.interface import implementer

log = logbook.Logger("gentianwharf")

# Callers' keys and bodies are personal data: families, members, dues. They reach a
# log only when the operator asks for it in the settings.
PRIVATE_FIELDS = frozenset({"key", "body", "headers"})
WITHHELD = "withheld"

_LEVEL_OF_TWISTED = {
    LogLevel.debug: "DEBUG",
    LogLevel.info: "INFO",
    LogLevel.warn: "WARNING",
    LogLevel.error: "ERROR",
    LogLevel.critical: "CRITICAL",
}


class LineStream(Protocol):
    """What lines are written to."""

    def write(self, text: str, /) -> int:
        """Take one line."""

    def flush(self) -> None:
        """Hand it on."""


@final
class JsonLinesHandler(logbook.Handler):
    """Writes each record as a JSON object on a line of its own.

    Fields: ``at`` (UTC), ``level``, ``logger``, ``message``, what the call gave in
    ``extra``, and for an exception ``error``, ``step`` and ``peer``, with ``errors``
    for the members of an exception group.
    """

    def __init__(self, *, stream: LineStream, level: str, private_fields: bool) -> None:
        super().__init__(level=level, bubble=False)
        self._stream = stream
        self._private_fields = private_fields

    def emit(self, record: Any) -> None:
        """Write one record."""
        line = {
            "at": _utc_now(),
            "level": record.level_name,
            "logger": record.channel,
            "message": record.message,
        }
        line |= self._allowed(record.extra)
        line |= self._allowed(record.kwargs)
        if record.exc_info and record.exc_info is not True:
            line |= describe_error(record.exc_info[1])
        self.write(line)

    def write(self, line: Mapping[str, Any]) -> None:
        """Write one object; what JSON doesn't know goes out as its text."""
        text = msgspec.json.encode(line, enc_hook=str).decode()
        self._stream.write(text + "\n")
        self._stream.flush()

    def _allowed(self, fields: Mapping[str, Any]) -> dict[str, Any]:
        if self._private_fields:
            return dict(fields)
        return {
            name: WITHHELD if name in PRIVATE_FIELDS else value
            for name, value in fields.items()
        }


def describe_error(error: BaseException) -> dict[str, Any]:
    """Return the fields of an error, with those of a group's members.

    >>> from gentianwharf.errors import RefusedError
    >>> describe_error(RefusedError("full", step="admit", peer="10.0.0.1:80"))
    {'error': 'RefusedError: full', 'step': 'admit', 'peer': '10.0.0.1:80'}
    """
    text = getattr(error, "message", None) or str(error)
    fields: dict[str, Any] = {"error": f"{type(error).__name__}: {text}"}
    for name in ("step", "peer"):
        if hasattr(error, name):
            fields[name] = getattr(error, name)
    if isinstance(error, BaseExceptionGroup):
        fields["errors"] = [describe_error(member) for member in error.exceptions]
    return fields


def _utc_now() -> str:
    return datetime.now(UTC).isoformat(timespec="milliseconds")


@final
@implementer(ILogObserver)
class LogSetup:
    """The handlers that ``configure`` installed; ``close`` takes them out again."""

    def __init__(self, *, handler: JsonLinesHandler, level: str) -> None:
        self._handler = handler
        # Twisted tells at INFO of every connection made and lost: with grants renewed
        # ten times a second, that would be most of the log.
        self._least = max(logbook.lookup_level(level), logbook.WARNING)

    def __call__(self, event: LogEvent) -> None:
        """Write an event of Twisted's own log."""
        name = _LEVEL_OF_TWISTED.get(event.get("log_level", LogLevel.info), "INFO")
        if logbook.lookup_level(name) < self._least:
            return
        line = {
            "at": _utc_now(),
            "level": name,
            "logger": event.get("log_namespace", "twisted"),
            "message": formatEvent(event),
        }
        failure = event.get("log_failure")
        if failure is not None:
            line |= describe_error(failure.value)
        self._handler.write(line)

    def close(self) -> None:
        """Stop writing to the stream."""
        globalLogPublisher.removeObserver(self)
        self._handler.pop_application()


def configure(
    *, stream: LineStream, level: str = "INFO", private_fields: bool = False
) -> LogSetup:
    """Send logbook's and Twisted's logs to ``stream``; call it once, at the start.

    ``private_fields`` lets callers' keys, bodies and headers into the log.
    """
    handler = JsonLinesHandler(
        stream=stream, level=level, private_fields=private_fields
    )
    handler.push_application()
    setup = LogSetup(handler=handler, level=level)
    _end_start_buffer()
    globalLogPublisher.addObserver(setup)
    return setup


@cache
def _end_start_buffer() -> None:
    """Stop Twisted from holding back events; a second call would log a warning."""
    globalLogBeginner.beginLoggingTo([], discardBuffer=True, redirectStandardIO=False)
