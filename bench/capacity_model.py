"""What the target asks of each role, worked out from measured slopes."""

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil, log
from typing import Any, final

from gentianwharf.ownership._loads import MOST_REPORTERS, REPORT_EVERY_S
from gentianwharf.ownership._pace import ASKERS, FAN_OUT
from gentianwharf.ownership._service_control import (
    ALIVE_EVERY_S,
    CANDIDATES_PER_DOMAIN,
)

from ._fit import Line, fit

MILLISECONDS = 1_000
KILOBYTE = 1_000
MEGABYTE = 1_000_000
DAY_S = 86_400

# The letter's target.
NODES = 12_000
DOMAINS = 24
REQUESTS_PER_S = 28_000_000
CHANGES_A_DAY = 10_000
RESTARTS_A_DAY = 3_000
HOT_KEYS = 1_200
LIMIT_MS = 16
BUDGET_PROCESSOR_MS = 15.0
BUDGET_MEMORY_BYTES = 128 * MEGABYTE
BUDGET_BYTES_PER_S = 18 * KILOBYTE
# The store of today, as the brief gives it; its rates grow more slowly than the fleet.
STORE_WRITES_PER_S = 300
STORE_READS_PER_S = 2_000

# Assumptions of this page, each the largest that today's settings allow or today's
# ratio kept.
KEYED_SERVICES = 3
SHARDS = 65_536
CHUNK_SHARDS = 4_096
RULES = 500
SERVERS_A_HOST = 16 / 12
RACK_SERVERS = 40
DAEMON_LOAD = 0.6
ASKS_PER_S = 10
WITNESSES = 5
# Bytes that the busiest of 500 hosts sends for a change of one rule in a list of 100 kB
# (``python -m bench spread``).
CHANGE_BYTES = 2_641


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Slope:
    """A fitted slope: what is measured, against what."""

    title: str
    against: str
    unit: str
    target: float
    line: Line


Figures = dict[str, list[dict[str, Any]]]
SizeOf = Callable[[dict[str, float]], float | None]


def by_name(results: dict[str, list[dict[str, Any]]]) -> Figures:
    """Return the recorded figures by name."""
    figures: Figures = {}
    for module in results.values():
        for figure in module:
            figures.setdefault(figure["name"], []).append(figure)
    return figures


def _line(figures: Figures, name: str, size_of: SizeOf) -> Line:
    points = []
    for figure in figures[name]:
        size = size_of(figure["size"])
        if size is not None:
            points.append((size, float(figure["value"])))
    return fit(points)


def _of(name: str) -> SizeOf:
    return lambda size: size[name]


def _hosts(size: dict[str, float]) -> float | None:
    return size["hosts_a_domain"] if size["domains"] == 3 else None


def _domains(size: dict[str, float]) -> float | None:
    return size["domains"] if size["hosts_a_domain"] == 12 else None


