"""Interfaces that the ownership system requires from other parts of the daemon."""

from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from typing import Any, Protocol, TypeVar, cast

from twisted.internet import defer
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from gentianwharf.errors import OutcomeUnknownError

from ._messages import Message

Result = TypeVar("Result")


class PeerLink(Protocol):
    """Link to the other hosts; messages may be lost, late, duplicated or reordered."""

    def send(self, host: str, message: Message) -> None:
        """Send without blocking; never raises for an unreachable peer."""

    def hosts_of(self, domain: str) -> Sequence[str]:
        """Return the entry hosts that the platform lists for a domain."""

    def is_live(self, host: str) -> bool:
        """Whether ``host`` sent a message recently; always true for the own host."""


class Log(Protocol):
    """Receives the events of the system; the daemon writes them as log lines."""

    def __call__(self, event: str, **fields: object) -> None:
        """Record ``event``."""


SiteOf = Callable[[str, int], str | None]
"""Maps a service and a shard to the site where the rules place its owner."""

SingleKeySites = Callable[[str], Mapping[str, str | None]]
"""Maps a service to the keys that have their own rule, with the site of each."""


async def answer_within(
    clock: IReactorTime,
    timeout_s: float,
    awaitable: Coroutine[Deferred[Any], Any, Result] | Awaitable[Result],
    *,
    step: str,
    peer: str,
) -> Result:
    """Await an answer; raises ``OutcomeUnknownError`` after ``timeout_s``."""
    coroutine = cast("Coroutine[Deferred[Any], Any, Result]", awaitable)
    deferred = Deferred.fromCoroutine(coroutine)
    deferred.addTimeout(timeout_s, clock)
    try:
        return await deferred
    except (defer.TimeoutError, defer.CancelledError) as error:
        raise OutcomeUnknownError(
            f"expected an answer within {timeout_s} s, got none; it is asked again",
            step=step,
            peer=peer,
        ) from error
