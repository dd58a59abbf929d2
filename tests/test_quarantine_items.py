"""Requests that end servers, in the store, on a page and at the command line."""

import io
import json
from types import SimpleNamespace
from typing import Any, cast

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.cli import ExitCode
from gentianwharf.cli._quarantine import list_requests, release
from gentianwharf.cli._terminal import Terminal
from gentianwharf.entryhost._quarantine_items import (
    RELEASED_KEPT_S,
    QuarantineItems,
)
from gentianwharf.entryhost._store_keys import LEADER_KEY
from gentianwharf.errors import InputError
from gentianwharf.platform.standin import Items
from gentianwharf.quarantine import (
    QUARANTINE_PREFIX,
    CrashRecords,
    Standing,
    TryState,
    decode_record,
    encode_record,
)
from gentianwharf.store import Change, Put

from .builders_entryhost import FakeStore
from .builders_quarantine import crash_of, name_of, try_of

NAME = name_of("/culprit")
KEY = QUARANTINE_PREFIX + NAME.digest.hex()


class StoredRecords:
    """A host's records and its part of the store; the host leads."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.backend = Items(now_s=self.clock.seconds)
        self.backend.change(Change(puts=(Put(key=LEADER_KEY, value=b"h1"),)))
        self.store = FakeStore(backend=self.backend, clock=self.clock)
        self.records = CrashRecords(now_s=self.clock.seconds)
        leadership = SimpleNamespace(
            term=SimpleNamespace(revision=self.backend.revision),
            holds_lease=lambda: True,
        )
        self.items = QuarantineItems(
            records=self.records,
            store=cast(Any, self.store),
            leadership=cast(Any, leadership),
            now_s=self.clock.seconds,
        )

    def crash(self, *incarnations: str) -> None:
        for incarnation in incarnations:
            self.records.note_crash(NAME, crash_of(incarnation, at_s=100.0))

    def sync(self) -> None:
        """Write what is due, and read the store again."""
        known = {item.key for item in self.backend.with_prefix(QUARANTINE_PREFIX)}
        self.clock.advance(1.0)
        self.items.tick()
        present = {
            item.key: item for item in self.backend.with_prefix(QUARANTINE_PREFIX)
        }
        for key in known | present.keys():
            self.items.note_item(key, present.get(key))

    def stored(self) -> list[str]:
        return [item.key for item in self.backend.with_prefix(QUARANTINE_PREFIX)]

    def standing(self) -> Standing:
        return self.records.verdict(NAME.digest).standing


def result_of(work: Any) -> Any:
    results: list[Any] = []
    Deferred.fromCoroutine(work).addBoth(results.append)
    return results[0]


def terminal(*, as_json: bool = False) -> Terminal:
    return Terminal(
        out=io.StringIO(), problems=io.StringIO(), prompt=input, as_json=as_json
    )


def text_of(printed: Terminal) -> str:
    return cast(io.StringIO, printed.out).getvalue()


@pytest.mark.parametrize(
    ("incarnations", "is_stored"),
    [(("s1",), False), (("s1", "s2"), True)],
    ids=["one", "two"],
)
def test_requests_that_ended_two_servers_are_stored(
    incarnations: tuple[str, ...], is_stored: bool
) -> None:
    host = StoredRecords()
    host.crash(*incarnations)
    host.sync()
    assert host.stored() == [KEY] * is_stored


def test_replaced_leader_stores_no_requests() -> None:
    """Guards against a late write that replaces what the next leader has written."""
    host = StoredRecords()
    host.crash("s1", "s2")
    host.backend.change(Change(puts=(Put(key=LEADER_KEY, value=b"h2"),)))
    host.sync()
    assert host.stored() == []


def test_host_that_starts_takes_what_is_stored() -> None:
    """Guards against a request whose life begins anew with each host."""
    former, started = StoredRecords(), StoredRecords()
    former.crash("s1", "s2", "s3")
    former.sync()
    (item,) = former.backend.with_prefix(QUARANTINE_PREFIX)
    assert started.items.note_item(item.key, item) == [NAME]
    assert started.standing() is Standing.REFUSED


def test_request_that_is_cleared_leaves_the_store() -> None:
    host = StoredRecords()
    host.crash("s1", "s2")
    host.sync()
    host.records.note_cleared(NAME.digest, ["s1", "s2"])
    host.sync()
    (item,) = host.backend.with_prefix(QUARANTINE_PREFIX)
    assert decode_record(str(NAME), item.value)[1].is_released
    host.clock.advance(RELEASED_KEPT_S)
    host.sync()
    assert not host.stored()


def test_host_learns_from_the_store_that_a_request_was_cleared() -> None:
    """Guards against an innocent that a host without the news refuses for good."""
    host, other = StoredRecords(), StoredRecords()
    host.crash("s1", "s2")
    host.sync()
    other.crash("s1", "s2")
    host.records.note_cleared(NAME.digest, ["s1", "s2"])
    host.sync()
    (item,) = host.backend.with_prefix(QUARANTINE_PREFIX)
    other.items.note_item(KEY, item)
    assert other.standing() is Standing.FREE


def test_item_that_the_store_has_lost_clears_no_request() -> None:
    """Guards against a store that forgot its history, and a leader that knows less."""
    host = StoredRecords()
    host.crash("s1", "s2", "s3")
    host.sync()
    host.items.note_item(KEY, None)
    assert host.standing() is not Standing.FREE
    host.sync()
    assert host.stored() == [KEY]


def test_leader_keeps_the_item_of_a_request_that_it_does_not_know() -> None:
    """Guards against a leader that has just started and lets requests through."""
    host = StoredRecords()
    host.crash("s1", "s2", "s3")
    host.sync()
    host.records = CrashRecords(now_s=host.clock.seconds)
    host.items._records = host.records
    host.clock.advance(1.0)
    host.items.tick()
    assert host.stored() == [KEY]


def test_tries_are_stored_with_what_became_of_them() -> None:
    """Guards against a request whose tries begin anew with a restart of all hosts."""
    host, started = StoredRecords(), StoredRecords()
    host.crash("s1", "s2")
    host.records.note_try(NAME, try_of("t1", at_s=100.0))
    host.records.note_try(NAME, try_of("t2", at_s=100.0))
    host.sync()
    host.records.note_try(NAME, try_of("t2", at_s=100.0, state=TryState.REFUSED))
    host.sync()
    (item,) = host.backend.with_prefix(QUARANTINE_PREFIX)
    started.items.note_item(KEY, item)
    record = started.records.record(NAME.digest)
    assert record is not None
    states = {tried.try_id: tried.state for tried in record.tries.values()}
    assert states == {"t1": TryState.COUNTED, "t2": TryState.REFUSED}


def test_stored_request_that_is_no_record_is_passed_over() -> None:
    host = StoredRecords()
    host.backend.change(Change(puts=(Put(key=KEY, value=b"{}"),)))
    (item,) = host.backend.with_prefix(QUARANTINE_PREFIX)
    assert host.items.note_item(KEY, item) == []
    assert host.standing() is Standing.FREE


def test_operators_list_requests_and_let_them_through() -> None:
    host = StoredRecords()
    host.crash("s1", "s2", "s3")
    host.sync()
    listed, printed = terminal(as_json=True), terminal()
    store = cast(Any, host.store)
    assert result_of(list_requests(store, listed)) is ExitCode.DONE
    (stored,) = json.loads(text_of(listed)).values()
    assert [crash["incarnation"] for crash in stored["crashes"]] == ["s1", "s2", "s3"]
    assert result_of(list_requests(store, printed)) is ExitCode.DONE
    assert f"{NAME}  refused" in text_of(printed)
    released = release(store, terminal(), name=str(NAME))
    assert result_of(released) is ExitCode.DONE
    (item,) = host.backend.with_prefix(QUARANTINE_PREFIX)
    host.items.note_item(KEY, item)
    assert host.standing() is Standing.FREE
    host.crash("s1")
    assert host.standing() is Standing.FREE


def test_unknown_name_is_refused_with_what_to_do() -> None:
    host = StoredRecords()
    failure = result_of(release(cast(Any, host.store), terminal(), name="00"))
    assert isinstance(failure.value, InputError)
    assert "quarantine list" in failure.value.message


def test_records_are_stored_as_they_are_read() -> None:
    host = StoredRecords()
    host.crash("s1")
    record = host.records.record(NAME.digest)
    assert record is not None
    assert b'"evidence":"connections-refused"' in encode_record(record)
