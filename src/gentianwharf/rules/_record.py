"""The rule record in the store: each call bounded in time."""

from collections.abc import Coroutine
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar, final

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from gentianwharf.errors import InputError, OutcomeUnknownError

if TYPE_CHECKING:
    # For its type alone: the adapters beside it take 10 MB and 0.3 s to import.
    from gentianwharf.infra import KeyValueStore

from ._codec import StoredRules, decode_rules, encode_rules
from ._history import RuleHistory
from ._results import RuleVersion

CALL_S = 2.0
"""The store answers in milliseconds; after this long an answer counts as lost."""

Result = TypeVar("Result")


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class CurrentRules:
    """What the store holds; ``record`` is None when it is absent or unreadable."""

    revision: int
    record: StoredRules | None

    @property
    def number(self) -> int:
        """The number of the last change, 0 for none."""
        return self.record.number if self.record is not None else 0

    @property
    def change_ids(self) -> tuple[str, ...]:
        """The changes that led to the record, newest first."""
        return self.record.recent_change_ids if self.record is not None else ()


@final
class RuleRecord:
    """Reads and writes the record under ``prefix`` and those before it.

    Every call ends within ``CALL_S``, in ``OutcomeUnknownError`` if nothing came.
    """

    def __init__(
        self, *, store: "KeyValueStore", prefix: str, clock: IReactorTime
    ) -> None:
        self._store = store
        self.key = f"{prefix}rules"
        # Not under "rules": hosts watch that prefix and would pass every earlier
        # document on to each other.
        self._history = RuleHistory(store=store, prefix=f"{prefix}history/rules/")
        self._clock = clock

    async def read(self) -> RuleVersion | None:
        """Return the version in the store; ``InputError`` when it is no rules."""
        value = await self._bounded(self._store.get(self.key), step="read rules")
        if value is None:
            return None
        record = decode_rules(value.value, peer=f"{self.key}@{value.revision}")
        return record.version(value.revision)

    async def current(self) -> CurrentRules:
        """Return what the store holds, readable or not."""
        value = await self._bounded(self._store.get(self.key), step="read rules")
        if value is None:
            return CurrentRules(revision=0, record=None)
        try:
            record = decode_rules(value.value, peer=self.key)
        except InputError:
            # An unreadable record must not keep operators from replacing it.
            return CurrentRules(revision=value.revision, record=None)
        return CurrentRules(revision=value.revision, record=record)

    async def swap(self, record: StoredRules) -> int:
        """Write the record over the one that it was edited from; return its revision.

        Raises ``ConflictError`` when the store has another.
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

    async def earlier(self) -> list[RuleVersion]:
        """Return the versions that are kept, newest first."""
        return await self._bounded(self._history.read(), step="read history")

    async def find_earlier(self, revision: int) -> RuleVersion | None:
        """Return a kept version by its revision."""
        return await self._bounded(self._history.find(revision), step="read history")

    async def keep(self, record: StoredRules, revision: int) -> None:
        """Keep a record that is about to be replaced; no failure of it hinders that."""
        try:
            await self._bounded(
                self._history.keep(record, revision), step="keep history"
            )
        except OutcomeUnknownError:
            return

    async def _bounded(self, call: Coroutine[Any, Any, Result], *, step: str) -> Result:
        """Turn an answer that does not come into ``OutcomeUnknownError``.

        A connection that has gone silent for good would otherwise hold the operator's
        command, and the document, for ever.
        """
        waiting: Deferred[Result] = ensureDeferred(call)
        timer = self._clock.callLater(CALL_S, waiting.cancel)
        try:
            return await waiting
        except CancelledError:
            raise OutcomeUnknownError(
                f"the store did not answer within {CALL_S} s",
                step=step,
                peer=self.key,
            ) from None
        finally:
            if timer.active():
                timer.cancel()
