"""How fast and at what cost a change of the rules reaches every host.

Real messages of real ``SpreadSystem`` objects on a virtual clock with the brief's
latencies: 0.5 ms between failure domains, 0.2 ms inside one, 3 ms to the store. What a
host's loop is busy with is drawn: a message is handled up to 20 ms after it came.
``python -m bench spread`` prints one JSON line a figure.
"""

import json
import time
from collections.abc import Callable, Iterator, Mapping
from random import Random
from typing import final

from tests.builders_platform import Loop
from tests.builders_spread import DOMAINS, TICK_S, Cluster, EventClock, make_hosts

from bench import Figure
from gentianwharf.infra import Fault, FaultKind, MemoryStore
from gentianwharf.spread import Channel, PeerMesh, SpreadSystem, _overlay
from gentianwharf.topology import Host

SEED = 1
CHANGES = 200
CUTS = 40
BUSY_S = 0.020
STORE_S = 0.003
LIMIT_S = 30.0
IDLE_S = 10.0
RULES = 200
RULE_CHANGES = 20

FAN_OUTS = (2, 4, 8, 16, 32)
HOSTS_A_DOMAIN = (4, 12, 36, 150, 500)
ROUND_TRIPS = 10_000

DOWN = Fault(kind=FaultKind.DOWN)
SILENT = Fault(kind=FaultKind.SILENT_WATCH)


def _rules(number: int) -> bytes:
    """Return a list of rules as the store holds it; ``number`` tells it from others."""
    rules = [
        {
            "name": f"faculte-{rule}-{number}",
            "when": {"path_prefix": f"/calendrier/faculte-{rule}", "methods": ["GET"]},
            "then": {
                "service": "calendrier",
                "site": "nord" if rule % 2 else "sud",
                "request_class": "consultation",
                "key": {"place": "path_segment", "name": "1"},
                "deadline_ms": 2000 + rule,
            },
        }
        for rule in range(RULES)
    ]
    return json.dumps({"rules": rules}).encode()


def _cluster(
    per_domain: int, *, domains: tuple[str, ...] = DOMAINS, tick_s: float = TICK_S
) -> Cluster:
    cluster = Cluster(
        per_domain=per_domain,
        seed=SEED,
        domains=domains,
        tick_s=tick_s,
        store_s=STORE_S,
        busy_s=BUSY_S,
    )
    cluster.write(_rules(0))
    cluster.run(5)
    return cluster


def _until_all_at(cluster: Cluster, revision: int) -> float:
    return cluster.run_until(lambda: cluster.all_at(revision), limit_s=LIMIT_S)


def _change_s(cluster: Cluster) -> float:
    revision = cluster.write(_rules(cluster.rng.randrange(1_000_000))).revision
    took_s = _until_all_at(cluster, revision)
    cluster.run(cluster.rng.uniform(0, 2))
    return took_s


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _silence_one_watch(cluster: Cluster) -> None:
    watcher = next(
        one for one in cluster.in_domain("lac") if one.spread.state().watching
    )
    watcher.store.faults[:] = [SILENT]
    cluster.run(10)


def _silence_a_domain(cluster: Cluster) -> None:
    cluster.fault_all(SILENT, domain="lac")
    cluster.run(10)


def _cut_off_from_platform(cluster: Cluster) -> None:
    cluster.fault_all(DOWN, domain="lac")
    cluster.run(10)


def _lose_messages(cluster: Cluster) -> None:
    cluster.loss = 0.05


CONDITIONS: dict[str, Callable[[Cluster], None]] = {
    "all_well": lambda cluster: None,
    "one_watch_silent": _silence_one_watch,
    "watches_of_a_domain_silent": _silence_a_domain,
    "domain_cut_off_from_platform": _cut_off_from_platform,
    "messages_lost_5_percent": _lose_messages,
}


def _changes(condition: str, per_domain: int) -> Iterator[Figure]:
    cluster = _cluster(per_domain)
    CONDITIONS[condition](cluster)
    took_s = [_change_s(cluster) for _ in range(CHANGES)]
    for label, share in (("p50", 0.5), ("p99", 0.99), ("max", 1.0)):
        yield Figure(
            name=f"spread_change_{condition}_{label}",
            value=round(_quantile(took_s, share), 4),
            unit="s",
            size={"hosts": len(cluster.hosts), "changes": CHANGES},
            seed=SEED,
        )


