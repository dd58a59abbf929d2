"""What a leader leaves behind, for the next one to know which grants may still hold."""

from dataclasses import dataclass, field
from typing import final

import msgspec

from gentianwharf.logs import log
from gentianwharf.store import Item

from ._table import Holder


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Former:
    """The leader before: ``value`` is what the others should know of it.

    ``is_settled``: no grant of leaders before it holds any more. ``held_s`` is for how
    long its own may hold, counted from when it resigned; None if it did not.
    """

    value: bytes
    is_settled: bool
    held_s: float | None


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RemainingGrants:
    """For how long the grants of a host hold that gives none any more.

    ``others_s`` counts for every holder that is not in ``by_holder_s``.
    """

    others_s: float
    by_holder_s: dict[Holder, float] = field(default_factory=dict)


class _StoredFormer(msgspec.Struct, array_like=True):
    value: bytes
    is_settled: bool
    held_s: float | None


def encode_former(former: Former) -> bytes:
    """Return the word of a leader as it stands in the store."""
    return msgspec.json.encode(
        _StoredFormer(former.value, former.is_settled, former.held_s)
    )


def decode_former(item: Item | None) -> Former | None:
    """Return who led before; None if nobody did, or if its word can't be read."""
    if item is None:
        return None
    try:
        stored = msgspec.json.decode(item.value, type=_StoredFormer)
    except msgspec.DecodeError as error:
        log.warning(
            "a leader's word on its grants can't be read: {}",
            error,
            extra={"peer": item.key, "revision": item.revision},
        )
        return None
    return Former(
        value=stored.value, is_settled=stored.is_settled, held_s=stored.held_s
    )
