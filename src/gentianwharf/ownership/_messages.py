"""Messages between hosts: a tagged union, encoded with msgspec."""

from collections.abc import Iterable, Iterator
from typing import final

import msgspec

from gentianwharf.errors import InputError

MOST_MESSAGE_BYTES = 1_000_000
"""Limit that the links between hosts set for one message."""

MAX_ITEMS_BYTES = 500_000
"""Limit for the values in one message, unless a single value is larger."""


class _Message(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    # Encoded as arrays, since field names would make up most of ``RightAsk``, which is
    # the most frequent message.
    pass


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A store value: key relative to the customer's prefix, revision and bytes."""

    key: str
    revision: int
    value: bytes


@final
class RightAsk(_Message, frozen=True, kw_only=True, tag=True):
    """Ask each witness of ``domain`` for a right to the versions of the tables.

    ``checksum`` covers all versions; ``versions`` are sent only after the witness has
    requested them.
    """

    domain: str
    round: int
    checksum: int
    versions: dict[str, int] | None = None


@final
class RightAnswer(_Message, frozen=True, kw_only=True, tag=True):
    """Give a right for ``good_s`` after the request; 0 if a newer version exists."""

    domain: str
    round: int
    good_s: float


@final
class ShareAsk(_Message, frozen=True, kw_only=True, tag=True):
    """Ask for the remaining time of a host's rights; versions as in ``RightAsk``.

    Asks for the right for ``domain`` only, or for all rights if that is None.
    """

    round: int
    checksum: int
    domain: str | None = None
    versions: dict[str, int] | None = None


@final
class ShareAnswer(_Message, frozen=True, kw_only=True, tag=True):
    """Give the remaining time of rights by domain, counted from the request.

    ``others_s`` holds for each domain that is not named and has a witness list in the
    versions of the request; usually these are all domains.
    """

    round: int
    good_s: dict[str, float]
    others_s: float = 0.0

    def left_s(self, domain: str) -> float:
        """Return the remaining time of the right for ``domain``."""
        return self.good_s.get(domain, self.others_s)


@final
class VersionsWanted(_Message, frozen=True, kw_only=True, tag=True):
    """Ask the receiver to repeat its request with all versions.

    The checksum in the request differs from the sender's. ``domain`` and ``round`` are
    those of the request; ``is_share`` says whether it was a ``ShareAsk``.
    """

    domain: str | None
    round: int
    is_share: bool


@final
class Announce(_Message, frozen=True, kw_only=True, tag=True):
    """Ask a witness to acknowledge ``versions``; ``items`` contain their values."""

    domain: str
    round: int
    versions: dict[str, int]
    items: list[Item]


@final
class Acknowledge(_Message, frozen=True, kw_only=True, tag=True):
    """Confirm that the witness has the versions of ``round`` and keeps them in memory.

    It loses them only in a restart, and then its ``incarnation`` changes.
    ``witness_revision`` is the newest revision of its domain's witness list that it
    has installed.
    """

    domain: str
    round: int
    incarnation: int
    witness_revision: int


@final
class Items(_Message, frozen=True, kw_only=True, tag=True):
    """Send store values that the receiver may not have."""

    items: list[Item]


@final
class Pull(_Message, frozen=True, kw_only=True, tag=True):
    """Ask for the values that are newer than ``versions``."""

    versions: dict[str, int]


@final
class RecoverAsk(_Message, frozen=True, kw_only=True, tag=True):
    """Ask the other witnesses of the domain for the state lost in a restart."""

    domain: str
    incarnation: int


@final
class RecoverAnswer(_Message, frozen=True, kw_only=True, tag=True):
    """List the versions of a witness with memory; the values were sent as ``Items``."""

    domain: str
    incarnation: int
    versions: dict[str, int]


@final
class ControlAlive(_Message, frozen=True, kw_only=True, tag=True):
    """Heartbeat of the ``holder`` of the control lease of ``service`` under ``term``.

    It requests the counts of the keys in the ``watched`` shards. In a large domain
    other hosts forward the message; ``number`` increases with each heartbeat.
    """

    service: str
    holder: str
    term: int
    number: int = 0
    watched: tuple[int, ...] = ()


@final
class DeadlineAsk(_Message, frozen=True, kw_only=True, tag=True):
    """Ask each witness of ``domain`` to record the longest deadlines of requests.

    Requests for a shard may carry deadlines up to ``wanted_s`` from now; 0 only asks
    for the deadline that the witness has recorded.
    """

    domain: str
    round: int
    service: str
    wanted_s: dict[int, float]


@final
class DeadlineAnswer(_Message, frozen=True, kw_only=True, tag=True):
    """Give, by shard, the time left until the longest deadline that is recorded.

    ``witness_revision`` is the revision of the domain's witness list that the witness
    has installed.
    """

    domain: str
    round: int
    witness_revision: int
    left_s: dict[int, float]


@final
class Probe(_Message, frozen=True, kw_only=True, tag=True):
    """Ask for a probe of a server that did not answer, with a report to ``control``."""

    server: str
    control: str


@final
class Suspect(_Message, frozen=True, kw_only=True, tag=True):
    """Report that the sender got no answer from ``server``."""

    server: str


@final
class Leaving(_Message, frozen=True, kw_only=True, tag=True):
    """Report that ``server`` itself says that it is draining."""

    server: str


@final
class Loads(_Message, frozen=True, kw_only=True, tag=True):
    """Report the sender's requests per second for its busiest shards.

    ``busy_s`` is the time that servers spent on the ``answers`` since the last report.
    ``keys`` counts requests for the busiest keys in watched shards, and ``watched``
    counts those for each shard since it has been watched. ``hosts`` is the number of
    hosts that the report represents: in a large fleet only a sample of hosts reports.
    """

    service: str
    rates: dict[int, float]
    keys: dict[str, int] = {}
    watched: dict[int, int] = {}
    hosts: float = 1.0
    answers: int = 0
    busy_s: float = 0.0


@final
class MoveRequest(_Message, frozen=True, kw_only=True, tag=True):
    """Ask the control holder to move a shard to a server.

    With a ``key``, only that key is pinned to the server; an empty ``server`` removes
    the pin.
    """

    service: str
    shard: int
    server: str
    key: str | None = None


def batches(items: Iterable[Item]) -> Iterator[Items]:
    """Split ``items`` into messages within the size limit of the links."""
    batch: list[Item] = []
    size = 0
    for item in items:
        if batch and size + len(item.value) > MAX_ITEMS_BYTES:
            yield Items(items=batch)
            batch, size = [], 0
        batch.append(item)
        size += len(item.value)
    if batch:
        yield Items(items=batch)


Message = (
    RightAsk
    | RightAnswer
    | ShareAsk
    | ShareAnswer
    | VersionsWanted
    | Announce
    | Acknowledge
    | Items
    | Pull
    | RecoverAsk
    | RecoverAnswer
    | ControlAlive
    | DeadlineAsk
    | DeadlineAnswer
    | Probe
    | Suspect
    | Leaving
    | Loads
    | MoveRequest
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode(data: bytes, *, peer: str) -> Message:
    """Decode a message from ``peer``; raises ``InputError`` if it is invalid."""
    if len(data) > MOST_MESSAGE_BYTES:
        raise InputError(
            f"expected at most {MOST_MESSAGE_BYTES} bytes, got {len(data)}",
            step="decode ownership message",
            peer=peer,
        )
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise InputError(
            f"expected an ownership message: {error}; is the peer of another version?",
            step="decode ownership message",
            peer=peer,
        ) from error
