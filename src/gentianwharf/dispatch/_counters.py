"""Counts of what a host asked of dispatchers, for metrics."""

from collections import Counter
from dataclasses import dataclass, field
from typing import final


@final
@dataclass(kw_only=True, slots=True, eq=False)
class ClientCounters:
    """Counts since the start of the host, except the gauges ``waiting`` and ``silent``.

    ``requests`` counts one request for each dispatcher that was asked.
    ``dispatcher_changes`` counts by subject how often another dispatcher answered than
    before.
    """

    requests: int = 0
    granted: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    waiting: int = 0
    silences: int = 0
    silent: int = 0
    undispatched: int = 0
    late_grants: int = 0
    dispatcher_changes: Counter[str] = field(default_factory=Counter)


@final
@dataclass(kw_only=True, slots=True, eq=False)
class MessageCounters:
    """Counts of messages between hosts and dispatchers since the start of the host."""

    sent: int = 0
    received: int = 0
    undecodable: int = 0
    outdated: int = 0
    not_sent: int = 0
    resets: int = 0
