"""Names, ends of servers, and a model of a fleet whose servers end, for tests.

The model has records for each host. News of an end reaches each other host after a
delay of its own; there are no queues, and nothing is lost but what runs on a server
that ends.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from random import Random

from gentianwharf.quarantine import (
    BodyPrefix,
    CrashEvidence,
    CrashRecords,
    PermitTable,
    RequestName,
    ServerCrash,
    Standing,
    head_digest,
)

SERVERS = 37
RUN_S = 0.6
CRASH_S = 0.1
BACK_AFTER_S = 4.0
DEADLINE_S = 6.0
RETRIES = 2
CONTACT_S = 4.0
PROBE_S = 0.012
POLL_S = 0.1
NEWS_S = (0.002, 0.02)
"""How long news takes to a host by the leader."""

DIRECT_NEWS_S = (0.15, 0.18)
"""The same while the leader does not pass it on."""


def name_of(path: str, *, caller: str = "10.1.0.1", body: bytes = b"") -> RequestName:
    """Return the name of a request."""
    prefix = BodyPrefix()
    prefix.update(body)
    return prefix.name(
        head_digest(
            method=b"GET",
            host=b"h",
            target=path.encode(),
            caller=caller,
            body_length=len(body),
        )
    )


def crash_of(
    incarnation: str,
    *,
    at_s: float = 10.0,
    is_correlated: bool = False,
    is_permitted: bool = True,
) -> ServerCrash:
    """Return the end of a server."""
    return ServerCrash(
        incarnation=incarnation,
        ended_s=at_s,
        ended_unix_ms=int(at_s * 1000),
        evidence=CrashEvidence.REFUSED,
        host="h1",
        request_id=f"request-at-{incarnation}",
        service="ledger",
        is_correlated=is_correlated,
        is_permitted=is_permitted,
    )


@dataclass(kw_only=True)
class Losses:
    """When servers end for a reason other than a request."""

    ends_s: list[list[float]]

    def is_up(self, server: int, at_s: float) -> bool:
        """Whether a server runs."""
        return not any(
            end_s <= at_s < end_s + BACK_AFTER_S for end_s in self.ends_s[server]
        )

    def end_within(self, server: int, from_s: float, to_s: float) -> float | None:
        """Return when a server ends in a time, None if it doesn't."""
        return next(
            (end_s for end_s in self.ends_s[server] if from_s < end_s <= to_s), None
        )

    def living(self, at_s: float) -> list[int]:
        """Return the servers that run."""
        return [server for server in range(SERVERS) if self.is_up(server, at_s)]


def losses(series: Sequence[tuple[float, float]], rng: Random) -> Losses:
    """Return losses of a share of the servers at each of some times."""
    ends_s: list[list[float]] = [[] for _ in range(SERVERS)]
    for at_s, share in series:
        for server in rng.sample(range(SERVERS), max(1, round(share * SERVERS))):
            if not ends_s[server] or at_s > ends_s[server][-1] + BACK_AFTER_S:
                ends_s[server].append(at_s)
    return Losses(ends_s=ends_s)


@dataclass
class Fleet:
    """Hosts with a records each, and what they have told each other."""

    hosts: int
    rng: Random
    losses: Losses
    leaderless_s: tuple[float, float] = (0.0, 0.0)
    now_s: float = 0.0
    granter: PermitTable = field(default_factory=PermitTable)
    _records_of: dict[int, CrashRecords] = field(default_factory=dict)
    _news: list[tuple[float, int, RequestName | None, ServerCrash | list[str]]] = field(
        default_factory=list
    )
    _known: dict[int, set[int]] = field(default_factory=dict)

    def records(self, host: int) -> CrashRecords:
        """Return a host's records, with the news that has reached it."""
        records = self._records_of.get(host)
        if records is None:
            records = self._records_of[host] = CrashRecords(now_s=lambda: self.now_s)
            self._known[host] = set()
        for number, (sent_s, origin, name, news) in enumerate(self._news):
            if number in self._known[host]:
                continue
            if origin != host and self.now_s < sent_s + self._delay_s(sent_s):
                continue
            self._known[host].add(number)
            if isinstance(news, ServerCrash):
                if name is None:
                    records.note_end(news.incarnation, news.ended_s)
                else:
                    records.note_crash(name, news)
            elif name is not None:
                records.note_cleared(name.digest, news)
        return records

    def _delay_s(self, sent_s: float) -> float:
        is_leaderless = self.leaderless_s[0] <= sent_s < self.leaderless_s[1]
        return self.rng.uniform(*(DIRECT_NEWS_S if is_leaderless else NEWS_S))

    def tell(self, host: int, name: RequestName | None, crash: ServerCrash) -> None:
        """Let a host find out that a server ended."""
        self._news.append((self.now_s, host, name, crash))

    def tell_cleared(self, host: int, name: RequestName) -> None:
        """Let a host find out that a request ran wholly."""
        record = self.records(host).record(name.digest)
        if record is not None:
            self._news.append((self.now_s, host, name, list(record.crashes)))