@final
class Model:
    """The target's numbers; ``daemons`` is how many each node needs."""

    def __init__(self, results: dict[str, list[dict[str, Any]]]) -> None:
        self.figures = figures = by_name(results)
        self.relay = _line(figures, "relay_processor", _of("requests_per_s"))
        self.shards = _line(figures, "memory_shards", _of("shards"))
        self.stored = _line(figures, "store_value_shards", _of("shards"))
        self.pins = _line(figures, "memory_pins", _of("pins"))
        self.rules = _line(figures, "memory_rules", _of("rules"))
        self.servers = _line(figures, "memory_servers", _of("servers"))
        self.hosts = _line(figures, "memory_hosts", _of("hosts"))
        self.ask = _line(figures, "ask", _of("versions"))
        self.witness = _line(figures, "witness_ask", _of("versions"))
        self.share = _line(figures, "witness_share_ask", _of("versions"))
        self.share_ask = _line(figures, "share_ask", _of("versions"))
        self.asker_ticks = _line(figures, "asker_processor", _domains)
        self.asker_messages = _line(figures, "asker_messages", _domains)
        self.asker_sent = _line(figures, "asker_sent", _domains)
        self.asker_received = _line(figures, "asker_received", _domains)
        self.received = _line(figures, "control_received", _domains)
        self.ticks = _line(figures, "control_processor", _hosts)
        self.domain_ticks = _line(figures, "control_processor", _domains)
        self.messages = _line(figures, "control_messages", _domains)
        self.sent = _line(figures, "control_sent", _domains)
        self.spread_idle = _line(figures, "spread_idle_sent", _of("hosts_a_domain"))
        self.spread_time = _line(figures, "spread_change_time", _of("hosts_a_domain"))
        self.placing = _line(figures, "placement_by_shards", _of("shards"))
        self.rebalancing = _line(figures, "rebalance_by_shards", _of("shards"))
        self.idle = _line(figures, "idle_processor", _of("hosts"))
        self.idle_memory = _line(figures, "idle_memory", _of("hosts"))
        self.loss_writes = _line(figures, "loss_store_writes", _of("shards"))
        self.loss_time = _line(figures, "loss_unavailable", _of("shards"))

        self.node_rate = REQUESTS_PER_S / NODES
        self.request_ms = self.relay.slope
        busy = self.node_rate * self.request_ms / MILLISECONDS
        self.daemons = ceil(busy / DAEMON_LOAD)
        self.daemon_load = busy / self.daemons
        self.members = NODES // DOMAINS * self.daemons
        self.server_count = round(NODES * SERVERS_A_HOST)
        self.chunks = KEYED_SERVICES * -(-SHARDS // CHUNK_SHARDS)
        self.versions = self.chunks + DOMAINS

    def slopes(self) -> list[Slope]:
        """Return every slope with the size at which the target uses it."""
        hosts = float(NODES * self.daemons)
        rows: list[tuple[str, str, str, float, Line]] = [
            ("request, daemon's processor", "requests/s", "ms/s", 0, self.relay),
            ("idle daemon, processor", "daemons", "ms/s", self.members, self.idle),
            ("idle daemon, resident", "daemons", "bytes", 0, self.idle_memory),
            ("table in memory", "shards", "bytes", SHARDS, self.shards),
            ("table in the store", "shards", "bytes", SHARDS, self.stored),
            ("single-key entry", "entries", "bytes", HOT_KEYS, self.pins),
            ("rule set", "rules", "bytes", RULES, self.rules),
            ("server in the gate", "servers", "bytes", self.server_count, self.servers),
            ("host in spread", "daemons", "bytes", hosts, self.hosts),
            ("question for a right", "versions", "bytes", self.versions, self.ask),
            ("its answer, processor", "versions", "µs", self.versions, self.witness),
            ("a share's, processor", "versions", "µs", self.versions, self.share),
            (
                "ownership ticks, processor",
                "daemons a domain",
                "ms/s",
                self.members,
                self.ticks,
            ),
            (
                "ownership ticks, processor",
                "domains",
                "ms/s",
                DOMAINS,
                self.domain_ticks,
            ),
            ("ownership, messages", "domains", "1/s", DOMAINS, self.messages),
            ("ownership, bytes sent", "domains", "bytes/s", DOMAINS, self.sent),
            ("asker, processor", "domains", "ms/s", DOMAINS, self.asker_ticks),
            ("asker, messages", "domains", "1/s", DOMAINS, self.asker_messages),
            ("asker, bytes sent", "domains", "bytes/s", DOMAINS, self.asker_sent),
            (
                "spread idle, bytes sent",
                "daemons a domain",
                "bytes/s",
                self.members,
                self.spread_idle,
            ),
            (
                "spread, hops of a change",
                "daemons a domain",
                "ms",
                self.members,
                self.spread_time,
            ),
            ("placing all anew", "shards", "µs", SHARDS, self.placing),
            ("looking for moves", "shards", "µs", SHARDS, self.rebalancing),
            (
                "a server's loss, store writes",
                "shards",
                "writes",
                CHUNK_SHARDS,
                self.loss_writes,
            ),
            (
                "a server's loss, unserved",
                "shards",
                "ms",
                CHUNK_SHARDS,
                self.loss_time,
            ),
        ]
        return [
            Slope(title=title, against=against, unit=unit, target=target, line=line)
            for title, against, unit, target, line in rows
        ]

    def memory_bytes(self) -> dict[str, float]:
        """Return what a daemon's memory is made of at the target."""
        return {
            "process as it starts": self.idle_memory.at(1),
            "tables": KEYED_SERVICES * self.shards.slope * SHARDS,
            "single-key entries": self.pins.slope * HOT_KEYS,
            "rules": self.rules.slope * RULES,
            "servers": self.servers.slope * self.server_count,
            "hosts": self.hosts.slope * NODES * self.daemons,
        }

    def witness_asks_per_s(self) -> float:
        """Return how many questions reach each witness: the askers of its domain."""
        return float(ASKERS * ASKS_PER_S)

    def share_asks_per_s(self) -> float:
        """Return how many questions reach a host in the middle of the tree."""
        return float(FAN_OUT * ASKS_PER_S)

    def holder_messages_per_s(self) -> float:
        """Return what a control holder sends to say that it lives."""
        told = WITNESSES + CANDIDATES_PER_DOMAIN
        return DOMAINS * told / ALIVE_EVERY_S

    def holder_reports_per_s(self) -> float:
        """Return how many reports of load reach a control holder."""
        return min(MOST_REPORTERS, NODES * self.daemons) / REPORT_EVERY_S

    def ticks_ms(self) -> float:
        """Return a daemon's processor time for ownership, in ms a second.

        A slope below nothing is the noise of a flat line.
        """
        more_domains = max(self.domain_ticks.slope, 0.0) * (DOMAINS - 3)
        more_hosts = max(self.ticks.slope, 0.0) * self.members
        return self.ticks.intercept + more_hosts + more_domains

    def wait_p99_ms(self, load: float) -> float:
        """Return the 99th percentile of the wait in a daemon, as in an M/M/1 queue.

        P(wait > t) = load * exp(-(1 - load) * t / service time).
        """
        if load * 100 <= 1:
            return 0.0
        if load >= 1:
            return float("inf")
        return self.request_ms / (1 - load) * log(100 * load)
