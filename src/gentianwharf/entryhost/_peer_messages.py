"""Messages between hosts, and their items in the store."""

from typing import Annotated

import msgspec

from gentianwharf.addresses import split_port
from gentianwharf.errors import InputError

STEP = "read-hosts"

_DECODE_ERRORS = (msgspec.DecodeError, ValueError, RecursionError)
"""RecursionError is raised for values that are nested too deeply."""

MAX_MESSAGE_BYTES = 1_000_000
"""Maximum size of a message; hosts reject larger ones."""

NO_REVISION = 0
"""The revision of a host that has no copy of the store, or an incomplete one."""


class LoadReport(msgspec.Struct, array_like=True):
    """Sums of the load that one server reported in its answers."""

    running: float
    waiting: float
    answers: float
    executed: float
    unqueued: float
    unqueued_s: float
    unanswered: float


class ServerNoticeReport(msgspec.Struct, array_like=True, frozen=True):
    """What a server stated in its last answer.

    ``max_requests_per_s`` is its limit for all hosts together, None if it has ended.
    """

    max_requests_per_s: float | None = None
    is_leaving: bool = False


Notices = dict[str, ServerNoticeReport]
"""What servers stated in their last answers, by server."""


MAX_REPEATS = 2**31
RepeatCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_REPEATS)]
Bandwidth = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]
ClockTime = Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]
RepeatShare = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_REPEATS)]


class Report(msgspec.Struct, array_like=True, tag="report"):
    """The observations of one host since its last report.

    ``requests`` counts by service and shard, ``loads`` is by service and server,
    ``notices`` by server. ``missing_after`` is set on a host that cannot fetch changes:
    the revision after which they are missing. ``domain`` and ``cores`` are those of
    ``HostAddress``. ``incarnation`` is that of ``HostIdentity``, ``unconfirmed`` counts
    by service the repeats that may be unconfirmed at the next report.
    ``rules_revision`` is that of the newest rules that the host has received.
    ``link_bytes_per_s`` is that of ``HostAddress``.
    """

    host: str
    address: str
    requests: dict[str, dict[int, int]]
    loads: dict[str, dict[str, LoadReport]]
    missing_after: int | None = None
    notices: Notices = {}
    domain: str = ""
    cores: float = 0.0
    incarnation: int = 0
    unconfirmed: dict[str, RepeatCount] = {}
    rules_revision: int = 0
    link_bytes_per_s: Bandwidth = 0.0


class GrantNotice(msgspec.Struct, array_like=True):
    """A span that has just been granted to its holder."""

    service: str
    first: int
    last: int
    token: int


class EncodedChange(msgspec.Struct, array_like=True):
    """An item as it was written, or without a value if it was removed.

    A large value is compressed against the item's value at ``base_revision``, or
    without a base if that is 0. Most changes of a table affect few of its spans, and a
    table of 15 kB for each of 86 hosts takes two seconds on a link of 5 Mbit/s.
    """

    key: str
    revision: int
    value: bytes | None
    lease_id: int
    base_revision: int | None


MAX_NAME_CHARACTERS = 255
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]


class HostIdentity(msgspec.Struct, array_like=True):
    """A process of a host and the address on which it receives reports.

    It is stored as the leader's item. ``incarnation`` is a random number drawn at each
    start: a restarted host has lost all state.
    """

    host: Name
    address: Name
    incarnation: int = 0


UPDATE_FORMAT = "news-3"
"""Changes whenever the encoding of ``LeaderUpdate`` changes. Hosts of another release
then fail to decode it and watch the store, instead of misreading it."""


class LeaderUpdate(msgspec.Struct, array_like=True, tag=UPDATE_FORMAT):
    """An update from the leader: number of hosts, finished moves, changes of the store.

    ``changes`` are all changes between two revisions, and there were no others until
    ``age_s`` ago, when the store last answered the leader; None if that is uncertain.
    ``term`` is the revision at which the leader's item was written: a host that cannot
    read the store follows the leader with the highest term. ``rules_revision`` is that
    of the newest rules that are known to exist, also if the leader lacks them.
    ``sent_s`` is the leader's clock when it sent the update.
    """

    leader: HostIdentity
    term: int
    host_count: int
    granted: list[GrantNotice]
    age_s: float | None
    after_revision: int
    revision: int
    changes: list[EncodedChange]
    rules_revision: int = 0
    sent_s: ClockTime | None = None


