"""Logs: one JSON object a line, errors with step and peer."""

from ._json_lines import JsonLinesHandler, LogSetup, configure, log

__all__ = ["JsonLinesHandler", "LogSetup", "configure", "log"]
