"""The record of a leader for its successor: which grants may still be valid."""

from dataclasses import dataclass, field
from math import inf
from typing import final

import msgspec

from gentianwharf.logs import log
from gentianwharf.store import Item

from ._table import Holder


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class PreviousLeader:
    """The leader before this one.

    ``value`` identifies it to other hosts. ``earlier_grants_expired`` is true once no
    grant of any leader before it is still valid. ``held_s`` is for how long its own
    grants may remain valid, counted from its resignation; None if it did not resign.
    ``lease_id`` is that of its term's lease.
    """

    value: bytes
    earlier_grants_expired: bool
    held_s: float | None
    lease_id: int


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RemainingGrants:
    """For how long the grants of a host that sends no more remain valid.

    ``others_s`` applies to every holder that is not in ``by_holder_s``. It is infinite
    if the host does not know.
    """

    others_s: float
    by_holder_s: dict[Holder, float] = field(default_factory=dict)


UNKNOWN_GRANTS = RemainingGrants(others_s=inf)
"""The answer of a host that did not take over in the term that it is asked about."""


class _StoredPreviousLeader(msgspec.Struct, array_like=True):
    value: bytes
    earlier_grants_expired: bool
    held_s: float | None
    lease_id: int = 0


def encode_previous_leader(leader: PreviousLeader) -> bytes:
    """Return the record of a leader as it is stored."""
    return msgspec.json.encode(
        _StoredPreviousLeader(
            leader.value,
            leader.earlier_grants_expired,
            leader.held_s,
            leader.lease_id,
        )
    )


def decode_previous_leader(item: Item | None) -> PreviousLeader | None:
    """Return the previous leader; None if there was none or it can't be decoded.

    A record that names no lease was written by a version whose hosts state grants of
    terms that they do not know.
    """
    if item is None:
        return None
    try:
        stored = msgspec.json.decode(item.value, type=_StoredPreviousLeader)
    except (msgspec.DecodeError, RecursionError) as error:
        log.warning(
            "record of the previous leader can't be decoded: {}",
            error,
            extra={"peer": item.key, "revision": item.revision},
        )
        return None
    if not stored.lease_id:
        log.info(
            "record of the previous leader names no lease",
            extra={"peer": item.key, "revision": item.revision},
        )
        return None
    return PreviousLeader(
        value=stored.value,
        earlier_grants_expired=stored.earlier_grants_expired,
        held_s=stored.held_s,
        lease_id=stored.lease_id,
    )
