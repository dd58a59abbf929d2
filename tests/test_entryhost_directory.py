"""Selection of the servers to send work to, by the entries in the store."""

from itertools import pairwise
from random import Random
from typing import Any

import logbook
from twisted.internet.task import Clock

from gentianwharf.entryhost._directory import (
    COLD_AFTER_EVACUATION_S,
    MAX_REASSIGNED,
    Directory,
)
from gentianwharf.store import Item, Mirror
from tests.builders_keyspace_hosts import SimpleStore
from tests.builders_users_platform import server_entry


def make_directory(clock: Clock, servers: int) -> tuple[Directory, Mirror]:
    mirror = Mirror(store=SimpleStore(clock), prefix="", reactor=clock, rng=Random(1))
    directory = Directory(mirror=mirror, reactor=clock)
    for number in range(servers):
        directory.note_item(*entry(number))
    return directory, mirror


def entry(number: int, **fields: Any) -> tuple[str, Item]:
    key = f"servers/i-{number}"
    value = server_entry(address=f"10.0.0.{number + 1}:80", **fields)
    return key, Item(key=key, value=value, revision=1)


def usable(directory: Directory) -> list[str]:
    return sorted(server.id for server in directory.usable("calendar"))


def holders(directory: Directory) -> list[str]:
    listed = directory.without_starting(directory.candidates("calendar"))
    return sorted(server.id for server in listed)


def test_leaving_server_receives_no_work() -> None:
    directory, _ = make_directory(Clock(), 3)
    directory.note_item(*entry(1, state="draining"))
    assert usable(directory) == ["i-0", "i-2"]


def test_server_with_an_unreadable_entry_is_removed() -> None:
    directory, _ = make_directory(Clock(), 2)
    directory.note_item(*entry(1, slots="many"))
    assert usable(directory) == ["i-0"]


def test_server_with_a_lapsed_entry_receives_no_work() -> None:
    """Guards against sending work to a server that left while the host was cut off.

    After the host has reconnected, the missing entry could also be the result of an
    outage of the store, after which live servers write their entries again. The host
    must stop sending work to the server within two seconds all the same.
    """
    clock = Clock()
    directory, mirror = make_directory(clock, 4)
    clock.advance(20.0)
    mirror.regained_s = clock.seconds()
    directory.note_item("servers/i-2", None)
    assert usable(directory) == ["i-0", "i-1", "i-3"]
    assert len(directory.entries("calendar")) == 4
    clock.advance(2.2)
    assert len(directory.entries("calendar")) == 3


def test_servers_of_an_evacuated_domain_receive_no_work() -> None:
    """Guards against sending work to a domain that the operators are emptying."""
    clock = Clock()
    directory, _ = make_directory(clock, 1)
    directory.note_item(*entry(1, zone="charguia"))
    changed: list[str] = []
    directory.on_change = changed.append
    directory.set_evacuated("charguia", True)
    assert usable(directory) == ["i-0"]
    assert [server.id for server in directory.candidates("calendar")] == ["i-0"]
    directory.set_evacuated("charguia", False)
    assert usable(directory) == ["i-0", "i-1"]
    assert changed == ["calendar", "calendar"]


def test_evacuation_holds_although_no_server_is_left() -> None:
    """Guards against ignoring the evacuation of the only domain of a service.

    A lapse of most entries at once is not applied, but an evacuation always is.
    """
    directory, _ = make_directory(Clock(), 3)
    directory.set_evacuated("lac", True)
    assert usable(directory) == []


def test_server_that_joins_an_evacuated_domain_receives_no_work() -> None:
    directory, _ = make_directory(Clock(), 1)
    directory.set_evacuated("charguia", True)
    directory.note_item(*entry(1, zone="charguia"))
    assert usable(directory) == ["i-0"]


def test_starting_servers_hold_no_keys_until_they_are_warm() -> None:
    clock = Clock()
    directory, _ = make_directory(clock, 2)
    directory.note_item(*entry(2, **{"cold-remaining": "3000ms"}))
    changed: list[str] = []
    directory.on_change = changed.append
    assert directory.cold_remaining_s("i-2") == 3.0
    assert holders(directory) == ["i-0", "i-1"]
    clock.advance(3.0)
    assert directory.cold_remaining_s("i-2") == 0.0
    assert holders(directory) == ["i-0", "i-1", "i-2"]
    assert changed == ["calendar"]


def test_holders_that_turn_cold_keep_their_keys() -> None:
    """Guards against moving the keys of servers that turn cold while they run."""
    directory, _ = make_directory(Clock(), 2)
    directory.note_item(*entry(1, **{"cold-remaining": "3000ms"}))
    assert directory.cold_remaining_s("i-1") == 3.0
    assert holders(directory) == ["i-0", "i-1"]


def test_servers_that_all_start_hold_keys_at_once() -> None:
    """Guards against a service without owners while all of its servers are cold."""
    directory, _ = make_directory(Clock(), 0)
    for number in range(3):
        directory.note_item(*entry(number, **{"cold-remaining": "3000ms"}))
    assert holders(directory) == ["i-0", "i-1", "i-2"]


def test_remaining_cold_time_alone_is_no_change() -> None:
    """Guards against applying all servers again with each entry of a cold one."""
    clock = Clock()
    directory, _ = make_directory(clock, 0)
    directory.note_item(*entry(0, **{"cold-remaining": "3000ms"}))
    changed: list[str] = []
    directory.on_change = changed.append
    clock.advance(1.0)
    directory.note_item(*entry(0, **{"cold-remaining": "2000ms"}))
    assert changed == []


