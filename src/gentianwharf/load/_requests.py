"""The gate's input and output types; immutable data.

Names that end in ``_s`` are readings of the reactor's clock in seconds, except for
durations such as ``elapsed_s`` and ``retry_after_s``.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Self, final

# Classes with a deadline at least this long are transfers and archive reads (30 s and
# 60 s in both examples); for the other classes a person is waiting for the answer.
LONG_DEADLINE_MS = 10_000
# The share of the deadline that a request may spend waiting at the router: 100 ms for a
# deadline of 2 s. Longer queues add delay and hardly any more answers.
WAIT_SHARE = 0.05
# The share of a service's slots that long requests may hold, so that slots are left for
# short ones.
LONG_SLOT_SHARE = 0.5


class Discipline(StrEnum):
    """The order in which a class's waiting requests are served within a fair round."""

    OLDEST_FIRST = "oldest-first"
    NEWEST_FIRST = "newest-first"
    EARLIEST_DEADLINE = "earliest-deadline"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RequestClass:
    """Scheduling parameters of a request class.

    ``weight`` is the class's relative share of server time while other classes wait,
    ``max_wait_ms`` the longest expected wait with which a request is queued,
    ``slot_share`` the largest share of a service's slots that the class may hold, and
    ``hedged`` whether a late repeatable request may be sent to a second server.
    ``priority`` is the rank among the classes of a dispatched service, 0 the most
    urgent. ``target_latency_ms`` is the time within which an answer has its full value,
    0 if it is the whole deadline.
    """

    name: str
    deadline_ms: int
    weight: int = 1
    discipline: Discipline = Discipline.OLDEST_FIRST
    max_wait_ms: float = 100.0
    slot_share: float = 1.0
    hedged: bool = False
    priority: int = 0
    target_latency_ms: int = 0

    @classmethod
    def from_deadline(cls, *, name: str, deadline_ms: int, weight: int) -> Self:
        """Return a class with parameters derived from its deadline.

        >>> RequestClass.from_deadline(name="upload", deadline_ms=30_000, weight=4)
        ... # doctest: +ELLIPSIS
        RequestClass(name='upload', ..., max_wait_ms=1500.0, slot_share=0.5, ...)
        """
        long = deadline_ms >= LONG_DEADLINE_MS
        return cls(
            name=name,
            deadline_ms=deadline_ms,
            weight=weight,
            discipline=(
                Discipline.EARLIEST_DEADLINE if long else Discipline.OLDEST_FIRST
            ),
            max_wait_ms=deadline_ms * WAIT_SHARE,
            slot_share=LONG_SLOT_SHARE if long else 1.0,
            hedged=not long,
        )

    @property
    def long(self) -> bool:
        """Whether the class may hold only a share of the slots."""
        return self.slot_share < 1.0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """A request to be admitted.

    ``server`` is the id of the owner for a keyed service, or of the server that a
    repeated ``Idempotency-Key`` must be sent to; None lets the gate choose.
    """

    id: str
    service: str
    request_class: str
    caller: str
    deadline_s: float
    key: str | None = None
    shard: int | None = None
    repeatable: bool = False
    server: str | None = None


class OutcomeKind(StrEnum):
    """How a request that was sent ended."""

    OK = "ok"
    SLOW = "slow"
    SHED = "shed"
    NOT_OWNER = "not-owner"
    CONNECT_FAILED = "connect-failed"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"


# For these, the server's answer or the failed connection proves that the request was
# not run.
PROVES_NOT_RUN = frozenset(
    {OutcomeKind.SHED, OutcomeKind.NOT_OWNER, OutcomeKind.CONNECT_FAILED}
)


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """How a sent request ended, and how long it took since its ``Start``.

    ``work_s`` is the time until the head of the answer, None if it is not known apart
    from ``elapsed_s``.
    """

    kind: OutcomeKind
    elapsed_s: float
    retry_after_s: float | None = None
    work_s: float | None = None


class RefuseReason(StrEnum):
    """Why a request was refused without being run."""

    OVERLOAD = "overload"
    DEADLINE = "deadline"
    NO_SERVER = "no-server"
    RETRY_BUDGET = "retry-budget"
    NOT_REPEATABLE = "not-repeatable"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Start:
    """Send the request to ``server`` now; ``hedge`` marks a second, parallel send."""

    ticket_id: str
    server: str
    hedge: bool = False


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Wait:
    """The request is queued; a later decision contains its ``ticket_id``."""

    ticket_id: str


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """Answer at once that the request was not run and when it may be retried."""

    ticket_id: str
    reason: RefuseReason
    retry_after_s: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class QueryLoad:
    """Query ``servers`` for their load after ``delay_s``, then call ``Gate.place``."""

    ticket_id: str
    servers: tuple[str, ...]
    delay_s: float = 0.0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class AcquireSlot:
    """Acquire a slot for the request from the dispatcher of its servers.

    ``server`` is the only server that may run the request, None if any server of the
    service may. ``work_s`` is the usual service time of the class, 0 if it is unknown.
    ``max_wait_s`` is the longest wait after which an answer is still useful and
    ``target_s`` the time within which it has its full value, both from the arrival.
    ``in_flight`` is what this host has in flight at ``server``.
    """

    ticket_id: str
    server: str | None
    priority: int
    work_s: float
    max_wait_s: float
    target_s: float
    in_flight: int = 0


Decision = Start | Wait | Refuse | QueryLoad | AcquireSlot
