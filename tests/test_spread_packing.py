"""Packed values, as sent between hosts."""

import zlib
from random import Random

import pytest

from gentianwharf.errors import PeerMismatchError
from gentianwharf.infra import MOST_VALUE_BYTES, VersionedValue
from gentianwharf.spread._packing import DEFLATED, PLAIN, PackedValues, pack, unpack


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"x", id="small"),
        pytest.param(bytes(MOST_VALUE_BYTES), id="largest"),
        pytest.param(Random(1).randbytes(MOST_VALUE_BYTES), id="incompressible"),
    ],
)
def test_value_comes_back_as_packed(value: bytes) -> None:
    packed = pack(value)
    assert len(packed) <= len(value) + 1
    assert unpack(packed, peer="lac-1") == value


@pytest.mark.parametrize(
    "packed",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\x07abc", id="other-kind"),
        pytest.param(DEFLATED + b"abc", id="not-deflated"),
        pytest.param(DEFLATED + zlib.compress(b"a" * 999)[:-6], id="cut-short"),
        pytest.param(DEFLATED + zlib.compress(b"a" * 999) + b"x", id="more-after"),
        pytest.param(
            DEFLATED + zlib.compress(bytes(MOST_VALUE_BYTES + 1)), id="too-large"
        ),
    ],
)
def test_invalid_packed_value_is_rejected(packed: bytes) -> None:
    with pytest.raises(PeerMismatchError):
        unpack(packed, peer="lac-1")


def test_small_values_stay_plain() -> None:
    assert pack(b"a" * 100)[:1] == PLAIN


def test_received_packed_form_is_reused() -> None:
    values = PackedValues()
    old, new = (
        VersionedValue(key="rules", value=b"x" * 1_000, revision=number)
        for number in (1, 2)
    )
    values.put(old, b"as it came")
    assert values.get(old) == b"as it came"
    assert unpack(values.get(new), peer="lac-1") == new.value