@dataclass(kw_only=True)
class CulpritPlay:
    """What became of a request that ends each server."""

    ends_s: list[float]

    @property
    def late_sends(self) -> int:
        """Sends later than ``CONTACT_S`` after the third end; each ended a server."""
        if len(self.ends_s) < 3:
            return 0
        return sum(end_s > self.ends_s[2] + CONTACT_S for end_s in self.ends_s)


def play_culprit(
    fleet: Fleet, *, from_s: float, for_s: float, gap_s: float
) -> CulpritPlay:
    """Let a caller send a request that ends servers, each time to a random host."""
    name, ends_s = name_of("/culprit"), []
    fleet.now_s = from_s
    while fleet.now_s < from_s + for_s:
        host = fleet.rng.randrange(fleet.hosts)
        verdict = fleet.records(host).verdict(name.digest)
        if verdict.standing is Standing.UNDECIDED:
            fleet.now_s += verdict.retry_after_s
            continue
        if verdict.standing is not Standing.REFUSED:
            living = fleet.losses.living(fleet.now_s) or [0]
            server = fleet.rng.choice(living)
            fleet.now_s += CRASH_S
            ends_s.append(fleet.now_s)
            crash = crash_of(
                f"{server}/{len(ends_s)}",
                at_s=fleet.now_s,
                is_permitted=verdict.standing is not Standing.FREE,
            )
            fleet.now_s += PROBE_S
            fleet.tell(host, name, crash)
        fleet.now_s += gap_s
    return CulpritPlay(ends_s=ends_s)


def play_innocents(
    fleet: Fleet,
    *,
    from_s: float,
    to_s: float,
    rate_per_s: float,
    lost_share: float = 0.0,
) -> tuple[int, int]:
    """Let callers send requests that end no server, and repeat them at once.

    ``lost_share`` of the answers are lost, and repeated as well. Return how many were
    lost with a server at least once, and how many were refused.
    """
    arrivals = _arrivals(fleet.rng, from_s=from_s, to_s=to_s, rate_per_s=rate_per_s)
    events = [(at_s, at_s, f"/{number}", 0) for number, at_s in enumerate(arrivals)]
    events.sort()
    ends = sorted(
        (end_s, server)
        for server, times_s in enumerate(fleet.losses.ends_s)
        for end_s in times_s
    )
    for end_s, server in ends:
        fleet.now_s = end_s + PROBE_S
        fleet.tell(
            server % fleet.hosts, None, crash_of(f"{server}/{end_s}", at_s=end_s)
        )
    lost: set[str] = set()
    refused = 0
    while events:
        at_s, first_s, path, sends = events.pop(0)
        if sends >= 2 * (1 + RETRIES) or at_s > first_s + DEADLINE_S:
            continue
        server = fleet.rng.choice(fleet.losses.living(at_s) or [0])
        done_s = at_s + fleet.rng.uniform(0.5, 1.5) * RUN_S
        lost_s = fleet.losses.end_within(server, at_s, done_s)
        is_answer_lost = lost_s is None and fleet.rng.random() < lost_share
        if lost_s is None and path not in lost and not is_answer_lost:
            continue
        host, name = fleet.rng.randrange(fleet.hosts), name_of(path)
        fleet.now_s = at_s
        verdict = fleet.records(host).verdict(name.digest)
        if verdict.standing is Standing.UNDECIDED:
            events.append((at_s + POLL_S, first_s, path, sends))
            events.sort()
            continue
        if verdict.standing is Standing.REFUSED:
            refused += 1
            continue
        if is_answer_lost:
            fleet.now_s = done_s
        elif lost_s is None:
            fleet.now_s = done_s
            fleet.tell_cleared(host, name)
            continue
        else:
            lost.add(path)
            fleet.now_s = lost_s + PROBE_S
            crash = crash_of(
                f"{server}/{lost_s}",
                at_s=lost_s,
                is_permitted=verdict.standing is not Standing.FREE,
            )
            fleet.tell(host, name, crash)
        again_s = fleet.now_s + (0.005 if sends % 2 == 0 else 0.1)
        events.append((again_s, first_s, path, sends + 1))
        events.sort()
    return len(lost), refused


def _arrivals(
    rng: Random, *, from_s: float, to_s: float, rate_per_s: float
) -> Iterator[float]:
    at_s = from_s + rng.expovariate(rate_per_s)
    while at_s < to_s:
        yield at_s
        at_s += rng.expovariate(rate_per_s)
