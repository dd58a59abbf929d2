"""JSON lines from the records of logbook and the events of Twisted's log."""

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

# Callers' keys and bodies hold personal data, such as families, members and dues. They
# are logged only if the operator enables it in the settings.
PRIVATE_FIELDS = frozenset({"key", "body", "headers"})
WITHHELD = "withheld"

_LEVEL_NAMES = {
    LogLevel.debug: "DEBUG",
    LogLevel.info: "INFO",
    LogLevel.warn: "WARNING",
    LogLevel.error: "ERROR",
    LogLevel.critical: "CRITICAL",
}


class LineStream(Protocol):
    """The part of a text stream that the handler uses."""

    def write(self, text: str, /) -> int:
        """Write one line, including its newline, and return its length."""

    def flush(self) -> None:
        """Write out what is buffered."""


@final
class JsonLinesHandler(logbook.Handler):
    """Writes each record as a JSON object on a line of its own.

    The fields are ``at`` (UTC), ``level``, ``logger``, ``message``, those that the
    call passed in ``extra``, and for an exception ``error``, ``step`` and ``peer``,
    with ``errors`` for the members of an exception group.
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
        line |= self._redacted(record.extra)
        line |= self._redacted(record.kwargs)
        if record.exc_info and record.exc_info is not True:
            line |= describe_error(record.exc_info[1])
        self.write(line)

    def write(self, line: Mapping[str, Any]) -> None:
        """Write one object; values without a JSON type are converted with ``str``."""
        text = msgspec.json.encode(line, enc_hook=str).decode()
        self._stream.write(text + "\n")
        self._stream.flush()

    def _redacted(self, fields: Mapping[str, Any]) -> dict[str, Any]:
        if self._private_fields:
            return dict(fields)
        return {
            name: WITHHELD if name in PRIVATE_FIELDS else value
            for name, value in fields.items()
        }


def describe_error(error: BaseException) -> dict[str, Any]:
    """Return the log fields of an error, and of each member of an exception group.

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
    """The handlers that ``configure`` installed; ``close`` removes them."""

    def __init__(self, *, handler: JsonLinesHandler, level: str) -> None:
        self._handler = handler
        # Twisted logs every opened and closed connection at INFO. Grants are renewed
        # ten times a second, so these lines would make up most of the log.
        self._min_level = max(logbook.lookup_level(level), logbook.WARNING)

    def __call__(self, event: LogEvent) -> None:
        """Write an event of Twisted's own log."""
        name = _LEVEL_NAMES.get(event.get("log_level", LogLevel.info), "INFO")
        if logbook.lookup_level(name) < self._min_level:
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
    """Send logbook's and Twisted's logs to ``stream``; call it once, at startup.

    ``private_fields`` includes callers' keys, bodies and headers in the log.
    """
    handler = JsonLinesHandler(
        stream=stream, level=level, private_fields=private_fields
    )
    handler.push_application()
    setup = LogSetup(handler=handler, level=level)
    _discard_startup_buffer()
    globalLogPublisher.addObserver(setup)
    return setup


@cache
def _discard_startup_buffer() -> None:
    """Stop Twisted from buffering events; a second call would log a warning."""
    globalLogBeginner.beginLoggingTo([], discardBuffer=True, redirectStandardIO=False)
