"""Tests of the cost of rules with many services and classes."""

from random import Random

import pytest

from gentianwharf.load import Gate, RequestClass
from gentianwharf.load._class_table import ClassTable
from gentianwharf.load._retry_schedule import RetrySchedule
from gentianwharf.topology import BackendServer, Service
from tests.builders_counting import MAX_GROWTH, CountedText


def empty_gate() -> Gate:
    return Gate(services=[], classes=[], domain="hall-a", rng=Random(1), daemons=3)


def comparisons(count: int) -> int:
    """Return the comparisons of names while ``count`` services get their servers."""
    gate = empty_gate()
    names = [CountedText(f"s{number}") for number in range(count)]
    gate.add(
        services=[Service(name=name, keyed=False, shards=0) for name in names],
        classes=[],
    )
    CountedText.comparisons.clear()
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
    return CountedText.comparisons.total()


def test_twice_as_many_services_cost_twice_as_much() -> None:
    """Guards against a blocked event loop when rules with many services are applied.

    Each change of the rules updates the servers of every service. Each update scanned
    the servers of all services, which took 0.4 s with 1,219 services.
    """
    few, many = comparisons(200), comparisons(400)
    assert many <= max(few, 200) * MAX_GROWTH


def test_classes_without_requests_create_no_state(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a blocked event loop and a host that runs out of memory.

    Each pool had a queue, counts and timings for each class of all rules, although a
    service gets requests of few classes: 300 classes and 1,219 services took 5.4 s and
    331 MB, and classes that changed with each version of the rules accumulated.
    """
    created: list[RetrySchedule] = []

    def create(*, rng: Random) -> RetrySchedule:
        created.append(RetrySchedule(rng=rng))
        return created[-1]

    monkeypatch.setattr("gentianwharf.load._class_state.RetrySchedule", create)
    gate = empty_gate()
    gate.add(
        services=[Service(name=f"s{n}", keyed=False, shards=0) for n in range(20)],
        classes=[
            RequestClass.from_deadline(name=f"c{n}", deadline_ms=1000, weight=1)
            for n in range(30)
        ],
    )
    assert len(created) == 0


def test_class_table_keeps_the_order_of_the_configuration() -> None:
    """Guards against a choice by chance between classes of equal virtual time."""
    classes = {
        name: RequestClass.from_deadline(name=name, deadline_ms=1000, weight=1)
        for name in ("first", "second", "third")
    }
    rows = ClassTable(classes=classes, rng=Random(1))
    for name in ("third", "first"):
        assert rows[name].request_class.name == name
    assert list(rows) == ["first", "third"]