def _rejoin(per_domain: int) -> Iterator[Figure]:
    """Time from the end of a cut until the domain has what changed meanwhile."""
    cluster = _cluster(per_domain)
    took_s = []
    for _ in range(CUTS):
        cluster.cut_domains = {"lac"}
        cluster.fault_all(DOWN, domain="lac")
        cluster.run(cluster.rng.uniform(8, 20))
        revision = cluster.write(_rules(cluster.rng.randrange(1_000_000))).revision
        cluster.run(cluster.rng.uniform(2, 10))
        cluster.cut_domains = set()
        cluster.fault_all()
        took_s.append(_until_all_at(cluster, revision))
        cluster.run(10)
    for label, share in (("p50", 0.5), ("max", 1.0)):
        yield Figure(
            name=f"spread_rejoin_{label}",
            value=round(_quantile(took_s, share), 4),
            unit="s",
            size={"hosts": len(cluster.hosts), "cuts": CUTS},
            seed=SEED,
        )


def _fan_outs(per_domain: int) -> Iterator[Figure]:
    chosen = _overlay.FAN_OUT
    try:
        for fan_out in FAN_OUTS:
            _overlay.FAN_OUT = fan_out
            cluster = _cluster(per_domain, domains=DOMAINS[:1], tick_s=0.1)
            took_s = [_change_s(cluster) for _ in range(10)]
            yield Figure(
                name="spread_fan_out_change_max",
                value=round(max(took_s), 4),
                unit="s",
                size={"hosts": per_domain, "fan_out": fan_out},
                seed=SEED,
            )
    finally:
        _overlay.FAN_OUT = chosen


def _cost(per_domain: int) -> Iterator[Figure]:
    """Messages and processor time of an idle host, and messages of a change."""
    cluster = _cluster(per_domain, domains=DOMAINS[:1])
    size = {"hosts_a_domain": per_domain}
    cluster.messages = cluster.bytes = 0
    began_s = time.process_time()
    cluster.run(IDLE_S)
    host_seconds = IDLE_S * per_domain
    cpu_s = time.process_time() - began_s
    idle = cluster.messages / host_seconds
    yield _cost_figure("idle_messages", idle, "1/host/s", size)
    yield _cost_figure("idle_bytes", cluster.bytes / host_seconds, "B/host/s", size)
    yield _cost_figure("idle_cpu", 1e6 * cpu_s / host_seconds, "us/host/s", size)
    cluster.messages = cluster.bytes = 0
    cluster.write(_rules(1))
    cluster.run(1)
    messages = cluster.messages / per_domain - idle
    yield _cost_figure("change_messages", messages, "1/host", size)
    yield _cost_figure("change_bytes", cluster.bytes / per_domain, "B/host", size)
    yield _cost_figure("change_value_bytes", len(_rules(1)), "B", size)


def _one_rule_changed(number: int) -> bytes:
    """Return a record of 400 rules, about 100 kB, with one of them changed."""
    rules = json.loads(_rules(0))["rules"] + json.loads(_rules(1))["rules"]
    rules[37 * number % len(rules)]["then"]["deadline_ms"] = 3_000 + number
    head = {"number": number, "recent_change_ids": [f"{number:024x}"]}
    return json.dumps(head | {"document": {"rules": rules}}).encode()


def _one_rule_changes(per_domain: int) -> Iterator[Figure]:
    """Bytes that hosts send for changes of one rule in a long list, digests too."""
    cluster = _cluster(per_domain, domains=DOMAINS[:1])
    cluster.write(_one_rule_changed(0))
    cluster.run(5)
    before = {
        name: one.spread.state().counts.sent_bytes
        for name, one in cluster.members.items()
    }
    took_s = []
    for number in range(1, RULE_CHANGES + 1):
        revision = cluster.write(_one_rule_changed(number)).revision
        took_s.append(_until_all_at(cluster, revision))
        cluster.run(1)
    sent = [
        (one.spread.state().counts.sent_bytes - before[name]) / RULE_CHANGES
        for name, one in cluster.members.items()
    ]
    size = {"hosts_a_domain": per_domain, "changes": RULE_CHANGES}
    value_bytes = len(_one_rule_changed(0))
    yield _cost_figure("one_rule_value_bytes", value_bytes, "B", size)
    yield _cost_figure("one_rule_mean_bytes", sum(sent) / len(sent), "B/host", size)
    yield _cost_figure("one_rule_busiest_bytes", max(sent), "B/host", size)
    yield _cost_figure("one_rule_longest", max(took_s), "s", size)


def _cost_figure(
    name: str, value: float, unit: str, size: Mapping[str, float]
) -> Figure:
    return Figure(
        name=f"spread_{name}", value=round(value, 3), unit=unit, size=size, seed=SEED
    )


