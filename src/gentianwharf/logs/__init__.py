"""Logs: one JSON object a line, errors with step and peer."""

from ._bounded import BoundedWriter
from ._json_lines import JsonLinesHandler, LogSetup, configure, log
from ._story import Belief, LogLine, Story, read_log, story_of

__all__ = [
    "Belief",
    "BoundedWriter",
    "JsonLinesHandler",
    "LogLine",
    "LogSetup",
    "Story",
    "configure",
    "log",
    "read_log",
    "story_of",
]