class Receiver(msgspec.Struct, array_like=True):
    """A host of a relay tree whose hosts are listed in pre-order.

    ``descendants`` is the number of hosts after it that receive the message from it,
    directly or through other hosts.
    """

    address: Name
    descendants: Annotated[int, msgspec.Meta(ge=0)]


class RelayedUpdate(msgspec.Struct, array_like=True, tag="relayed"):
    """An update of the leader that its receiver relays to ``receivers``.

    ``update.age_s`` is the age at the time when the leader sent it.
    """

    update: LeaderUpdate
    receivers: list[Receiver]


class SpeedUpdate(msgspec.Struct, array_like=True, tag="speeds"):
    """The leader's estimates of servers' speeds, in percent of the mean, by server."""

    leader: HostIdentity
    term: int
    percent: dict[str, int]


class NoticeUpdate(msgspec.Struct, array_like=True, tag="notices"):
    """What servers stated in their answers to any host, by server."""

    leader: HostIdentity
    term: int
    notices: Notices


class InheritedUpdate(msgspec.Struct, array_like=True, tag="inherited"):
    """The repeats of ended processes that a host has to count as its own, by service.

    ``is_known`` is False if the leader does not know the host's previous process.
    Another process of the host than the one with this ``incarnation`` ignores it.
    """

    leader: HostIdentity
    term: int
    incarnation: int
    repeats: dict[str, RepeatShare]
    is_known: bool


class StatedHost(msgspec.Struct, array_like=True, frozen=True):
    """The repeats that a host has stated last, and those of its earlier processes.

    ``age_ms`` is how long ago it stated them when the message was sent.
    """

    host: str
    incarnation: int
    repeats: dict[str, RepeatCount]
    left: dict[str, RepeatCount]
    age_ms: Annotated[int, msgspec.Meta(ge=0)]


class StatedWrites(msgspec.Struct, array_like=True, tag="stated-writes"):
    """The leader's record of repeats that may still arrive.

    It is kept by some hosts, its deputies, which send it to the next leader. Hosts that
    are not in it have stated none.
    """

    leader: HostIdentity
    term: int
    hosts: list[StatedHost]


class CrashReport(msgspec.Struct, array_like=True):
    """The end of a server while a request was there.

    ``age_ms`` is how long ago it was noticed when the message was sent, since the
    clocks of hosts differ. The other fields are those of ``ServerCrash``.
    """

    digest: bytes
    head: bytes
    incarnation: str
    age_ms: int
    ended_unix_ms: int
    evidence: str
    host: str
    request_id: str
    service: str
    is_correlated: bool
    is_permitted: bool = False
    try_id: str = ""


class TryReport(msgspec.Struct, array_like=True):
    """A try of a suspected request, sent before it is written to a server.

    ``age_ms`` is how long ago it was counted when the message was sent. The other
    fields are those of ``PermittedTry``.
    """

    digest: bytes
    head: bytes
    try_id: str
    age_ms: int
    begun_unix_ms: int
    host: str
    request_id: str
    state: int


class ClearReport(msgspec.Struct, array_like=True):
    """That a whole run of a request clears it of ends of servers and of tries.

    ``evidence_ids`` are the incarnations of the servers and the ids of the tries.
    """

    digest: bytes
    evidence_ids: list[str]


class QuarantineNews(msgspec.Struct, array_like=True, tag="quarantine"):
    """What a host found out about requests under which servers end.

    The leader sends each of these to all hosts, its sender included, which then knows
    that they have it. ``serial`` counts the messages of ``host``.
    """

    host: str
    serial: int
    crashes: list[CrashReport] = []
    cleared: list[ClearReport] = []
    is_relayed: bool = False
    tries: list[TryReport] = []


class PermitRequest(msgspec.Struct, array_like=True, tag="permit"):
    """Request to run a suspected request before any other host does.

    ``address`` is where the host receives the answer, ``duration_ms`` how long the run
    may take.
    """

    digest: bytes
    host: str
    address: str
    serial: int
    duration_ms: int


class PermitAnswer(msgspec.Struct, array_like=True, tag="permit-answer"):
    """Whether the permit was free; ``serial`` is that of the request."""

    serial: int
    granted: bool


