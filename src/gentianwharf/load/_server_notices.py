"""What servers state about the requests that they accept.

Load pattern: a server is in need, and names in its answers how many requests per second
it accepts from all hosts together; or it has just started, and crashes when every host
finds it idle and sends to it.

A server's notices outlast its entry: they hold when the server is listed again, or for
the first time.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from math import inf
from typing import final

from ._host_shares import HostShares

COLD_BURST = 2
"""Hosts that send to a cold server: with a second one, it is not idle because one host
is lost."""

LIMIT_BURST, LIMIT_BURST_S = 4, 2.0
"""Requests beyond the rate that may arrive at once at a server with a limit: so many,
and as many as it accepts in this time."""

KEPT_S = 60.0
"""Time for which notices of a server that is not listed are kept."""

DROP_INTERVAL_S = 5.0

REPORT_LAG_S = 1.0
"""Time that a report takes from one host by way of the leader to another."""


@final
@dataclass(kw_only=True, slots=True, eq=False)
class ServerNotices:
    """The notices of one server, and when this host last sent to it; in seconds."""

    max_requests_per_s: float | None = None
    limit_gap_s: float = 0.0
    """Minimum time between requests of this host while the server names a limit."""
    cold_until_s: float = 0.0
    cold_gap_s: float = 0.0
    """The same while the server is cold."""
    last_sent_s: float = -inf
    leaving_since_s: float | None = None
    """When the server first stated that it leaves."""
    rest_until_s: float = 0.0
    """Until when the server wants no requests from this host, 0 if it never did."""
    limit_answered_s: float = -inf
    """When the server last named its limit in an answer to this host."""
    unlisted_s: float | None = None

    def set_rest(self, rest_s: float, now_s: float) -> bool:
        """Send nothing for a time; return whether the server did not rest before.

        A shorter time in a later answer does not end the rest sooner.
        """
        is_new = now_s >= self.rest_until_s
        self.rest_until_s = max(self.rest_until_s, now_s + rest_s)
        return is_new

    def accepted_in_s(self, now_s: float) -> float:
        """Return the time until the server accepts a request, by its limit and rest."""
        rest_s = max(0.0, self.rest_until_s - now_s)
        return max(rest_s, self._wait_s(self.limit_gap_s, now_s))

    def may_send(self, now_s: float) -> bool:
        """Whether the server accepts a request, and is warm enough for it."""
        is_cold = now_s < self.cold_until_s
        if not (is_cold or self.limit_gap_s or self.rest_until_s):
            # Asked for each server of each request, and nearly always true.
            return True
        if self.accepted_in_s(now_s):
            return False
        return not is_cold or not self._wait_s(self.cold_gap_s, now_s)

    def _wait_s(self, gap_s: float, now_s: float) -> float:
        # Without a share, a host never sends, also not a first request.
        return max(0.0, self.last_sent_s + gap_s - now_s) if gap_s < inf else inf


@final
class NoticeTable:
    """The notices of all servers by id, and this host's share of what they accept."""

    def __init__(self, *, name: str) -> None:
        self.shares = HostShares(name=name)
        self._notices: dict[str, ServerNotices] = {}
        self._dropped_s = 0.0
        self._cold_requests_per_s: dict[str, float] = {}

    @property
    def limited_count(self) -> int:
        """The number of servers that name a limit."""
        return sum(
            notices.max_requests_per_s is not None for notices in self._notices.values()
        )

    @property
    def leaving_count(self) -> int:
        """The number of servers that stated that they leave."""
        return sum(
            notices.leaving_since_s is not None for notices in self._notices.values()
        )

    def of(self, server_id: str) -> ServerNotices:
        """Return a server's notices, which are shared with all users of the table."""
        return self._notices.setdefault(server_id, ServerNotices())

    def set_hosts(self, names: Sequence[str]) -> None:
        """Set the names of all hosts, which share what a server accepts."""
        self.shares.set_hosts(names)
        for server_id, notices in self._notices.items():
            self._update_gaps(server_id, notices)

    def set_listed(
        self, server_id: str, *, cold_requests_per_s: float | None
    ) -> ServerNotices:
        """Record that a server is listed, and what it accepts while it is cold."""
        notices = self.of(server_id)
        notices.unlisted_s = None
        if cold_requests_per_s is None:
            self._cold_requests_per_s.pop(server_id, None)
        else:
            self._cold_requests_per_s[server_id] = cold_requests_per_s
        self._update_gaps(server_id, notices)
        return notices

    def set_cold(self, server_id: str, *, until_s: float) -> None:
        """Record until when a server is cold."""
        notices = self.of(server_id)
        notices.cold_until_s = max(notices.cold_until_s, until_s)
        self._update_gaps(server_id, notices)

    def set_limit(
        self, server_id: str, max_requests_per_s: float | None, now_s: float
    ) -> bool:
        """Set the limit that an answer named; return whether it is new."""
        if max_requests_per_s is not None:
            self.of(server_id).limit_answered_s = now_s
        return self._change_limit(server_id, max_requests_per_s)

    def set_reported_limit(
        self, server_id: str, max_requests_per_s: float | None, now_s: float
    ) -> bool:
        """Set the limit that another host reported; return whether it is new.

        Reports take a moment: a server's recent answer to this host is newer.
        """
        notices = self._notices.get(server_id)
        if notices is not None and now_s < notices.limit_answered_s + REPORT_LAG_S:
            return False
        return self._change_limit(server_id, max_requests_per_s)

    def limit_of(self, server_id: str) -> float | None:
        """Return the limit that a server names, None if it has none."""
        notices = self._notices.get(server_id)
        return notices.max_requests_per_s if notices is not None else None

    def _change_limit(self, server_id: str, max_requests_per_s: float | None) -> bool:
        if max_requests_per_s == self.limit_of(server_id):
            return False
        notices = self.of(server_id)
        notices.max_requests_per_s = max_requests_per_s
        self._update_gaps(server_id, notices)
        return True

    def set_rest(self, server_id: str, rest_s: float, now_s: float) -> bool:
        """Record that a server wants rest; return whether it did not rest before."""
        return self.of(server_id).set_rest(rest_s, now_s)

    def resting_count(self, now_s: float) -> int:
        """Return the number of servers that want no requests from this host."""
        return sum(now_s < notices.rest_until_s for notices in self._notices.values())

    def set_leaving(self, server_id: str, now_s: float) -> bool:
        """Record that a server stated that it leaves; return whether it is new."""
        notices = self.of(server_id)
        if notices.leaving_since_s is not None:
            return False
        notices.leaving_since_s = now_s
        return True

    def drop_outdated(self, now_s: float, *, listed: Collection[str]) -> None:
        """Drop the notices of servers that have not been listed for long."""
        if now_s < self._dropped_s + DROP_INTERVAL_S:
            return
        self._dropped_s = now_s
        for server_id, notices in list(self._notices.items()):
            if server_id in listed:
                continue
            if notices.unlisted_s is None:
                notices.unlisted_s = now_s
            elif now_s > max(notices.unlisted_s + KEPT_S, notices.cold_until_s):
                del self._notices[server_id]
                self._cold_requests_per_s.pop(server_id, None)

    def _update_gaps(self, server_id: str, notices: ServerNotices) -> None:
        cold_per_s = self._cold_requests_per_s.get(server_id)
        notices.cold_gap_s = 0.0
        # Ranking all hosts for each server would hold up a host that starts.
        if cold_per_s is not None and notices.cold_until_s:
            notices.cold_gap_s = self.shares.gap_s(
                server_id, requests_per_s=cold_per_s, burst=COLD_BURST
            )
        limit_per_s = notices.max_requests_per_s
        notices.limit_gap_s = 0.0
        if limit_per_s is not None:
            notices.limit_gap_s = self.shares.gap_s(
                server_id,
                requests_per_s=limit_per_s,
                burst=int(LIMIT_BURST + LIMIT_BURST_S * limit_per_s),
            )