def test_servers_are_cold_after_an_evacuation() -> None:
    """Guards against full load on servers whose next entries report that they are cold.

    The evacuation ends before the entries that the servers wrote since are received.
    """
    clock = Clock()
    directory, _ = make_directory(clock, 2)
    directory.set_evacuated("lac", True)
    clock.advance(8.0)
    directory.set_evacuated("lac", False)
    assert directory.cold_remaining_s("i-0") == COLD_AFTER_EVACUATION_S
    clock.advance(COLD_AFTER_EVACUATION_S)
    assert directory.cold_remaining_s("i-0") == 0.0


def test_unreadable_cold_time_leaves_the_server_usable() -> None:
    directory, _ = make_directory(Clock(), 1)
    directory.note_item(*entry(0, **{"cold-remaining": 7}))
    assert usable(directory) == ["i-0"]


def test_lapse_of_most_entries_at_once_is_not_applied_at_once() -> None:
    """Guards against refusing all requests after every entry lapsed in an outage.

    The servers are running, and write their entries again once the store is back.
    """
    clock = Clock()
    directory, mirror = make_directory(clock, 4)
    clock.advance(20.0)
    mirror.regained_s = clock.seconds()
    for number in range(4):
        directory.note_item(f"servers/i-{number}", None)
    assert len(usable(directory)) == 4
    clock.advance(1.0)
    for number in range(3):
        directory.note_item(*entry(number))
    assert usable(directory) == ["i-0", "i-1", "i-2"]
    clock.advance(2.0)
    assert len(directory.entries("calendar")) == 3


def test_lapse_long_after_the_store_recovered_is_applied_at_once() -> None:
    clock = Clock()
    directory, mirror = make_directory(clock, 2)
    mirror.regained_s = clock.seconds()
    clock.advance(20.0)
    directory.note_item("servers/i-1", None)
    assert len(directory.entries("calendar")) == 1


def test_entry_that_breaks_the_decoder_removes_the_former_one() -> None:
    """Guards against keeping a server's former entry after the decoder has failed.

    The new entry makes the decoder raise an error that is not an ``InputError``.
    """
    directory, _ = make_directory(Clock(), 2)
    deep = b'{"newer": ' + b"[" * 10_000 + b"]" * 10_000 + b"}"
    directory.note_item("servers/i-1", Item(key="servers/i-1", value=deep, revision=2))
    assert usable(directory) == ["i-0"]


def test_rejected_entry_is_logged_with_its_revision_for_each_listing() -> None:
    """Guards against a rejected entry that is missing from the log.

    A server's entry is rejected, removed, and rejected again after the server returned
    under the same id. Only the first one was logged, and without its revision.
    """
    directory, _ = make_directory(Clock(), 1)
    with logbook.TestHandler() as logs:
        for revision in (7, 8):
            refused = Item(key="servers/i-9", value=b"{}", revision=revision)
            directory.note_item("servers/i-9", refused)
            directory.note_item("servers/i-9", refused)
            directory.note_item("servers/i-9", None)
    logged = [
        (record.extra["peer"], record.extra["revision"])
        for record in logs.records
        if "not taken" in record.message
    ]
    assert logged == [("servers/i-9", 7), ("servers/i-9", 8)]


def test_servers_listed_together_are_coalesced() -> None:
    """Guards against one notification per listed server when a host starts."""
    clock = Clock()
    directory, _ = make_directory(clock, 0)
    usable_counts: list[int] = []
    directory.on_change = lambda service: usable_counts.append(len(usable(directory)))
    for number in range(200):
        directory.note_item(*entry(number))
    clock.advance(0.05)
    assert usable_counts[-1] == 200
    assert len(usable_counts) <= 10


def test_continuous_changes_are_notified_at_a_bounded_rate() -> None:
    """Guards against overloading the host, and against starving notifications."""
    clock = Clock()
    directory, _ = make_directory(clock, 10)
    clock.advance(5.0)
    notified_s: list[float] = []
    directory.on_change = lambda service: notified_s.append(clock.seconds())
    for step in range(1000):
        state = "draining" if step // 10 % 2 else "ready"
        directory.note_item(*entry(step % 10, state=state))
        clock.advance(0.001)
    assert len(notified_s) <= 30
    assert max(b - a for a, b in pairwise(notified_s)) < 0.06


def test_single_change_is_notified_immediately() -> None:
    clock = Clock()
    directory, _ = make_directory(clock, 3)
    clock.advance(5.0)
    notified: list[str] = []
    directory.on_change = notified.append
    directory.note_item(*entry(1, state="draining"))
    assert notified == ["calendar"]


def test_server_whose_address_another_has_receives_no_work_until_it_moves() -> None:
    """Guards against requests that reach a server of another service."""
    directory, _ = make_directory(Clock(), 3)
    directory.set_reassigned("i-1", "10.0.0.2:80")
    assert usable(directory) == holders(directory) == ["i-0", "i-2"]
    directory.note_item(*entry(1, slots=5))
    assert usable(directory) == ["i-0", "i-2"]
    moved = server_entry(address="10.0.0.77:80")
    directory.note_item("servers/i-1", Item(key="servers/i-1", value=moved, revision=2))
    assert usable(directory) == ["i-0", "i-1", "i-2"]


def test_reassigned_addresses_are_bounded() -> None:
    """Guards against memory that grows with every server that ever ended."""
    directory, _ = make_directory(Clock(), 1)
    for number in range(2 * MAX_REASSIGNED):
        directory.set_reassigned(f"former-{number}", "10.0.0.9:80")
    assert len(directory._reassigned) == MAX_REASSIGNED
