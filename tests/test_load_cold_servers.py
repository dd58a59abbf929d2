"""Cold servers on a virtual clock: all hosts together send few requests to each."""

from collections.abc import Sequence
from random import Random

import pytest

from gentianwharf.load import Decision, Gate, Start, _host_shares
from gentianwharf.topology import BackendServer, Service
from tests.builders_load import CLASSES, DOMAINS, ok, ticket

COLD_REQUESTS_PER_S = 1.6
ALLOWED_IN_A_SECOND = 10
COLD_S = 3.0
ANSWER_S = 0.2


def server(number: int) -> BackendServer:
    return BackendServer(
        id=f"inscription-{number}",
        service="inscription",
        domain=DOMAINS[number % len(DOMAINS)],
        address=f"127.0.0.1:{9200 + number}",
        slots=2,
        connections=560,
        cold_requests_per_s=COLD_REQUESTS_PER_S,
    )


def make_gates(lists: Sequence[Sequence[str]]) -> list[Gate]:
    """Return a gate for each host, which knows the hosts of its own list."""
    gates = []
    for number, names in enumerate(lists):
        gate = Gate(
            services=[Service(name="inscription", keyed=False, shards=0)],
            classes=CLASSES,
            domain=DOMAINS[number % len(DOMAINS)],
            rng=Random(number),
            daemons=len(lists),
            name=f"host-{number}",
        )
        gate.set_hosts(names)
        gates.append(gate)
    return gates


def run(
    gates: list[Gate], servers: Sequence[str], requests_per_s: float
) -> list[float]:
    """Send requests for ``COLD_S``; return when each was sent to one of ``servers``."""
    rng = Random(7)
    sent: list[float] = []
    answers: list[tuple[float, Gate, str, str]] = []
    now_s = 100.0

    def send(gate: Gate, decisions: Sequence[Decision]) -> None:
        for start in (item for item in decisions if isinstance(item, Start)):
            answers.append((now_s + ANSWER_S, gate, start.ticket_id, start.server))
            if start.server in servers:
                sent.append(now_s)

    for number in range(round(COLD_S * requests_per_s)):
        now_s += 1 / requests_per_s
        while answers and answers[0][0] <= now_s:
            _, gate, id_, name = answers.pop(0)
            send(gate, gate.finished(id_, ok(ANSWER_S), now_s, name))
        gate = rng.choice(gates)
        request = ticket(str(number), deadline_s=now_s + 2.0)
        send(gate, [gate.submit(request, now_s)])
    return sent


def most_in_a_second(sent: list[float]) -> int:
    return max((sum(s <= t < s + 1.0 for t in sent) for s in sent), default=0)


@pytest.mark.parametrize("hosts", [1, 12, 84, 300])
def test_hosts_together_send_few_requests_to_a_cold_server(hosts: int) -> None:
    """Guards against a server that every host finds idle, and that crashes cold."""
    names = [f"host-{number}" for number in range(hosts)]
    gates = make_gates([names] * hosts)
    servers = [server(number) for number in range(6)]
    for gate in gates:
        gate.set_cold("inscription-5", until_s=100.0 + COLD_S)
        gate.set_servers("inscription", servers, 100.0)
    sent = run(gates, ["inscription-5"], requests_per_s=400)
    assert most_in_a_second(sent) <= 2


def test_hosts_with_different_lists_stay_within_the_allowance() -> None:
    """Guards against hosts whose outdated lists choose other senders each."""
    hosts = 84
    names = [f"host-{number}" for number in range(hosts)]
    lists = [names[number % 4 :] for number in range(hosts)]
    gates = make_gates(lists)
    servers = [server(number) for number in range(3)]
    for gate in gates:
        for number in range(3):
            gate.set_cold(f"inscription-{number}", until_s=100.0 + COLD_S)
        gate.set_servers("inscription", servers, 100.0)
    for number in range(3):
        sent = run(gates, [f"inscription-{number}"], requests_per_s=400)
        assert most_in_a_second(sent) <= ALLOWED_IN_A_SECOND


def test_host_that_knows_no_other_host_sends_nothing_to_a_cold_server() -> None:
    """Guards against starting hosts that each take themselves for the only one."""
    (gate,) = make_gates([[]])
    gate.set_cold("inscription-0", until_s=103.0)
    gate.set_servers("inscription", [server(0), server(1)], 100.0)
    assert run([gate], ["inscription-0"], requests_per_s=20) == []


def test_server_that_turns_cold_is_limited_at_once() -> None:
    (gate,) = make_gates([["host-0"]])
    gate.set_servers("inscription", [server(0)], 90.0)
    gate.set_cold("inscription-0", until_s=103.0)
    assert most_in_a_second(run([gate], ["inscription-0"], requests_per_s=50)) <= 2


def test_server_is_used_fully_once_it_is_warm() -> None:
    (gate,) = make_gates([["host-0"]])
    gate.set_servers("inscription", [server(0)], 50.0)
    gate.set_cold("inscription-0", until_s=99.0)
    assert len(run([gate], ["inscription-0"], requests_per_s=20)) > 20


def test_hosts_are_not_ranked_for_servers_that_are_warm(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against starts that take hosts times servers, most of them warm."""
    ranked: list[str] = []

    def count(subject: str, names: Sequence[str]) -> tuple[str, ...]:
        ranked.append(subject)
        return tuple(names)

    monkeypatch.setattr(_host_shares, "rendezvous_rank", count)
    (gate,) = make_gates([["host-0"]])
    gate.set_servers("inscription", [server(number) for number in range(50)], 1.0)
    gate.set_hosts(["host-0", "host-1"])
    assert not ranked
    gate.set_cold("inscription-7", until_s=5.0)
    assert ranked == ["inscription-7"]
