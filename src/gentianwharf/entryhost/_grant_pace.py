"""How often the leader notifies all hosts of finished moves."""

MAX_GRANT_INTERVAL_S = 0.1
"""Longest time for which the notice of a finished move waits for others: hosts hold the
requests of its span until then."""

MAX_GRANT_MESSAGES_PER_S = 2_000.0
"""Notices of finished moves to all hosts. Moves that finish within an interval share a
message: a plan moves dozens of spans, and each message is sent once per host."""

GRANT_MESSAGE_BYTES = 150
GRANT_LINK_SHARE = 0.25
"""Share of the leader's bandwidth for notices, while moves finish all the time."""


def grant_interval_s(*, hosts: int, link_bytes_per_s: float) -> float:
    """Return the interval of notices of finished moves to a number of hosts.

    >>> grant_interval_s(hosts=64, link_bytes_per_s=25_000_000)
    0.032
    """
    link_messages_per_s = link_bytes_per_s * GRANT_LINK_SHARE / GRANT_MESSAGE_BYTES
    messages_per_s = min(MAX_GRANT_MESSAGES_PER_S, link_messages_per_s)
    return min(MAX_GRANT_INTERVAL_S, hosts / messages_per_s)
