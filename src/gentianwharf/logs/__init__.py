"""Logs: one JSON object a line, errors with step and peer."""

from ._bounded import BoundedWriter
from ._json_lines import JsonLinesHandler, LogSetup, configure, log

__all__ = ["BoundedWriter", "JsonLinesHandler", "LogSetup", "configure", "log"]
