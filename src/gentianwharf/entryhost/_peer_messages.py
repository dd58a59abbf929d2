"""What hosts write to each other."""

import msgspec

NO_REVISION = 0
"""The revision of a host that has no copy of the store, or one with gaps."""


class LoadReport(msgspec.Struct, array_like=True):
    """What answers of one server said of its load, added up."""

    running: float
    waiting: float
    answers: float
    ran: float
    quick: float
    quick_s: float
    unanswered: float


class Report(msgspec.Struct, array_like=True, tag="report"):
    """What one host saw since its last report.

    ``requests`` counts by service and shard, ``loads`` by service and server. A host
    that was told of changes and can't get them says after which revision they are.
    """

    host: str
    address: str
    requests: dict[str, dict[int, int]]
    loads: dict[str, dict[str, LoadReport]]
    missing_after: int | None = None


class GrantNotice(msgspec.Struct, array_like=True):
    """A span whose holder has just been granted it."""

    service: str
    first: int
    last: int
    token: int


class EncodedChange(msgspec.Struct, array_like=True):
    """An item as it was written, or without a value since its removal.

    A large value is compressed against the item's value at ``base_revision``, or by
    itself where that is 0. Most changes of a table touch a few of its spans, and 86
    hosts behind a link of 5 Mbit/s are two seconds away by tables of 15 kB.
    """

    key: str
    revision: int
    value: bytes | None
    lease_id: int
    base_revision: int | None


class HostIdentity(msgspec.Struct, array_like=True):
    """What stands in the store of the leader: its name, and where it hears reports.

    ``process`` is drawn at each start: a host that was started again knows nothing.
    """

    host: str
    address: str
    incarnation: int = 0


UPDATE_FORMAT = "news-3"
"""Changes whenever the form of what News hold does. Hosts of another release then can't
read them and watch the store; they must not take one form for the other."""


class LeaderUpdate(msgspec.Struct, array_like=True, tag=UPDATE_FORMAT):
    """What the leader tells: how many hosts there are, moves done, the store's changes.

    ``changes`` are all between two revisions, and there were no others until
    ``age_s`` ago, when the leader last heard the store; None if it can't tell.
    ``term`` is the revision at which the leader's item was written: a host that can't
    ask the store follows the one with the highest.
    """

    leader: HostIdentity
    term: int
    host_count: int
    granted: list[GrantNotice]
    age_s: float | None
    after_revision: int
    revision: int
    changes: list[EncodedChange]


class StoreSnapshot(msgspec.Struct, array_like=True, tag="everything"):
    """All that stands in the store at a revision, as the leader of a term knows it.

    For a host that knows nothing, or of which it isn't known what it lacks.
    """

    leader: HostIdentity
    term: int
    revision: int
    items: list[EncodedChange]


class HostAddress(msgspec.Struct, array_like=True, frozen=True):
    """A host, and where it hears the others; a list of them stands in the store."""

    host: str
    address: str


class HoldsRequest(msgspec.Struct, array_like=True, tag="asked-holds"):
    """A new leader asks the one before for what its grants hold.

    ``revision`` is that of the new leader's term; ``address`` is where it hears.
    """

    address: str
    incarnation: int
    revision: int


class ServerHold(msgspec.Struct, array_like=True):
    """For how long a life of a server may hold something."""

    server_id: str
    born_ms: int
    address: str
    held_s: float


class HoldsResponse(msgspec.Struct, array_like=True, tag="told-holds"):
    """The answer: for how long grants hold of ``process``, which gives none any more.

    ``ended_s`` is how long ago that process must have ended, since another one runs in
    its place; None if it is the one that answers.
    ``revision`` is the question's.
    """

    incarnation: int
    revision: int
    ended_s: float | None
    others_s: float = 0.0
    held: list[ServerHold] = []
