"""What the ownership system needs from other parts of the daemon."""

from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from typing import Any, Protocol, TypeVar, cast

from twisted.internet import defer
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from gentianwharf.errors import OutcomeUnknownError

from ._messages import Message

Result = TypeVar("Result")


class PeerLink(Protocol):
    """Messages to fellow hosts; they may be lost, late, doubled or out of order."""

    def send(self, host: str, message: Message) -> None:
        """Send without waiting; never raises for a peer that is out of reach."""

    def hosts_of(self, domain: str) -> Sequence[str]:
        """Return the entry hosts that the platform lists for a domain."""

    def is_live(self, host: str) -> bool:
        """Whether ``host`` has been heard lately; its own host always is."""


class Log(Protocol):
    """Where the system says what it did; the daemon turns it into log lines."""

    def __call__(self, event: str, **fields: object) -> None:
        """Record ``event``."""


SiteOf = Callable[[str, int], str | None]
"""From a service and a shard to the site where the rules want its owner."""

SingleKeySites = Callable[[str], Mapping[str, str | None]]
"""From a service to the keys that a rule of their own sends to a site."""


async def answer_within(
    clock: IReactorTime,
    timeout_s: float,
    awaitable: Coroutine[Deferred[Any], Any, Result] | Awaitable[Result],
    *,
    step: str,
    peer: str,
) -> Result:
    """Await an answer; raises ``OutcomeUnknownError`` when it takes too long."""
    coroutine = cast("Coroutine[Deferred[Any], Any, Result]", awaitable)
    waiting = Deferred.fromCoroutine(coroutine)
    waiting.addTimeout(timeout_s, clock)
    try:
        return await waiting
    except (defer.TimeoutError, defer.CancelledError) as error:
        raise OutcomeUnknownError(
            f"expected an answer within {timeout_s} s, got none; it is asked again",
            step=step,
            peer=peer,
        ) from error
