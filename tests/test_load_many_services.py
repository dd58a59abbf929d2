"""What many services and classes cost a host when new rules bring them."""

from random import Random

import pytest

from gentianwharf.load import Gate, RequestClass
from gentianwharf.load._class_table import ClassTable
from gentianwharf.load._retry_schedule import RetrySchedule
from gentianwharf.topology import BackendServer, Service
from tests.builders_counting import MOST_GROWTH, CountedText


def empty_gate() -> Gate:
    return Gate(services=[], classes=[], domain="hall-a", rng=Random(1), daemons=3)


def comparisons(count: int) -> int:
    """Return the comparisons of services while each of ``count`` gets its server."""
    gate = empty_gate()
    names = [CountedText(f"s{number}") for number in range(count)]
    gate.add(
        services=[Service(name=name, keyed=False, shards=0) for name in names],
        classes=[],
    )
    CountedText.compared.clear()
    for name in names:
        server = BackendServer(
            id=f"{name}-1",
            service=name,
            domain="hall-a",
            address="127.0.0.1:9200",
            slots=3,
            connections=120,
        )
        gate.set_servers(name, [server], 0.0)
    return CountedText.compared.total()


def test_twice_as_many_services_cost_twice_as_much() -> None:
    """A host stands still while it takes rules for many services, and callers wait.

    After each change of the rules each service's servers are followed, and each time
    all servers of all services were looked through: 1,219 services took 0.4 s.
    """
    few, many = comparisons(200), comparisons(400)
    assert many <= max(few, 200) * MOST_GROWTH


def test_classes_that_no_request_has_cost_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A host stands still for seconds, then outgrows its memory and is ended.

    Each pool got queue, counts and timings for each class of all rules, though its
    service's requests have few of them: 300 classes and 1,219 services took 5.4 s and
    331 MB, and classes that changed with each version of the rules were added up.
    """
    made: list[RetrySchedule] = []

    def counted(*, rng: Random) -> RetrySchedule:
        made.append(RetrySchedule(rng=rng))
        return made[-1]

    monkeypatch.setattr("gentianwharf.load._class_state.RetrySchedule", counted)
    gate = empty_gate()
    gate.add(
        services=[Service(name=f"s{n}", keyed=False, shards=0) for n in range(20)],
        classes=[
            RequestClass.from_deadline(name=f"c{n}", deadline_ms=1000, weight=1)
            for n in range(30)
        ],
    )
    assert len(made) == 0


def test_rows_stand_in_the_order_of_the_configuration() -> None:
    """Two classes whose turn it is equally: which one goes must not be by chance."""
    classes = {
        name: RequestClass.from_deadline(name=name, deadline_ms=1000, weight=1)
        for name in ("first", "second", "third")
    }
    rows = ClassTable(classes=classes, rng=Random(1))
    for name in ("third", "first"):
        assert rows[name].request_class.name == name
    assert list(rows) == ["first", "third"]
