"""Memory of a daemon for each shard, single-key entry, rule, server and host."""

import gc
import tracemalloc
from collections.abc import Callable, Iterator
from functools import partial
from random import Random

from twisted.internet.task import Clock

from gentianwharf.infra import MemoryStore
from gentianwharf.load import Gate, RequestClass
from gentianwharf.ownership._messages import Item
from gentianwharf.ownership._table import CHUNK_SHARDS, Chunk, Entry, pack_chunk
from gentianwharf.ownership._tables import Tables, chunk_key
from gentianwharf.rules import Rule, RuleDocument, RuleSet
from gentianwharf.spread import SpreadSystem
from gentianwharf.topology import BackendServer, Host, Service

from ._figure import Figure

SERVICE = "calendrier"
SERVERS = 64
SHARD_SIZES = (4_096, 8_192, 16_384, 32_768, 65_536)
PIN_SIZES = (64, 256, 512, 1_024)
RULE_SIZES = (25, 100, 250, 500)
SERVER_SIZES = (16, 64, 256, 1_024)
HOST_SIZES = (36, 150, 500, 2_000, 12_000)


def grown_bytes(build: Callable[[], object]) -> int:
    """Return how many bytes stay allocated by what ``build`` returns."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = build()
        gc.collect()
        grown, _ = tracemalloc.get_traced_memory()
        del kept
        return grown
    finally:
        tracemalloc.stop()


def chunk_values(shards: int, pins: int = 0) -> list[bytes]:
    """Return the packed chunks of a service as the store holds them."""
    values = []
    for number in range(-(-shards // CHUNK_SHARDS)):
        first = number * CHUNK_SHARDS
        members = range(first, min(first + CHUNK_SHARDS, shards))
        entries = {
            shard: Entry(owner=f"{SERVICE}-{shard % SERVERS}", token=shard + 1)
            for shard in members
        }
        pinned = {f"faculte-{pin}": shards + pin for pin in range(pins)}
        entries |= {
            shard: Entry(owner=f"{SERVICE}-{shard % SERVERS}", token=shard)
            for shard in pinned.values()
        }
        chunk = Chunk(
            service=SERVICE,
            number=number,
            counter=shards,
            entries=entries,
            pins=pinned,
        )
        values.append(pack_chunk(chunk))
        pins = 0
    return values


def _tables(shards: int, values: list[bytes]) -> Tables:
    tables = Tables(shards={SERVICE: shards})
    for number, value in enumerate(values):
        tables.install(Item(chunk_key(SERVICE, number), number + 1, bytes(value)))
    return tables


def _rule(number: int) -> Rule:
    return Rule.model_validate(
        {
            "name": f"rule-{number}",
            "when": {"path_prefix": f"/part-{number}/"},
            "then": {"service": SERVICE, "request_class": "consultation"},
        }
    )


def _rule_set(count: int) -> RuleSet:
    document = RuleDocument(rules=tuple(_rule(number) for number in range(count)))
    return RuleSet(document=document, revision=1, shards={SERVICE: 1_024})


def _servers(count: int) -> tuple[BackendServer, ...]:
    return tuple(
        BackendServer(
            id=f"inscription-{number}",
            service="inscription",
            domain="lac",
            address=f"10.0.{number // 256}.{number % 256}:80",
            slots=6,
            connections=130,
        )
        for number in range(count)
    )


def _gate(count: int) -> Gate:
    service = Service(
        name="inscription", keyed=False, shards=0, servers=_servers(count)
    )
    one = RequestClass.from_deadline(name="consultation", deadline_ms=2_000, weight=1)
    return Gate(
        services=[service], classes=[one], domain="lac", rng=Random(1), daemons=12
    )


def _hosts(count: int) -> list[Host]:
    return [
        Host(id=f"host-{number}", domain=f"domain-{number % 24}", peer_address="ip:1")
        for number in range(count)
    ]


def _spread(count: int) -> SpreadSystem:
    clock = Clock()
    hosts = _hosts(count)
    spread = SpreadSystem(
        host=hosts[0],
        clock=clock,
        store=MemoryStore(clock=clock),
        peers=_NoPeers(),
        prefixes=["rules"],
        on_value=lambda value: None,
        rng=Random(1),
    )
    spread.set_hosts(hosts)
    return spread


class _NoPeers:
    def send(self, host_id: str, message: bytes) -> bool:
        return True


def figures() -> Iterator[Figure]:
    """Yield memory at each size."""
    for shards in SHARD_SIZES:
        values = chunk_values(shards)
        grown = grown_bytes(partial(_tables, shards, values))
        yield _memory("memory_shards", grown, shards=shards)
        stored = sum(len(value) for value in values)
        yield _memory("store_value_shards", stored, shards=shards)
    for pins in PIN_SIZES:
        values = chunk_values(CHUNK_SHARDS, pins)
        grown = grown_bytes(partial(_tables, CHUNK_SHARDS, values))
        yield _memory("memory_pins", grown, pins=pins)
        yield _memory("store_value_pins", len(values[0]), pins=pins)
    for rules in RULE_SIZES:
        grown = grown_bytes(partial(_rule_set, rules))
        yield _memory("memory_rules", grown, rules=rules)
    for servers in SERVER_SIZES:
        grown = grown_bytes(partial(_gate, servers))
        yield _memory("memory_servers", grown, servers=servers)
    for hosts in HOST_SIZES:
        grown = grown_bytes(partial(_spread, hosts))
        yield _memory("memory_hosts", grown, hosts=hosts)


def _memory(name: str, grown: int, **size: float) -> Figure:
    return Figure(name=name, value=grown, unit="bytes", size=size)
