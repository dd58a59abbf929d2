"""The interfaces through which the relay uses rules, ownership and admission."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol, final

from gentianwharf.matching import RequestFacts, RuleMatch
from gentianwharf.runs import RunStatus
from gentianwharf.topology import BackendServer

from ._body_upload import BodyRecord
from ._problem import Problem


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """The request data that decisions use.

    ``deadline_s`` and ``target_s`` are on the loop's clock. An answer after
    ``target_s``, the end of the target latency, has less value to the caller; None if
    the request has no target latency.
    """

    request_id: str
    service: str
    request_class: str
    caller: str
    key: str | None
    shard: int | None
    deadline_s: float
    repeatable: bool
    serial: int = 0
    target_s: float | None = None

    @property
    def id(self) -> str:
        """An identifier of the request that is unique on this host.

        Callers may choose request ids and may reuse one while the first request is
        still being served. The serial number distinguishes the two, so that the end of
        one is not counted as the end of the other.
        """
        return f"{self.request_id}/{self.serial}" if self.serial else self.request_id


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Owner:
    """The server that owns a shard, with its token and a deadline for sending.

    ``shard`` is the number of the key's own entry if it has one.

    ``deadline_s`` caps the deadline of the request. If a server freezes with the
    request in its buffers, the request must have expired by the time that the shard may
    have another owner.
    """

    server: BackendServer
    shard: int
    token: int
    deadline_s: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServerLoad:
    """The load that a server reported with a response.

    ``slowdown`` is how long work takes there at the moment, as a multiple of the usual
    time; None if the server doesn't report it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServerNotice:
    """What a server states in an answer about the requests that it accepts.

    ``max_requests_per_s`` is its limit for all hosts together, None if it has none.
    ``is_leaving`` means that it will end, and should get no more requests. ``rest_s``
    is the time for which it wants none from this host, None if it refused nothing.
    """

    max_requests_per_s: float | None = None
    is_leaving: bool = False
    rest_s: float | None = None

    @property
    def concerns_sender(self) -> bool:
        """Whether it is about further requests from the host that got the answer."""
        return self.rest_s is not None or self.is_leaving


NO_NOTICE = ServerNotice()


class Outcome(StrEnum):
    """How an attempt at a server ended."""

    ANSWERED = "answered"
    NOT_OWNER = "not-owner"
    SHED = "shed"
    CONNECT_FAILED = "connect-failed"
    LOST = "lost"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptRecord:
    """An attempt at a server, and the connection on which it was sent.

    ``local_port`` identifies the connection, and ``connection_sends`` counts the sends
    on it up to this one; both are 0 if the request was not written.
    """

    server: str
    outcome: Outcome
    local_port: int = 0
    connection_sends: int = 0
    body: BodyRecord | None = None
    """What was sent of the request's body, None if it has none."""

    @property
    def has_cut_body(self) -> bool:
        """Whether the server got only a part of the request's body."""
        return self.body is not None and not self.body.ended

    def __str__(self) -> str:
        sent = f"{self.server} {self.local_port}#{self.connection_sends} {self.outcome}"
        return sent if self.body is None else f"{sent} {self.body}"


class SendCause(StrEnum):
    """Why a request is written to a server: the first time, or after which outcome."""

    FIRST = "first"
    HEDGE = "hedge"
    AFTER_NOT_OWNER = "after-not-owner"
    AFTER_SHED = "after-shed"
    AFTER_CONNECT_FAILED = "after-connect-failed"
    AFTER_LOST = "after-lost"
    AFTER_TIMED_OUT = "after-timed-out"
    AFTER_CANCELLED = "after-cancelled"


class Rules(Protocol):
    """The rules in force."""

    def match(self, facts: RequestFacts) -> RuleMatch | None:
        """Return the match of the first matching rule, None if there is none."""

    def with_service(self, match: RuleMatch, service: str) -> RuleMatch:
        """Return ``match`` with another service of the traffic split of its rule."""


