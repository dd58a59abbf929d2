"""Time of all decisions for one keyed request: rule, owner, admission and completion.

Measured at the target size of 200 rules and 65,536 shards, in one process and without
a network.
"""

from collections.abc import Iterator
from random import Random
from time import perf_counter
from typing import cast

from gentianwharf import load
from gentianwharf.ownership._deadlines import Allowances
from gentianwharf.ownership._loads import SentCounts
from gentianwharf.ownership._rights import Rights
from gentianwharf.ownership._route import Router, Send
from gentianwharf.ownership._table import Entry
from gentianwharf.ownership._tables import Tables
from gentianwharf.rules import RequestFacts, RuleDocument, RuleSet
from gentianwharf.topology import BackendServer, Service

from ._figure import Figure

RULES = 200
SHARDS = 65_536
SERVERS = 16
REQUESTS = 20_000
# The fastest run is reported, since other work on the machine only adds time.
REPEATS = 5
SEED = 1
MICROSECONDS = 1_000_000


def _service() -> Service:
    servers = tuple(
        BackendServer(
            id=f"s{number}",
            service="keyed",
            domain="lac",
            address=f"127.0.0.1:{9000 + number}",
            slots=6,
            connections=130,
        )
        for number in range(SERVERS)
    )
    return Service(name="keyed", keyed=True, shards=SHARDS, servers=servers)


def _rules() -> RuleSet:
    rules = [
        {
            "name": f"rule-{number}",
            "when": {"path_prefix": f"/faculte-{number}/"},
            "then": {"service": "keyed", "key": {"place": "path_segment", "name": "1"}},
        }
        for number in range(RULES)
    ]
    document = RuleDocument.model_validate({"rules": rules})
    return RuleSet(document=document, revision=1, shards={"keyed": SHARDS})


class _PermanentRights:
    """Rights that do not expire, as in a system where they are renewed."""

    def until_s(self, domain: str) -> float:
        """Return a time far in the future."""
        return 1e9


class _NoAllowances:
    """Allowances of a system without deadlines beyond the end of the rights."""

    def until_s(self, service: str, shard: int, domain: str) -> float:
        """Return a time before every request."""
        return float("-inf")


def _router(service: Service) -> Router:
    tables = Tables(shards={"keyed": SHARDS})
    tables.entries["keyed"] = [
        Entry(owner=f"s{shard % SERVERS}", token=1) for shard in range(SHARDS)
    ]
    return Router(
        tables=tables,
        rights=cast(Rights, _PermanentRights()),
        servers={server.id: server for server in service.servers},
        allowances=cast(Allowances, _NoAllowances()),
        deadline_caps_s={"keyed": 0.3},
        sent={"keyed": SentCounts()},
    )


def _gate(service: Service) -> load.Gate:
    consultation = load.RequestClass.from_deadline(
        name="consultation", deadline_ms=2000, weight=8
    )
    return load.Gate(
        services=[service],
        classes=[consultation],
        domain="lac",
        rng=Random(SEED),
        daemons=12,
    )


def figures() -> Iterator[Figure]:
    """Yield the time that the decisions for one request take."""
    yield Figure(
        name="decision.keyed_request",
        value=min(_run() for _ in range(REPEATS)) / REQUESTS * MICROSECONDS,
        unit="us",
        size={"rules": RULES, "shards": SHARDS, "servers": SERVERS},
        seed=SEED,
    )


def _run() -> float:
    service = _service()
    rules, router, gate = _rules(), _router(service), _gate(service)
    rng = Random(SEED)
    requests = [
        RequestFacts(
            method="GET",
            host="gateway",
            path=f"/faculte-{rng.randrange(RULES)}/{rng.randrange(1_000_000)}",
        )
        for _ in range(REQUESTS)
    ]
    outcome = load.Outcome(kind=load.OutcomeKind.OK, elapsed_s=0.002)
    start_s = perf_counter()
    for number, request in enumerate(requests):
        match = rules.match(request)
        assert match is not None
        assert match.shard is not None
        now_s = number * 0.001
        route = router.route("keyed", match.shard, match.key, now_s)
        assert isinstance(route, Send)
        ticket = load.Ticket(
            id=str(number),
            service="keyed",
            request_class="consultation",
            caller=str(number % 200),
            deadline_s=now_s + 2.0,
            key=match.key,
            shard=match.shard,
            repeatable=match.repeatable,
            server=route.server_id,
        )
        gate.submit(ticket, now_s)
        gate.finished(ticket.id, outcome, now_s + 0.0005, route.server_id)
    return perf_counter() - start_s
