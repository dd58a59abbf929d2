"""Structured logging: one JSON object per line, with step and peer of errors."""

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
