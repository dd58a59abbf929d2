"""The soak's check of what new leaders are told of earlier grants."""

from typing import Any

import pytest
from soak._disruptions import standstill_of
from soak._statement_checks import (
    ANSWERED,
    LEADING,
    Statement,
    find_wrong_statements,
    statement_of,
)

from gentianwharf.platform.standin import HoldChange

from .builders_soak_holds import HOSTS, Held, hold


def wrong(held_s: float, *changes: HoldChange, held: Held | None = None) -> list[str]:
    """Return the lines for a statement at 10 s."""
    statement = Statement(host="host-0", led_s=10.0, at_s=10.0, held_s=held_s)
    disruptions = (held or Held()).disruptions
    return find_wrong_statements([statement], changes, HOSTS, disruptions)


def long_grant(arrived_s: float | None = None) -> HoldChange:
    return hold("server-0", token=1, at_s=9.0, until_s=14.0, arrived_s=arrived_s)


def test_statement_that_leaves_a_grant_out_is_found() -> None:
    """Guards against leaders that state grants which they don't know."""
    (line,) = wrong(0.0, long_grant())
    assert line.startswith("STATED: host-0 leads from 10.000, and was told at 10.000")
    assert line.endswith("server-0 holds 100 to 199 with fence 1 for 4.000 s")


def test_statement_that_covers_all_grants_is_in_order() -> None:
    assert not wrong(4.0, long_grant())


def test_grants_after_the_statement_are_the_new_leaders() -> None:
    assert not wrong(0.0, hold("server-0", token=2, at_s=9.99, until_s=12.5))


def test_grants_between_the_begin_and_an_answer_are_the_new_leaders() -> None:
    """Guards against leaders that are blamed for what they renewed themselves."""
    answered = Statement(host="host-0", led_s=8.5, at_s=10.0, held_s=0.0)
    disruptions = Held().disruptions
    assert not find_wrong_statements([answered], [long_grant()], HOSTS, disruptions)
    before = hold("server-0", token=1, at_s=8.0, until_s=14.0)
    assert find_wrong_statements([answered], [before], HOSTS, disruptions)


def test_grants_that_are_carried_out_late_count() -> None:
    assert wrong(0.0, long_grant(arrived_s=8.0))


@pytest.mark.parametrize("subject", ["host-1", "server-0"])
def test_grants_soon_after_a_thaw_are_excused(subject: str) -> None:
    held = Held()
    held.disrupt(standstill_of(subject), 8.0, 8.9)
    assert not wrong(0.0, long_grant(), held=held)


@pytest.mark.parametrize(
    ("line", "held_s"),
    [
        ({"message": LEADING, "held_s": 0.0}, 0.0),
        ({"message": LEADING, "held_s": None}, None),
        ({"message": ANSWERED, "held_s": 2.0, "servers": 0}, 2.0),
        ({"message": ANSWERED, "held_s": 2.0, "servers": 3}, None),
        ({"message": "granted"}, None),
    ],
    ids=["resigned", "lost", "answered for all", "answered for some", "other"],
)
def test_statements_are_read_from_logs(
    line: dict[str, Any], held_s: float | None
) -> None:
    """Guards against a check that finds no statement."""
    at = {"at": "1970-01-01T00:00:09.000+00:00"}
    before = Statement(host="host-0", led_s=3.0, at_s=3.0, held_s=None)
    found = statement_of("host-0", at | line, clock_offset_s=5.0, former=[before])
    assert (found.held_s if found is not None else None) == held_s
    assert found is None or found.led_s == (3.0 if line["message"] == ANSWERED else 4.0)
    assert found is None or found.at_s == 4.0


def test_lines_without_a_time_are_no_statement() -> None:
    """Guards against soaks that end as a host leaves lines of its log out."""
    line = {"message": "log lines left out", "lines": 3}
    assert statement_of("host-0", line, clock_offset_s=0.0) is None
