"""One host's watch of the store, kept up through outages and silence."""

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
"""One store call in this time for each watcher when nothing changes. A watch that
lost its change without a sign is replaced after it."""

SILENT_AFTER_S = 2.0
"""How much longer than its wait a watch may take before it counts as silent."""

FIRST_RETRY_S = 0.2
LONGEST_RETRY_S = 2.0
"""Bounds of the pause after a failure: an outage costs each watcher a call every two
seconds, and its end is noticed within them."""


@final
class StoreWatch:
    """Calls ``on_values`` with what is new in the store; with none as a sign of life.

    It begins with a plain read: a watch that is silent from the start would answer
    that there is nothing, and this host would act on nothing.

    The cursor is the watch's own: a value that came from a peer may have a higher
    revision than one of another key that this host has yet to hear of.
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
        """Whether the watch is kept up."""
        return self._running is not None

    def start(self) -> None:
        """Keep the watch up from now on."""
        if self._running is not None:
            return
        self._run_number += 1
        self._running = Deferred.fromCoroutine(self._run(self._run_number))
        self._running.addErrback(lambda failure: failure.trap(CancelledError))

    def stop(self) -> None:
        """End the watch; a later start goes on from where it was."""
        if self._running is not None:
            running, self._running = self._running, None
            self._run_number += 1
            running.cancel()

    async def _run(self, run_number: int) -> None:
        retry_s = FIRST_RETRY_S
        # An adapter may turn the cancellation into an error of its own, so that it
        # ends nothing here; the number does.
        while run_number == self._run_number:
            try:
                values = await self._call_once()
            except GentianwharfError:
                self.failures += 1
                # Spread over the pause, so that watchers don't return together.
                pause_s = retry_s * self._rng.uniform(0.5, 1.0)
                await deferLater(self._clock, pause_s, lambda: None)
                retry_s = min(2 * retry_s, LONGEST_RETRY_S)
                continue
            retry_s = FIRST_RETRY_S
            self._cursor = max([self._cursor, *(value.revision for value in values)])
            self._hand_over(values)

    def _hand_over(self, values: list[VersionedValue]) -> None:
        try:
            self._on_values(values)
        except Exception:
            # Raised further, it would end this loop without a word: the host would look
            # well and hear nothing more of the store until it is restarted.
            self.failures += 1
            log.exception("news of the store failed", extra={"peer": self._prefix})

    async def _call_once(self) -> list[VersionedValue]:
        self.calls += 1
        if self._has_read:
            call = self._store.watch(
                self._prefix, after_revision=self._cursor, wait_s=WATCH_WAIT_S
            )
        else:
            call = self._store.get_many(self._prefix)
        # Guards against a call that neither answers nor fails, whatever the adapter
        # does: the host would look well and hear nothing more.
        answer = Deferred.fromCoroutine(call)
        answer.addTimeout(
            WATCH_WAIT_S + SILENT_AFTER_S, self._clock, _silent(self._prefix)
        )
        values = await answer
        self._has_read = True
        return values


def _silent(prefix: str) -> Callable[[object, float], object]:
    def on_timeout(_: object, timeout_s: float) -> object:
        raise OutcomeUnknownError(
            f"watch gave no sign within {timeout_s} s; it is made anew",
            step="store watch",
            peer=prefix,
        )

    return on_timeout
