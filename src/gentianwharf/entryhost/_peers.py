"""What hosts tell each other: reports to the leader, and its news to all.

Every host sends the leader a few reports a second: what was asked for and how busy
servers are. The leader sends each host that reports the moves that are done and the
newest tables, ahead of the store's watch. Nothing is decided by these messages alone:
a host that gets none acts on what the store says, a moment later.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, final

import msgspec

from gentianwharf.keyspace import LoadSeen, Span
from gentianwharf.links import NngLink, NngListener, dial
from gentianwharf.logs import log
from gentianwharf.relay import ServerLoad
from gentianwharf.store import Item
from gentianwharf.topology import BackendServer

REPORT_EVERY_S = 0.25
"""Hot keys are to be seen within a second; a report of an idle host is 60 bytes."""

NEWS_EVERY_S = 1.0
"""At rest: tells hosts that the link works, and how many they are."""

SILENT_S = 3.0
"""Three pieces of news missed: the link is made anew."""

GONE_S = 4.0
"""A host that has not reported for so long counts no more."""

MOST_BYTES = 1_000_000


class _Load(msgspec.Struct, array_like=True):
    running: float
    waiting: float
    answers: float
    ran: float
    quick: float
    quick_s: float


class Report(msgspec.Struct, array_like=True, tag="report"):
    """What one host saw since its last report.

    ``requests`` counts by service and shard, ``loads`` by service and server.
    """

    host: str
    address: str
    requests: dict[str, dict[int, int]]
    loads: dict[str, dict[str, _Load]]


class _Granted(msgspec.Struct, array_like=True):
    service: str
    first: int
    last: int
    token: int


class _Table(msgspec.Struct, array_like=True):
    key: str
    value: bytes
    revision: int


class News(msgspec.Struct, array_like=True, tag="news"):
    """What the leader tells: how many hosts there are, moves done, new tables."""

    leader: str
    hosts: int
    granted: list[_Granted]
    tables: list[_Table]


class LeaderItem(msgspec.Struct, array_like=True):
    """What stands in the store of the leader: its name, and where it hears reports."""

    host: str
    address: str


@final
@dataclass(kw_only=True, slots=True)
class _Peer:
    link: NngLink
    address: str
    heard_s: float


@final
class Peers:
    """One host's links to the leader and, while it leads, to all others."""

    def __init__(self, *, host: str, address: str, reactor: Any) -> None:
        self.on_requests: Callable[[str, Mapping[int, float]], None]
        self.on_load: Callable[[str, str, LoadSeen], None]
        self.on_granted: Callable[[str, int, int, int], None]
        self.on_table: Callable[[Item], None]
        self.on_hosts: Callable[[int], None]
        self.name = LeaderItem(host=host, address=address)
        self._reactor = reactor
        self._listener: NngListener | None = None
        self._leader: LeaderItem | None = None
        self._to_leader: NngLink | None = None
        self._heard_s = 0.0
        self._news_s = float("-inf")
        self._reported_s = 0.0
        self._told_s = 0.0
        self._leads = False
        self._peers: dict[str, _Peer] = {}
        self._requests: dict[str, dict[int, int]] = {}
        self._loads: dict[str, dict[str, _Load]] = {}

    def start(self) -> None:
        """Listen for the other hosts."""
        self._listener = NngListener(
            reactor=self._reactor,
            address=self.name.address,
            on_data=self._received,
            most_bytes=MOST_BYTES,
        )

    def stop(self) -> None:
        """Close every link."""
        if self._listener is not None:
            self._listener.close()
        self._close_leader()
        for peer in self._peers.values():
            peer.link.close()
        self._peers.clear()

    # What this host sees.

    def note_request(self, service: str, shard: int) -> None:
        """Count a request for the next report."""
        counts = self._requests.setdefault(service, {})
        counts[shard] = counts.get(shard, 0) + 1

    def note_load(
        self, server: BackendServer, load: ServerLoad, elapsed_s: float | None
    ) -> None:
        """Add what a server said of its load to the next report.

        ``elapsed_s`` is how long the answer took, None for a refusal.
        """
        loads = self._loads.setdefault(server.service, {})
        row = loads.setdefault(server.id, _Load(0.0, 0.0, 0.0, 0.0, 0.0, 0.0))
        row.running += load.running
        row.waiting += load.waiting
        row.answers += 1
        if elapsed_s is None:
            return
        row.ran += 1
        if not load.waiting:
            row.quick += 1
            row.quick_s += elapsed_s

    def hears_leader(self) -> bool:
        """Whether the leader's news come: then what it does not tell is not done."""
        if self._leads:
            return True
        age_s = self._reactor.seconds() - self._news_s
        return self._leader is not None and age_s < 2 * NEWS_EVERY_S

    # Who leads.

    def follow(self, item: Item | None) -> None:
        """Report to the leader that an item of the store names."""
        leader = None
        if item is not None:
            try:
                leader = msgspec.json.decode(item.value, type=LeaderItem)
            except msgspec.DecodeError as error:
                log.warning("the leader's item can't be read: {}", error)
        if leader == self._leader:
            return
        self._close_leader()
        self._leader = leader
        self._news_s = float("-inf")

    def lead(self, leads: bool) -> None:
        """Begin or cease to tell the others."""
        self._leads = leads
        if not leads:
            for peer in self._peers.values():
                peer.link.close()
            self._peers.clear()

    def tell_granted(self, service: str, span: Span) -> None:
        """Tell all hosts that a move is done."""
        if self._leads:
            granted = _Granted(service, span.first, span.last, span.token)
            self._tell(granted=[granted])

    def tell_table(self, item: Item) -> None:
        """Tell all hosts of a new table."""
        if self._leads:
            self._tell(tables=[_Table(item.key, item.value, item.revision)])

    def tick(self) -> None:
        """Report and tell what is due."""
        now_s = self._reactor.seconds()
        if now_s >= self._reported_s + REPORT_EVERY_S:
            self._reported_s = now_s
            self._report(now_s)
        if self._leads and now_s >= self._told_s + NEWS_EVERY_S:
            self._drop_gone(now_s)
            self._tell()

    def _report(self, now_s: float) -> None:
        requests, self._requests = self._requests, {}
        loads, self._loads = self._loads, {}
        report = Report(self.name.host, self.name.address, requests, loads)
        if self._leads:
            self._take(report)
            return
        if self._leader is None or self._leader == self.name:
            return
        if self._to_leader is None or now_s > self._heard_s + SILENT_S:
            self._close_leader()
            self._heard_s = now_s
            self._to_leader = dial(self._leader.address)
        self._to_leader.send(msgspec.msgpack.encode(report))

    def _close_leader(self) -> None:
        if self._to_leader is not None:
            self._to_leader.close()
            self._to_leader = None

    def _tell(
        self,
        *,
        granted: list[_Granted] | None = None,
        tables: list[_Table] | None = None,
    ) -> None:
        self._told_s = self._reactor.seconds()
        hosts = len(self._peers) + 1
        self.on_hosts(hosts)
        news = News(self.name.host, hosts, granted or [], tables or [])
        data = msgspec.msgpack.encode(news)
        for peer in self._peers.values():
            peer.link.send(data)

    def _drop_gone(self, now_s: float) -> None:
        for name, peer in list(self._peers.items()):
            if now_s > peer.heard_s + GONE_S:
                peer.link.close()
                del self._peers[name]

    def _received(self, data: bytes) -> None:
        try:
            message = msgspec.msgpack.decode(data, type=Report | News)
        except msgspec.DecodeError as error:
            log.warning("a host's message can't be read: {}", error)
            return
        if isinstance(message, Report):
            self._received_report(message)
        else:
            self._received_news(message)

    def _received_report(self, report: Report) -> None:
        if not self._leads:
            return
        now_s = self._reactor.seconds()
        peer = self._peers.get(report.host)
        if peer is not None and peer.address != report.address:
            peer.link.close()
            peer = None
        if peer is None:
            peer = _Peer(
                link=dial(report.address), address=report.address, heard_s=now_s
            )
            self._peers[report.host] = peer
        peer.heard_s = now_s
        self._take(report)

    def _take(self, report: Report) -> None:
        for service, counts in report.requests.items():
            self.on_requests(service, counts)
        for service, loads in report.loads.items():
            for server_id, load in loads.items():
                seen = LoadSeen(
                    running=load.running,
                    waiting=load.waiting,
                    answers=load.answers,
                    ran=load.ran,
                    quick=load.quick,
                    quick_s=load.quick_s,
                )
                self.on_load(service, server_id, seen)

    def _received_news(self, news: News) -> None:
        if self._leader is None or news.leader != self._leader.host:
            # A leader of before: what it tells may be old.
            return
        self._heard_s = self._news_s = self._reactor.seconds()
        self.on_hosts(news.hosts)
        for table in news.tables:
            item = Item(key=table.key, value=table.value, revision=table.revision)
            self.on_table(item)
        for one in news.granted:
            self.on_granted(one.service, one.first, one.last, one.token)
