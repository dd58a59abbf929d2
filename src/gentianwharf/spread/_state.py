"""State of the replication on a host, for operators."""

from dataclasses import dataclass
from typing import final


@final
@dataclass(kw_only=True, slots=True)
class SpreadCounts:
    """Counts since the start of a host.

    ``delta_failures`` counts deltas whose base this host did not hold or whose result
    had another checksum, ``failed`` values for which ``on_value`` raised an exception.
    """

    accepted: int = 0
    stale_dropped: int = 0
    malformed: int = 0
    sent_messages: int = 0
    sent_bytes: int = 0
    send_dropped: int = 0
    forwarded: int = 0
    pulled: int = 0
    delta_failures: int = 0
    failed: int = 0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class SpreadState:
    """State of the replication on a host.

    ``ready`` is False until the values are known to be current enough to act on;
    ``store_age_s`` is None until the first known contact with the store.
    """

    ready: bool
    watching: bool
    keys: int
    highest_revision: int
    checksum: int
    store_age_s: float | None
    store_calls: int
    counts: SpreadCounts
