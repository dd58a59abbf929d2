"""What the relay asks of the parts that decide."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol, final

from gentianwharf.matching import RequestFacts, RuleMatch
from gentianwharf.runs import RunStatus
from gentianwharf.topology import BackendServer

from ._problem import Problem


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """A request as the deciding parts see it; ``deadline_s`` is on the loop's clock."""

    request_id: str
    service: str
    request_class: str
    caller: str
    key: str | None
    shard: int | None
    deadline_s: float
    repeatable: bool
    serial: int = 0

    @property
    def id(self) -> str:
        """What tells the request from every other one on this host.

        Callers may name their requests themselves, and send one again under its name
        while the first is still being served: without a number of this host's own, the
        end of one would be taken for the other's.
        """
        return f"{self.request_id}/{self.serial}" if self.serial else self.request_id


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Owner:
    """The server that owns a shard, under which token, and until when to send.

    ``shard`` is the number of the key's own entry where it has one.

    ``deadline_s`` caps the request's own deadline: a server that freezes with the
    request in its buffers must find it lapsed once the shard may be somebody else's.
    """

    server: BackendServer
    shard: int
    token: int
    deadline_s: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServerLoad:
    """What a server said of its load with an answer."""

    running: int
    waiting: int
    slots: int


class Outcome(StrEnum):
    """How an attempt at a server ended."""

    ANSWERED = "answered"
    NOT_OWNER = "not-owner"
    SHED = "shed"
    CONNECT_FAILED = "connect-failed"
    LOST = "lost"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


class Rules(Protocol):
    """The rules in force."""

    def match(self, facts: RequestFacts) -> RuleMatch | None:
        """Return what the first matching rule says."""

    def with_service(self, match: RuleMatch, service: str) -> RuleMatch:
        """Return ``match`` with another service of its rule's split."""


class Ownership(Protocol):
    """Who owns which shard; both calls raise ``Problem`` when nobody may serve."""

    async def owner(self, ticket: Ticket) -> Owner:
        """Return the owner of the ticket's shard, waiting a bounded time for one."""

    def report_not_owner(self, ticket: Ticket, owner: Owner) -> None:
        """Note that a server refused the shard under this token."""


HedgeCallback = Callable[[BackendServer], None]


class Admission(Protocol):
    """Who is served now, by which server."""

    async def admit(
        self, ticket: Ticket, owner: BackendServer | None, hedge: HedgeCallback
    ) -> BackendServer:
        """Return the server to send to, after waiting if need be.

        ``owner`` is set for a keyed service; ``hedge`` may be called later, once, to
        send a late request to another server as well. Raises ``Problem`` when refused.
        """

    async def admit_retry(
        self,
        ticket: Ticket,
        owner: BackendServer | None,
        hedge: HedgeCallback,
        *,
        after: Outcome,
        avoid: BackendServer,
    ) -> BackendServer:
        """Return the server for another try, if the retry budget allows one."""

    def server_for_key(self, service: str, key: str) -> BackendServer | None:
        """Return the server that every daemon sends an idempotency key to."""

    def finished(
        self,
        ticket: Ticket,
        server: BackendServer,
        outcome: Outcome,
        elapsed_s: float,
        retry_after_s: float | None = None,
    ) -> None:
        """Note how the attempt ended, so that others can go.

        ``retry_after_s`` is for how long a server that sheds wants no work.
        """

    def note_load(
        self, server: BackendServer, load: ServerLoad, elapsed_s: float | None
    ) -> None:
        """Note what a server said of its load with an answer.

        ``elapsed_s`` is how long the answer took, None for a refusal.
        """

    def discard(self, ticket: Ticket) -> None:
        """Forget a request that has had its final answer."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseRecord:
    """What a caller received, for metrics and the decisions' record."""

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


class Observer(Protocol):
    """Told of every answer."""

    def record_response(self, record: ResponseRecord) -> None:
        """Record an answer."""

    def record_refusal(self, request_id: str, problem: Problem) -> None:
        """Record a request that was refused before a rule decided on it."""
