"""Tells all hosts what one of them found out about requests that end servers.

Load pattern: a caller comes to another host as soon as it has an answer, so that each
end of a server has to be known there at once, also while nobody leads or the store is
down. Losses of many servers make every host send news at the same time.
"""

from collections.abc import Callable, Sequence
from typing import Any, final

import msgspec
from twisted.internet.defer import Deferred, succeed

from ._host_links import HostLinks
from ._peer_messages import HostAddress, QuarantineNews
from ._peers import Peers

ECHO_S = 0.15
"""If the leader has not sent news to all hosts after this time, their host does."""

RELAY_SHARE = 1 / 8
"""Share of the leader's bandwidth for the news of other hosts."""

RELAY_BURST_S = 1.0
"""Unused part of that share that may accumulate."""


@final
class NewsSender:
    """Sends news by the leader, or else to each listed host.

    ``listed`` returns the hosts in the list from the store.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        links: HostLinks,
        listed: Callable[[], Sequence[HostAddress]],
        reactor: Any,
    ) -> None:
        self.sent_directly = 0
        """News that the leader did not pass on in time, since the start."""
        self._peers = peers
        self._links = links
        self._listed = listed
        self._reactor = reactor
        self._serial = 0
        self._relay_until_s = 0.0
        self._unconfirmed: dict[int, tuple[Deferred[bool], Any]] = {}

    def send(self, news: QuarantineNews) -> "Deferred[bool]":
        """Send news; the result fires once the leader or this host has sent it.

        It is whether the leader has: then all hosts get news in the same order.
        """
        self._serial += 1
        news.host, news.serial = self._peers.identity.host, self._serial
        if self._peers.broadcaster.leads:
            news.is_relayed = True
            self._peers.broadcaster.broadcast_news(news)
            return succeed(True)
        if not self._peers.send_to_leader(msgspec.msgpack.encode(news)):
            self._send_directly(news)
            return succeed(False)
        done: Deferred[bool] = Deferred()
        timer = self._reactor.callLater(ECHO_S, self._end_wait, news)
        self._unconfirmed[news.serial] = (done, timer)
        return done

    def note_echo(self, news: QuarantineNews) -> None:
        """Record that the leader has sent this host's news to all hosts."""
        if news.host != self._peers.identity.host:
            return
        unconfirmed = self._unconfirmed.pop(news.serial, None)
        if unconfirmed is not None:
            done, timer = unconfirmed
            timer.cancel()
            done.callback(True)

    def relay(self, news: QuarantineNews) -> None:
        """Send the news of another host to all hosts, as the leader.

        Once many hosts have news at the same time, some of them have to send theirs
        themselves, so that the leader's uplink stays free for grants.
        """
        now_s = self._reactor.seconds()
        self._relay_until_s = max(self._relay_until_s, now_s - RELAY_BURST_S)
        if self._relay_until_s > now_s:
            return
        news.is_relayed = True
        taken_s = self._peers.broadcaster.broadcast_news(news)
        self._relay_until_s += taken_s / RELAY_SHARE

    def stop(self) -> None:
        """Stop waiting for the leader."""
        unconfirmed, self._unconfirmed = self._unconfirmed, {}
        for done, timer in unconfirmed.values():
            timer.cancel()
            done.callback(False)

    def _end_wait(self, news: QuarantineNews) -> None:
        done, _ = self._unconfirmed.pop(news.serial)
        self._send_directly(news)
        done.callback(False)

    def _send_directly(self, news: QuarantineNews) -> None:
        self.sent_directly += 1
        data = msgspec.msgpack.encode(news)
        for entry in self._listed():
            if entry.host != self._peers.identity.host:
                self._links.send(entry.address, data)