@final
class _DelayedLink:
    """A link on the virtual clock that counts what it carries."""

    frames = 0
    carried_bytes = 0

    def __init__(self, *, clock: EventClock, mesh: PeerMesh) -> None:
        self._clock = clock
        self._mesh = mesh

    def send(self, data: bytes) -> bool:
        """Deliver later."""
        _DelayedLink.frames += 1
        _DelayedLink.carried_bytes += len(data)
        self._clock.callLater(0.000_5, self._mesh.handle_frame, data)
        return True

    def close(self) -> None:
        """Nothing is open."""


def _idle_with_mesh(per_domain: int) -> Iterator[Figure]:
    """Count what an idle host sends with envelopes, probes and their answers."""
    clock = EventClock()
    store = MemoryStore(clock=clock)
    hosts = make_hosts(per_domain)
    meshes: dict[str, PeerMesh] = {}

    def dial(address: str) -> _DelayedLink:
        return _DelayedLink(clock=clock, mesh=meshes[address])

    for number, host in enumerate(hosts):
        rng = Random(number)
        mesh = PeerMesh(reactor=clock, host=host, rng=rng, dial=dial)
        meshes[host.peer_address] = mesh
        mesh.set_peers(hosts)
        _start_spread(clock, store, mesh, host, hosts, rng)
    clock.advance(15)
    _DelayedLink.frames = _DelayedLink.carried_bytes = 0
    began_s = time.process_time()
    clock.advance(IDLE_S)
    cpu_s = time.process_time() - began_s
    host_seconds = IDLE_S * len(hosts)
    links = [one for mesh in meshes.values() for one in mesh.stats().links.values()]
    size = {"hosts": len(hosts)}
    for name, value, unit in (
        ("frames", _DelayedLink.frames / host_seconds, "1/host/s"),
        ("bytes", _DelayedLink.carried_bytes / host_seconds, "B/host/s"),
        ("cpu", 1e6 * cpu_s / host_seconds, "us/host/s"),
        ("links", sum(one.open for one in links) / len(hosts), "1/host"),
    ):
        yield _cost_figure(f"mesh_idle_{name}", value, unit, size)


def _start_spread(
    clock: EventClock,
    store: MemoryStore,
    mesh: PeerMesh,
    host: Host,
    hosts: list[Host],
    rng: Random,
) -> None:
    def received(host_id: str, message: bytes) -> None:
        spread.received(host_id, message)

    spread = SpreadSystem(
        host=host,
        clock=clock,
        store=store,
        peers=mesh.channel(Channel.SPREAD, received),
        prefixes=["rules"],
        on_value=lambda value: None,
        rng=rng,
    )
    spread.set_hosts(hosts)

    def tick() -> None:
        mesh.tick()
        spread.tick()
        clock.callLater(TICK_S, tick)

    clock.callLater(rng.uniform(0, TICK_S), tick)


def _mesh_round_trips() -> Iterator[Figure]:
    """Round trips between two meshes of one process and loop, on loopback."""
    loop = Loop()
    hosts = [
        Host(id=name, domain="lac", peer_address=loop.free_address())
        for name in ("lac-1", "lac-2")
    ]
    near, far = (
        PeerMesh(reactor=loop.reactor, host=host, rng=Random(SEED)) for host in hosts
    )
    done = 0

    def came_back(_: str, message: bytes) -> None:
        nonlocal done
        done += 1
        near_channel.send("lac-2", message)

    def send_back(host_id: str, message: bytes) -> None:
        far_channel.send(host_id, message)

    near_channel = near.channel(Channel.SPREAD, came_back)
    far_channel = far.channel(Channel.SPREAD, send_back)
    for mesh in (near, far):
        mesh.listen()
        mesh.set_peers(hosts)
    began_s = time.perf_counter()
    near_channel.send("lac-2", bytes(100))
    while done < ROUND_TRIPS:
        loop.reactor.iterate(0.01)
    took_s = time.perf_counter() - began_s
    for mesh in (near, far):
        mesh.close()
    loop.close()
    yield Figure(
        name="mesh_round_trips",
        value=round(ROUND_TRIPS / took_s),
        unit="1/s",
        size={"message_bytes": 100},
        seed=SEED,
    )


def figures() -> Iterator[Figure]:
    """Measure everything."""
    for per_domain in (4, 12):
        for condition in CONDITIONS:
            yield from _changes(condition, per_domain)
        yield from _rejoin(per_domain)
    yield from _fan_outs(500)
    for per_domain in HOSTS_A_DOMAIN:
        yield from _cost(per_domain)
    for per_domain in (12, 150, 500):
        yield from _one_rule_changes(per_domain)
    for per_domain in (4, 12, 36, 150):
        yield from _idle_with_mesh(per_domain)
    yield from _mesh_round_trips()