class Ownership(Protocol):
    """The owners of shards; both methods raise ``Problem`` if no server may serve."""

    async def owner(self, ticket: Ticket) -> Owner:
        """Return the owner of the ticket's shard, waiting a limited time for one."""

    def report_not_owner(self, ticket: Ticket, owner: Owner) -> None:
        """Record that a server refused the shard under this token."""


HedgeCallback = Callable[[BackendServer], None]


class Admission(Protocol):
    """Decides when a request is sent, and to which server."""

    async def admit(
        self, ticket: Ticket, owner: BackendServer | None, hedge: HedgeCallback
    ) -> BackendServer:
        """Return the server to send to, after queueing if necessary.

        ``owner`` is set for a keyed service. ``hedge`` may be called later, once, to
        send a late request to another server as well. Raises ``Problem`` if the request
        is refused.
        """

    async def admit_retry(
        self,
        ticket: Ticket,
        owner: BackendServer | None,
        hedge: HedgeCallback,
        *,
        after: Outcome,
        avoid: BackendServer,
        is_repeat: bool,
    ) -> BackendServer:
        """Return the server for a retry, if the retry budget allows one.

        A request that was not written to a server yet is no repeat, and needs none.
        """

    def server_for_key(self, service: str, key: str) -> BackendServer | None:
        """Return the server that every daemon selects for an idempotency key.

        Otherwise a repeat through another daemon would run on a second server, which
        has not received the key.
        """

    def finished(
        self,
        ticket: Ticket,
        server: BackendServer,
        outcome: Outcome,
        elapsed_s: float,
        retry_after_s: float | None = None,
    ) -> None:
        """Record the outcome of an attempt, and admit waiting requests.

        ``retry_after_s`` is the delay that a server that shed the request asked for.
        """

    def note_load(
        self,
        server: BackendServer,
        load: ServerLoad,
        elapsed_s: float | None,
        ticket: Ticket | None = None,
    ) -> None:
        """Record the load that a server reported with the response to ``ticket``.

        ``elapsed_s`` is the response time, None for a refusal.
        """

    def may_still_send(self, server: BackendServer) -> bool:
        """Return whether an admitted request may be sent, once a connection is open."""

    def take_retry(self, ticket: Ticket) -> bool:
        """Take a retry from the budget, just before a request is written once more."""

    def note_send(self, ticket: Ticket, cause: SendCause, path: str) -> None:
        """Record that a request is written to a server.

        ``path`` is the way to it: two writes on it arrive in their order.
        """

    def withdraw_send(self, ticket: Ticket) -> None:
        """Record that no byte of the last write of a request was sent."""

    def note_arrived(
        self, ticket: Ticket, path: str, until_s: float | None = None
    ) -> None:
        """Record that a request that was written has arrived, or never will.

        With ``until_s`` all has arrived that was written on the path until then.
        """

    def note_notice(self, server: BackendServer, notice: ServerNotice) -> None:
        """Record what a server stated in a response, whatever its status."""

    def discard(self, ticket: Ticket) -> None:
        """Discard the state of a request after its final response."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class AccessRecord:
    """What was sent to a caller, for metrics and the record of decisions."""

    ticket: Ticket
    rule: int
    server: str
    domain: str
    status: int
    run: RunStatus
    waited_s: float
    elapsed_s: float
    reason: str
    step: str
    peer: str
    tries: int = 1
    sends: int = 0
    """How often the request was written to a server."""
    through: str = ""
    """The host whose tunnel the last attempt used, empty for a direct connection."""
    attempts: tuple[AttemptRecord, ...] = ()
    """All attempts in the order in which they began, hedges included."""


class Observer(Protocol):
    """Records every response."""

    def record_response(self, record: AccessRecord) -> None:
        """Record a response."""

    def record_refusal(self, request_id: str, problem: Problem) -> None:
        """Record a request that was refused before a rule matched."""
