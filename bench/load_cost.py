"""Processor time of the decisions for one request: ``python -m bench.load_cost``."""

import json
from random import Random
from time import process_time

from bench.load_scenarios import TUNIS, scenario
from bench.load_trial import CLASSES, HOSTS, make_service
from gentianwharf.load import Gate, Outcome, OutcomeKind, Start, Ticket

ROUNDS = 10_000
# The fastest run is reported, since other work on the machine only adds time.
REPEATS = 7
# Three requests arrive for each one that completes.
OVERLOAD = 3
OK = Outcome(kind=OutcomeKind.OK, elapsed_s=0.02)


def make_ticket(number: int, server: str | None) -> Ticket:
    """Return a request, pinned to ``server`` unless that is None."""
    return Ticket(
        id=str(number),
        service="service",
        request_class="consultation",
        caller=str(number % 200),
        deadline_s=1e9,
        key=str(number % 1000) if server else None,
        repeatable=True,
        server=server,
    )


def measure_path(
    name: str, *, in_flight: int, pinned: bool, overload: bool = False
) -> dict[str, object]:
    """Return the mean time of submit plus finished, in microseconds."""
    rows = [
        _run(in_flight=in_flight, pinned=pinned, overload=overload)
        for _ in range(REPEATS)
    ]
    used_s, refused = min(rows)
    return {
        "figure": f"load.cost.{name}",
        "us_per_request": round(used_s / ROUNDS * 1e6, 2),
        "rounds": ROUNDS,
        "repeats": REPEATS,
        "refused": refused,
    }


def _run(*, in_flight: int, pinned: bool, overload: bool) -> tuple[float, int]:
    service = make_service(scenario("keyed-normal" if pinned else "normal"))
    gate = Gate(
        services=[service],
        classes=CLASSES,
        domain=TUNIS.domains[0],
        rng=Random(1),
        daemons=HOSTS,
    )
    server = service.servers[0].id if pinned else None
    tickets = [make_ticket(number, server) for number in range(ROUNDS)]
    running: list[str] = []
    start_s = process_time()
    for number, ticket in enumerate(tickets):
        now_s = number * 0.001
        if isinstance(gate.submit(ticket, now_s), Start):
            running.append(ticket.id)
        due = number % OVERLOAD == 0 if overload else len(running) >= in_flight
        if due and running:
            for decision in gate.finished(running.pop(0), OK, now_s):
                if isinstance(decision, Start):
                    running.append(decision.ticket_id)
    used_s = process_time() - start_s
    return used_s, sum(gate.snapshot().refused.values())


def main() -> int:
    """Print one JSON line for each path."""
    print(json.dumps(measure_path("free", in_flight=2, pinned=False)))
    print(json.dumps(measure_path("pinned", in_flight=1, pinned=True)))
    print(
        json.dumps(measure_path("overload", in_flight=0, pinned=False, overload=True))
    )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