class PermitEnd(msgspec.Struct, array_like=True, tag="permit-end"):
    """That a run is over, or did not take place."""

    digest: bytes
    host: str
    serial: int


class RecordsRequest(msgspec.Struct, array_like=True, tag="records"):
    """Request of a host that may have missed news; ``address`` gets the answer."""

    address: str


class RecordsReply(msgspec.Struct, array_like=True, tag="records-reply"):
    """All that a host knows of requests under which servers end.

    ``is_current`` is False if it may itself have missed news.
    """

    crashes: list[CrashReport] = []
    tries: list[TryReport] = []
    is_current: bool = True


QuarantineMessage = (
    QuarantineNews
    | PermitRequest
    | PermitAnswer
    | PermitEnd
    | RecordsRequest
    | RecordsReply
)


class StoreSnapshot(msgspec.Struct, array_like=True, tag="everything"):
    """All items of the store at a revision, sent by the leader of a term.

    It is sent to a host without a copy of the store, or if the changes that the host
    lacks are unknown.
    """

    leader: HostIdentity
    term: int
    revision: int
    items: list[EncodedChange]


class HostAddress(msgspec.Struct, array_like=True, frozen=True):
    """A host and its address for other hosts; a list of them is kept in the store.

    A host of an earlier release does not state its failure domain and its cores: it
    cannot grant slots to others. One that does not state the bandwidth of its link
    relays no updates.
    """

    host: Name
    address: Name
    domain: str = ""
    cores: float = 0.0
    link_bytes_per_s: Bandwidth = 0.0


class RemainingGrantsRequest(msgspec.Struct, array_like=True, tag="asked-holds"):
    """Request from a new leader to the previous one for its remaining grants.

    ``revision`` is the new leader's term; ``address`` is where it receives the
    response. ``lease_id`` identifies the previous leader's term.
    """

    address: str
    incarnation: int
    revision: int
    lease_id: int = 0


class RemainingGrant(msgspec.Struct, array_like=True):
    """How long a server process may still hold a grant."""

    server_id: str
    born_ms: int
    address: str
    held_s: float


class RemainingGrantsResponse(msgspec.Struct, array_like=True, tag="told-holds"):
    """The remaining grants of an incarnation, which makes no more grants.

    ``ended_s`` is the minimum time since the end of that process if another one has
    replaced it; None if the process itself responds. ``revision`` is copied from the
    request. ``others_s`` is infinite if the process did not take over in that term.
    """

    incarnation: int
    revision: int
    ended_s: float | None
    others_s: float = 0.0
    held: list[RemainingGrant] = []


FromLeader = (
    LeaderUpdate
    | SpeedUpdate
    | NoticeUpdate
    | InheritedUpdate
    | StatedWrites
    | StoreSnapshot
)
"""Messages that only the leader sends."""

Message = (
    Report
    | FromLeader
    | RelayedUpdate
    | RemainingGrantsRequest
    | RemainingGrantsResponse
    | QuarantineMessage
)


def decode_message(data: bytes) -> Message:
    """Decode a message of another host; raises ``msgspec.DecodeError``."""
    return msgspec.msgpack.decode(data, type=Message)


def decode_identity(value: bytes, *, peer: str) -> HostIdentity:
    """Return the host that an item of the store names; raises ``InputError``."""
    try:
        identity = msgspec.json.decode(value, type=HostIdentity)
        split_port(identity.address)
    except _DECODE_ERRORS as error:
        raise InputError(
            f"expected the identity of a host: {error}", step=STEP, peer=peer
        ) from error
    return identity


def decode_hosts(value: bytes, *, peer: str) -> tuple[list[HostAddress], int]:
    """Return the hosts in an item of the store, and how many can't be read.

    Raises ``InputError`` if the item is no list.
    """
    try:
        items = msgspec.json.decode(value, type=list[msgspec.Raw])
    except _DECODE_ERRORS as error:
        raise InputError(
            f"expected a list of hosts: {error}", step=STEP, peer=peer
        ) from error
    hosts = []
    for item in items:
        try:
            host = msgspec.json.decode(item, type=HostAddress)
            split_port(host.address)
        except _DECODE_ERRORS:
            continue
        hosts.append(host)
    return hosts, len(items) - len(hosts)
