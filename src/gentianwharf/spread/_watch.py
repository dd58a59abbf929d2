"""One host's watch of the store, which is restarted after failures and time-outs."""

from collections.abc import Callable
from random import Random
from typing import final

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from gentianwharf.errors import GentianwharfError, OutcomeUnknownError
from gentianwharf.infra import ABSENT_REVISION, KeyValueStore, VersionedValue
from gentianwharf.logs import log

WATCH_WAIT_S = 5.0
"""How long a watch waits for a change: each watcher makes one store call in this time
if nothing changes. A watch that missed a change without an error is replaced then."""

TIMEOUT_MARGIN_S = 2.0
"""How much longer than its wait a watch may take before it is cancelled."""

MIN_RETRY_S = 0.2
MAX_RETRY_S = 2.0
"""Bounds of the pause after a failure. In an outage, each watcher makes about one store
call every two seconds, and its end is noticed within that time."""


@final
class StoreWatch:
    """Calls ``on_values`` with new values; an empty list shows that the store answered.

    The first call is a plain read: a watch that reports no changes from the start would
    make the store look empty, and this host would act on that.

    The cursor advances only with the watch's own answers: a value received from a peer
    may have a higher revision than a value of another key that has not arrived yet.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: IReactorTime,
        rng: Random,
        prefix: str,
        on_values: Callable[[list[VersionedValue]], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._prefix = prefix
        self._on_values = on_values
        self._cursor = ABSENT_REVISION
        self._running: Deferred[None] | None = None
        self._run_number = 0
        self._has_read = False
        self.calls = 0
        self.failures = 0

    @property
    def running(self) -> bool:
        """Whether the watch is running."""
        return self._running is not None

    def start(self) -> None:
        """Start the watch; it is restarted after failures."""
        if self._running is not None:
            return
        self._run_number += 1
        self._running = Deferred.fromCoroutine(self._run(self._run_number))
        self._running.addErrback(lambda failure: failure.trap(CancelledError))

    def stop(self) -> None:
        """Stop the watch; a later start resumes from the same cursor."""
        if self._running is not None:
            running, self._running = self._running, None
            self._run_number += 1
            running.cancel()

    async def _run(self, run_number: int) -> None:
        retry_s = MIN_RETRY_S
        # An adapter may turn the cancellation into an error of its own, which would not
        # end this loop. The run number does.
        while run_number == self._run_number:
            try:
                values = await self._call_once()
            except GentianwharfError:
                self.failures += 1
                # Jitter prevents watchers from retrying at the same time.
                pause_s = retry_s * self._rng.uniform(0.5, 1.0)
                await deferLater(self._clock, pause_s, lambda: None)
                retry_s = min(2 * retry_s, MAX_RETRY_S)
                continue
            retry_s = MIN_RETRY_S
            self._cursor = max([self._cursor, *(value.revision for value in values)])
            self._deliver(values)

    def _deliver(self, values: list[VersionedValue]) -> None:
        try:
            self._on_values(values)
        except Exception:
            # If the exception propagated, it would silently end this loop. The host
            # would seem healthy but receive no changes until its restart.
            self.failures += 1
            log.exception(
                "changes from the store could not be applied",
                extra={"peer": self._prefix},
            )

    async def _call_once(self) -> list[VersionedValue]:
        self.calls += 1
        if self._has_read:
            call = self._store.watch(
                self._prefix, after_revision=self._cursor, wait_s=WATCH_WAIT_S
            )
        else:
            call = self._store.get_many(self._prefix)
        # Guards against a call of any adapter that neither answers nor fails. The host
        # would seem healthy but receive no changes.
        answer = Deferred.fromCoroutine(call)
        answer.addTimeout(
            WATCH_WAIT_S + TIMEOUT_MARGIN_S,
            self._clock,
            _raise_on_timeout(self._prefix),
        )
        values = await answer
        self._has_read = True
        return values


def _raise_on_timeout(prefix: str) -> Callable[[object, float], object]:
    def on_timeout(_: object, timeout_s: float) -> object:
        raise OutcomeUnknownError(
            f"watch did not answer within {timeout_s} s; it is restarted",
            step="store watch",
            peer=prefix,
        )

    return on_timeout
