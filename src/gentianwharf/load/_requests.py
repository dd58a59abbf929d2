"""What the gate is asked and what it answers; plain frozen data.

Times ending in ``_s`` are readings of the reactor's clock, in seconds, unless they
are plainly lengths (``elapsed_s``, ``retry_after_s``).
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Self, final

# Classes with a deadline at least this long are transfers and leisure reads
# (30 s and 60 s in both examples), the others are looked at by a waiting person.
LONG_DEADLINE_MS = 10_000
# Share of the deadline that a request may spend waiting at the router: 100 ms of a
# consultation's 2 s. Longer queues add delay and hardly an answer.
WAIT_SHARE = 0.05
# Most slots of a service that long requests may hold, so that short ones find one.
LONG_SLOT_SHARE = 0.5


class Discipline(StrEnum):
    """Which of a class's waiting requests goes first, inside a fair round."""

    OLDEST_FIRST = "oldest-first"
    NEWEST_FIRST = "newest-first"
    EARLIEST_DEADLINE = "earliest-deadline"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RequestClass:
    """How the requests of a class are treated.

    ``weight`` is the class's share of server time while others wait too,
    ``max_wait_ms`` the longest expected wait that is still admitted, ``slot_share``
    the most of a service's slots that the class may hold, ``hedged`` whether a late
    repeatable request may be sent to a second server.
    """

    name: str
    deadline_ms: int
    weight: int = 1
    discipline: Discipline = Discipline.OLDEST_FIRST
    max_wait_ms: float = 100.0
    slot_share: float = 1.0
    hedged: bool = False

    @classmethod
    def from_deadline(cls, *, name: str, deadline_ms: int, weight: int) -> Self:
        """Return the treatment that suits a class with this deadline.

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
        """Whether the class is kept from holding all slots."""
        return self.slot_share < 1.0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """A request that asks to be sent.

    ``server`` is the owner's id for a keyed service, or the server that a repeated
    ``Idempotency-Key`` must reach; None lets the gate choose.
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


# The server itself, or the missing connection, proves that nothing was run.
PROVES_NOT_RUN = frozenset(
    {OutcomeKind.SHED, OutcomeKind.NOT_OWNER, OutcomeKind.CONNECT_FAILED}
)


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """What a sent request came to, and how long it took from ``Start``."""

    kind: OutcomeKind
    elapsed_s: float
    retry_after_s: float | None = None


class RefuseReason(StrEnum):
    """Why a request was refused; it was not run."""

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
    """The request waits; a later decision names it."""

    ticket_id: str


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """Answer at once that the request was not run and when to come back."""

    ticket_id: str
    reason: RefuseReason
    retry_after_s: float


Decision = Start | Wait | Refuse
