"""Store values that can't be read: damaged, edited by hand, or of a newer version."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianwharf.errors import InputError
from gentianwharf.ownership._messages import Item, Items
from gentianwharf.ownership._table import (
    CHUNK_SHARDS,
    first_chunk,
    pack_chunk,
    unpack_chunk,
)
from gentianwharf.ownership._tables import Tables
from tests.builders_ownership import SERVICE, World

TARGETS = {shard: f"calendrier-{shard % 3}" for shard in range(40)}
PACKED = pack_chunk(first_chunk(SERVICE, 0, TARGETS))


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.integers(0, len(PACKED) - 1), st.integers(0, 255), st.integers(0, 255))
def test_damaged_chunk_is_read_or_named(place: int, first: int, second: int) -> None:
    """Some bytes of a stored table are damaged.

    Without checks, two in five such values raised an IndexError or a KeyError, which
    names neither the value nor a remedy.
    """
    damaged = bytearray(PACKED)
    damaged[place] = first
    damaged[-place - 1] = second
    try:
        chunk = unpack_chunk(bytes(damaged), service=SERVICE, number=0)
    except InputError as error:
        assert error.peer == f"table/{SERVICE}/0"
        assert "got" in str(error)
    else:
        owners = {entry.owner for entry in chunk.entries.values()}
        assert all(0 <= shard < CHUNK_SHARDS for shard in chunk.entries)
        assert len(owners) <= len(TARGETS)


@pytest.mark.parametrize(
    "item",
    [
        pytest.param(Item(f"table/{SERVICE}/1", 9, PACKED), id="of-another-chunk"),
        pytest.param(Item(f"table/{SERVICE}/x", 9, PACKED), id="no-number"),
        pytest.param(Item("witnesses/lac", 9, b"\xc1"), id="no-list"),
    ],
)
def test_value_that_cannot_be_read_changes_nothing(item: Item) -> None:
    tables = Tables(shards={SERVICE: 2 * CHUNK_SHARDS})
    checksum = tables.checksum
    with pytest.raises(InputError):
        tables.install(item)
    assert tables.versions == {}
    assert tables.checksum == checksum
    assert tables.chunks(SERVICE) == {}


def test_value_that_cannot_be_read_does_not_take_the_others_along() -> None:
    """A host of a newer version writes a table that this host can't read.

    The other values of the same message must not be lost.
    """
    world = World(shards=4)
    world.settle()
    host = world.hosts["lac-1"]
    known = host.system.state().versions
    table = f"table/{SERVICE}/0"
    good = Item("table/elsewhere/0", 10**6, b"")
    items = Items(items=[Item(table, 10**6, b"?"), good])
    host.system.received("lac-2", items)
    assert host.system.state().versions == {**known, good.key: good.revision}
    assert any(event == "value-not-read" for _, event, _ in world.logged)
