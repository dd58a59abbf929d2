"""Logs: one JSON object a line, errors with step and peer."""

from ._bounded import BoundedWriter
from ._json_lines import JsonLinesHandler, LogSetup, configure, log
from ._request_history import (
    ContextEntry,
    LogLine,
    RequestHistory,
    read_log,
    request_history,
)

__all__ = [
    "ContextEntry",
    "BoundedWriter",
    "JsonLinesHandler",
    "LogLine",
    "LogSetup",
    "RequestHistory",
    "configure",
    "log",
    "read_log",
    "request_history",
]
