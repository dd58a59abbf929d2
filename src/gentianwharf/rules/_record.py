"""The rule record in the store, accessed with a time limit on each call."""

from collections.abc import Coroutine
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar, final

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from gentianwharf.errors import InputError, OutcomeUnknownError

if TYPE_CHECKING:
    # Imported for its type only: the package takes 10 MB and 0.3 s to import.
    from gentianwharf.infra import KeyValueStore

from ._codec import StoredRules, decode_rules, encode_rules
from ._history import RuleHistory
from ._results import RuleVersion

CALL_TIMEOUT_S = 2.0
"""The store answers in milliseconds; a later answer is treated as lost."""

Result = TypeVar("Result")


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class CurrentRules:
    """The record in the store; ``record`` is None if it is absent or unreadable."""

    revision: int
    record: StoredRules | None

    @property
    def number(self) -> int:
        """The number of the last change, or 0 if there is none."""
        return self.record.number if self.record is not None else 0

    @property
    def change_ids(self) -> tuple[str, ...]:
        """The ids of the recent changes, newest first."""
        return self.record.recent_change_ids if self.record is not None else ()


@final
class RuleRecord:
    """Reads and writes the record under ``prefix`` and its history.

    Every call ends within ``CALL_TIMEOUT_S``, with ``OutcomeUnknownError`` if the store
    has not answered.
    """

    def __init__(
        self, *, store: "KeyValueStore", prefix: str, clock: IReactorTime
    ) -> None:
        self._store = store
        self.key = f"{prefix}rules"
        # Not under "rules": hosts watch that prefix and would distribute every earlier
        # document to each other.
        self._history = RuleHistory(store=store, prefix=f"{prefix}history/rules/")
        self._clock = clock

    async def read(self) -> RuleVersion | None:
        """Return the version in the store; ``InputError`` if it is unreadable."""
        value = await self._bounded(self._store.get(self.key), step="read rules")
        if value is None:
            return None
        record = decode_rules(value.value, peer=f"{self.key}@{value.revision}")
        return record.version(value.revision)

    async def current(self) -> CurrentRules:
        """Return the revision in the store, and the record if it is readable."""
        value = await self._bounded(self._store.get(self.key), step="read rules")
        if value is None:
            return CurrentRules(revision=0, record=None)
        try:
            record = decode_rules(value.value, peer=self.key)
        except InputError:
            # Operators must be able to replace an unreadable record.
            return CurrentRules(revision=value.revision, record=None)
        return CurrentRules(revision=value.revision, record=record)

    async def replace(self, record: StoredRules) -> int:
        """Replace the record that this one was edited from; return the new revision.

        Raises ``ConflictError`` if the store's record is another one.
        """
        written = await self._bounded(
            self._store.compare_and_swap(
                self.key,
                encode_rules(record),
                expected_revision=record.edited_from_revision,
            ),
            step="apply rules",
        )
        return written.revision

    async def read_history(self) -> list[RuleVersion]:
        """Return the versions in the history, newest first."""
        return await self._bounded(self._history.read(), step="read history")

    async def find_in_history(self, revision: int) -> RuleVersion | None:
        """Return the version at ``revision`` from the history, if it is there."""
        return await self._bounded(self._history.find(revision), step="read history")

    async def archive(self, record: StoredRules, revision: int) -> None:
        """Add a record that is about to be replaced to the history, if possible."""
        try:
            await self._bounded(
                self._history.archive(record, revision), step="keep history"
            )
        except OutcomeUnknownError:
            return

    async def _bounded(self, call: Coroutine[Any, Any, Result], *, step: str) -> Result:
        """Await ``call``; raise ``OutcomeUnknownError`` after ``CALL_TIMEOUT_S``.

        Without a time limit, a connection that never answers would block the operator's
        command forever.
        """
        pending: Deferred[Result] = ensureDeferred(call)
        timer = self._clock.callLater(CALL_TIMEOUT_S, pending.cancel)
        try:
            return await pending
        except CancelledError:
            raise OutcomeUnknownError(
                f"the store did not answer within {CALL_TIMEOUT_S} s",
                step=step,
                peer=self.key,
            ) from None
        finally:
            if timer.active():
                timer.cancel()
