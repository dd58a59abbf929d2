"""The types that hosts, dispatchers and admission exchange; immutable data.

Durations are in seconds and count from the moment at which a message is sent: the
clocks of two hosts are never compared.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol, final


class SlotOutcome(StrEnum):
    """How the use of a granted slot ended."""

    ANSWERED = "answered"
    SHED = "shed"
    NOT_OWNER = "not-owner"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    WITHDRAWN = "withdrawn"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class SlotRequest:
    """A host's request to a dispatcher for a slot of one of the subject's servers.

    ``id`` is unique on the host since the host started. ``server`` is the owner of the
    key, None if any server of the subject may run the request. ``work_s`` is the usual
    service time of the request class, 0 if it is unknown. ``max_wait_s`` is the longest
    wait after which an answer is still useful, ``deadline_s`` the time left.
    ``in_flight`` is what the host has in flight at ``server`` already. Without
    ``may_wait`` the slot is granted immediately or refused.
    """

    id: int
    subject: str
    service: str
    server: str | None
    priority: int
    caller: int
    work_s: float
    max_wait_s: float
    deadline_s: float
    in_flight: int = 0
    may_wait: bool = True


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class SlotGrant:
    """A slot of ``server`` for the request, until the request's deadline."""

    request_id: int
    server: str


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class SlotWaiting:
    """The request is queued; a grant or a refusal follows."""

    request_id: int


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class SlotRefusal:
    """No slot is granted; the caller may come back after ``retry_after_s``."""

    request_id: int
    retry_after_s: float
    reason: str


SlotAnswer = SlotGrant | SlotWaiting | SlotRefusal


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """An answer of the dispatcher, and the host that it is for."""

    host: str
    answer: SlotAnswer


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class SlotReturn:
    """A granted slot is free again, or a waiting request is withdrawn.

    ``work_s`` is the time from sending to the answer, None unless the server ran the
    request. ``running`` and ``waiting`` are what the server reported with its answer,
    without the answered request itself.
    """

    request_id: int
    outcome: SlotOutcome
    work_s: float | None = None
    running: int | None = None
    waiting: int | None = None


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class SlotDemand:
    """What admission states about a request that needs a slot; see ``SlotRequest``.

    ``target_s`` is the time within which the answer has its full value.
    """

    request_id: str
    service: str
    server: str | None
    priority: int
    caller: str
    work_s: float
    max_wait_s: float
    target_s: float
    deadline_s: float
    in_flight: int = 0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class SlotLease:
    """A granted slot on the host that uses it; ``dispatcher`` is the granting host."""

    request_id: int
    subject: str
    server: str
    dispatcher: str


class SlotSource(Protocol):
    """Acquires slots for admission; implemented by the client of the dispatchers."""

    def is_dispatched(self, service: str) -> bool:
        """Return whether the slots of a service are granted by dispatchers."""

    async def acquire(self, demand: SlotDemand) -> SlotLease | SlotRefusal | None:
        """Return a lease, a refusal, or None to decide without a dispatcher.

        Cancelling the result withdraws the request.
        """

    def release(
        self,
        lease: SlotLease,
        outcome: SlotOutcome,
        *,
        work_s: float | None = None,
        running: int | None = None,
        waiting: int | None = None,
    ) -> None:
        """Return a slot to its dispatcher; each lease is returned exactly once."""
