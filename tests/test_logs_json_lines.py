"""Log lines are JSON objects with step and peer, and without callers' keys."""

import io
import json
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest
from twisted.logger import Logger

from gentianwharf.errors import OutcomeUnknownError, RefusedError
from gentianwharf.logs import configure, log


@contextmanager
def logging_to(**options: Any) -> Iterator[io.StringIO]:
    stream = io.StringIO()
    setup = configure(stream=stream, **options)
    try:
        yield stream
    finally:
        setup.close()


def lines(stream: io.StringIO) -> list[dict[str, Any]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_error_carries_step_and_peer() -> None:
    with logging_to() as stream:
        try:
            raise OutcomeUnknownError("no answer", step="swap", peer="10.0.0.1:80")
        except OutcomeUnknownError:
            log.exception("store write")
    (line,) = lines(stream)
    assert line["level"] == "ERROR"
    assert line["message"] == "store write"
    assert (line["step"], line["peer"]) == ("swap", "10.0.0.1:80")


def test_group_lists_its_members() -> None:
    members = [
        RefusedError("full", step="admit", peer=f"10.0.0.{n}:80") for n in (1, 2)
    ]
    with logging_to() as stream:
        try:
            raise ExceptionGroup("grants", members)
        except ExceptionGroup:
            log.exception("tick")
    (line,) = lines(stream)
    assert [member["peer"] for member in line["errors"]] == [
        "10.0.0.1:80",
        "10.0.0.2:80",
    ]


@pytest.mark.parametrize(
    ("private_fields", "expected"),
    [
        pytest.param(False, "withheld", id="withheld"),
        pytest.param(True, "club-12", id="asked-for"),
    ],
)
def test_key_is_logged_only_if_enabled(private_fields: bool, expected: str) -> None:
    with logging_to(private_fields=private_fields) as stream:
        log.info("moved", extra={"key": "club-12", "shard": 3})
    (line,) = lines(stream)
    assert (line["key"], line["shard"]) == (expected, 3)


def test_multi_line_message_stays_one_object() -> None:
    with logging_to() as stream:
        log.info("first\nsecond")
    assert lines(stream)[0]["message"] == "first\nsecond"


def test_twisted_log_is_forwarded_with_its_failure() -> None:
    with logging_to() as stream:
        twisted_log = Logger(namespace="twisted.test")
        twisted_log.debug("hidden")
        try:
            raise RefusedError("no", step="connect", peer="10.0.0.9:80")
        except RefusedError:
            twisted_log.failure("lost {what}", what="it")
    (line,) = lines(stream)
    assert line["message"] == "lost it"
    assert line["logger"] == "twisted.test"
    assert (line["step"], line["peer"]) == ("connect", "10.0.0.9:80")


def test_record_below_level_is_dropped() -> None:
    with logging_to(level="WARNING") as stream:
        log.info("quiet")
        log.warning("loud")
    assert [line["message"] for line in lines(stream)] == ["loud"]
