"""Compression of large values against the values that they replace."""

import json
from random import Random
from typing import Any

import pytest

from gentianwharf.entryhost._compression import compress, decompress
from gentianwharf.errors import InputError
from tests.builders_users_platform import configuration, route

FEW_BYTES = 1000


def routes(count: int) -> dict[str, dict[str, Any]]:
    """Return routes with random names and prefixes."""
    rng = Random(count)
    return {
        f"r{rng.getrandbits(64):x}": route(prefix=f"/p{rng.getrandbits(64):x}/")
        for _ in range(count)
    }


def test_small_change_of_many_rules_compresses_to_few_bytes() -> None:
    """Guards against late notice of a leaving server while operators change weights.

    One of 3,500 rules changes. The window of zlib is 32 kB, so without a delta all
    rules are sent, 60 kB for each of 86 hosts, and other updates queue behind them.
    """
    before = routes(3_500)
    name = sorted(before)[1_700]
    after = before | {name: before[name] | {"timeout": "777ms"}}
    base = configuration(routes=before, version="r7")
    value = configuration(routes=after, version="r8")
    packed = compress(value, base)
    assert len(packed) < FEW_BYTES
    assert decompress(packed, base) == value


def test_added_rules_compress_without_the_others() -> None:
    before = routes(3_500)
    base = configuration(routes=dict(sorted(before.items())))
    value = configuration(routes=dict(sorted((before | routes(20)).items())))
    packed = compress(value, base)
    assert len(packed) < 2 * FEW_BYTES
    assert decompress(packed, base) == value


@pytest.mark.parametrize("seed", range(50))
def test_decompress_restores_any_value_from_any_base(seed: int) -> None:
    rng = Random(seed)
    alphabet = [b"[", b"]", b"}", b"{", b",", b'"', b"a", b"\\", bytes(range(256))]
    base = b"".join(rng.choices(alphabet, k=rng.randrange(200)))
    middle = rng.randrange(len(base) + 1)
    value = base[middle:] + b"".join(rng.choices(alphabet, k=9)) + base[:middle]
    for former in (b"", base):
        assert decompress(compress(value, former), former) == value


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x00",
        b"x" * 40,
        compress(b"alone", b""),
        compress(b"[1],[2]" * 50, b"[1],[3]" * 50),
    ],
)
def test_data_compressed_against_another_base_is_rejected(data: bytes) -> None:
    with pytest.raises(InputError, match="can't be decompressed"):
        decompress(data, json.dumps([1, 2]).encode() * 100)
