"""Messages between hosts, one tagged union, packed by msgspec."""

from collections.abc import Iterable, Iterator
from typing import final

import msgspec

from gentianwharf.errors import InputError

MOST_MESSAGE_BYTES = 1_000_000
"""What the links between hosts carry in one message."""

MOST_ITEMS_BYTES = 500_000
"""Values in one message, unless a single one is larger."""


class _Message(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    # As arrays: the names of the fields would be most of a question for a right,
    # which is the message that hosts send most.
    pass


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A store value as read or written: key below the customer's, revision, bytes."""

    key: str
    revision: int
    value: bytes


@final
class RightAsk(_Message, frozen=True, kw_only=True, tag=True):
    """Ask each witness of ``domain`` for a right to the versions of the tables.

    ``checksum`` is that of all versions; ``versions`` come along only when the
    witness wants them.
    """

    domain: str
    round: int
    checksum: int
    versions: dict[str, int] | None = None


@final
class RightAnswer(_Message, frozen=True, kw_only=True, tag=True):
    """``good_s`` of right from the moment of asking; 0 when a newer one is known."""

    domain: str
    round: int
    good_s: float


@final
class ShareAsk(_Message, frozen=True, kw_only=True, tag=True):
    """Ask for what is left of another host's rights; versions as in ``RightAsk``.

    Only of the right for ``domain``, unless that is None.
    """

    round: int
    checksum: int
    domain: str | None = None
    versions: dict[str, int] | None = None


@final
class ShareAnswer(_Message, frozen=True, kw_only=True, tag=True):
    """What is left, by domain, from the moment of asking.

    ``others_s`` stands for every domain that is not named and has a witness list in the
    versions of the question: mostly that is all of them.
    """

    round: int
    good_s: dict[str, float]
    others_s: float = 0.0

    def left_s(self, domain: str) -> float:
        """Return what is left of the right for ``domain``."""
        return self.good_s.get(domain, self.others_s)


@final
class VersionsWanted(_Message, frozen=True, kw_only=True, tag=True):
    """The checksum in your question is not mine: ask again with all versions.

    ``domain`` and ``round`` are those of the question, ``is_share`` its kind.
    """

    domain: str | None
    round: int
    is_share: bool


@final
class Announce(_Message, frozen=True, kw_only=True, tag=True):
    """Acknowledge that you know these versions; ``items`` bring them along."""

    domain: str
    round: int
    versions: dict[str, int]
    items: list[Item]


@final
class Acknowledge(_Message, frozen=True, kw_only=True, tag=True):
    """The witness knows the versions of ``round``, and forgets them only by dying.

    ``incarnation`` changes when it restarts; ``witness_revision`` is the newest
    revision of its domain's witness list that it knows.
    """

    domain: str
    round: int
    incarnation: int
    witness_revision: int


@final
class Items(_Message, frozen=True, kw_only=True, tag=True):
    """Store values that the receiver may not have yet."""

    items: list[Item]


@final
class Pull(_Message, frozen=True, kw_only=True, tag=True):
    """Send what is newer than these versions."""

    versions: dict[str, int]


@final
class RecoverAsk(_Message, frozen=True, kw_only=True, tag=True):
    """From a witness that lost its memory, to the other witnesses of its domain."""

    domain: str
    incarnation: int


@final
class RecoverAnswer(_Message, frozen=True, kw_only=True, tag=True):
    """All that a witness with memory knows; the values go ahead as ``Items``."""

    domain: str
    incarnation: int
    versions: dict[str, int]


@final
class ControlAlive(_Message, frozen=True, kw_only=True, tag=True):
    """The sender holds the control lease of ``service`` under ``term``.

    It asks for the counts of the keys in the ``watched`` shards. In a large domain the
    ``holder``'s message is passed on by others; ``number`` grows with each.
    """

    service: str
    holder: str
    term: int
    number: int = 0
    watched: tuple[int, ...] = ()


@final
class DeadlineAsk(_Message, frozen=True, kw_only=True, tag=True):
    """Ask each witness of ``domain`` to remember how long requests may go on.

    Requests for a shard may carry deadlines up to ``wanted_s`` from now; 0 asks only
    for what the witness remembers.
    """

    domain: str
    round: int
    service: str
    wanted_s: dict[int, float]


@final
class DeadlineAnswer(_Message, frozen=True, kw_only=True, tag=True):
    """By shard, how far from now the longest deadline may be that it remembers.

    ``witness_revision`` is the revision of the domain's witness list that it knows.
    """

    domain: str
    round: int
    witness_revision: int
    left_s: dict[int, float]


@final
class Probe(_Message, frozen=True, kw_only=True, tag=True):
    """A server did not answer me: try it and tell ``control`` what you see."""

    server: str
    control: str


@final
class Suspect(_Message, frozen=True, kw_only=True, tag=True):
    """The sender got no answer from ``server``."""

    server: str


@final
class Leaving(_Message, frozen=True, kw_only=True, tag=True):
    """``server`` says itself that it is draining."""

    server: str


@final
class Loads(_Message, frozen=True, kw_only=True, tag=True):
    """Requests per second that the sender sent for its busiest shards.

    ``busy_s`` is how long servers took over the ``answers`` since the last report;
    ``keys`` are counts of the busiest keys in watched shards, and ``watched`` those
    of the shards since they have been watched. ``hosts`` is how many hosts the report
    stands for: in a large fleet a sample of them reports.
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
    """For the control holder: move a shard to a server.

    With a ``key``, that key gets an entry of its own there; an empty ``server`` takes
    the entry away again.
    """

    service: str
    shard: int
    server: str
    key: str | None = None


def batches(items: Iterable[Item]) -> Iterator[Items]:
    """Part ``items`` into messages of a size that the links carry."""
    batch: list[Item] = []
    size = 0
    for item in items:
        if batch and size + len(item.value) > MOST_ITEMS_BYTES:
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
    """Pack a message."""
    return _encoder.encode(message)


def decode(data: bytes, *, peer: str) -> Message:
    """Unpack a message from ``peer``; raises ``InputError`` when it is none."""
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
