"""The operators' rule document in the store, changed by compare-and-swap alone."""

from collections.abc import Coroutine
from dataclasses import dataclass
from random import Random
from typing import Any, TypeVar, final

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from gentianwharf.errors import (
    ConflictError,
    InputError,
    OutcomeUnknownError,
    PeerUnavailableError,
)
from gentianwharf.platform import KeyValueStore

from ._check import RuleChecker
from ._codec import FORMAT, StoredRules, decode_rules, encode_rules
from ._diff import changes
from ._document import RuleDocument
from ._history import RuleHistory
from ._results import (
    ApplyResult,
    Finding,
    RulesApplied,
    RulesConflict,
    RulesRefused,
    RuleVersion,
    Severity,
)

CALL_S = 2.0
"""The store answers in milliseconds; after this long an answer counts as lost."""

MOST_ATTEMPTS = 6
PAUSE_S = 0.25
"""Before attempt n+1 the wait is n times this: 3.75 s in all."""

MOST_CHANGE_IDS = 32
"""How many later changes leave an earlier one still provable from the record."""

Result = TypeVar("Result")


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class _Current:
    """What the store holds; ``record`` is None when it is absent or unreadable."""

    revision: int
    record: StoredRules | None

    @property
    def number(self) -> int:
        return self.record.number if self.record is not None else 0

    @property
    def change_ids(self) -> tuple[str, ...]:
        return self.record.recent_change_ids if self.record is not None else ()


@final
class RuleBook:
    """Reads and changes the rule document under ``prefix`` (``gentianwharf/tunis/``).

    Two operators may edit at once: each says which revision it began with, and the
    slower one gets both changes back. A write whose answer is lost is settled by
    reading: the record lists the changes that led to it.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        prefix: str,
        checker: RuleChecker,
        clock: IReactorTime,
        rng: Random,
    ) -> None:
        self._store = store
        self._key = f"{prefix}rules"
        # Not under "rules": hosts watch that prefix and would pass every earlier
        # document on to each other.
        self._history = RuleHistory(store=store, prefix=f"{prefix}history/rules/")
        self._checker = checker
        self._clock = clock
        self._rng = rng

    async def read(self) -> RuleVersion | None:
        """Return the document in the store, None when there is none yet.

        Raises ``InputError`` when it can't be read as rules, and the store's errors.
        """
        value = await self._bounded(self._store.get(self._key), step="read rules")
        if value is None:
            return None
        record = decode_rules(value.value, peer=f"{self._key}@{value.revision}")
        return record.version(value.revision)

    async def history(self) -> list[RuleVersion]:
        """Return the document in the store and those before it, newest first."""
        current = await self.read()
        kept = await self._bounded(self._history.read(), step="read history")
        if current is None:
            return kept
        return [current, *(one for one in kept if one.number < current.number)]

    async def apply(
        self,
        document: RuleDocument,
        *,
        edited_from_revision: int,
        author: str,
        change_id: str | None = None,
    ) -> ApplyResult:
        """Put ``document`` in force if the store still has ``edited_from_revision``.

        0 stands for "no rules yet". Repeating a call with its ``change_id`` is safe.
        Raises ``PeerUnavailableError`` when nothing took effect, and
        ``OutcomeUnknownError`` when the store stayed silent for too long after a
        write: the message says how to find out.
        """
        findings = self._checker.check(document)
        if any(one.severity is Severity.ERROR for one in findings):
            return RulesRefused(findings=findings)
        change = change_id or f"{self._rng.getrandbits(96):024x}"
        current = await self._current()
        if change in current.change_ids:
            return await self._found(current, change, findings)
        if current.revision != edited_from_revision:
            return await self._too_late(
                current, edited_from_revision, document, findings
            )
        if current.record is not None:
            await self._keep(current.record, current.revision)
        record = _next_record(document, current, author=author, change_id=change)
        return await self._write(record, findings)

    async def _write(
        self, record: StoredRules, findings: tuple[Finding, ...]
    ) -> ApplyResult:
        """Write until it is known whether the record took effect.

        Repeating is safe: both writes expect the same revision, so that at most one
        of them takes effect, however late an earlier one arrives.
        """
        expected = record.edited_from_revision
        change = record.recent_change_ids[0]
        may_have_landed = False
        for attempt in range(MOST_ATTEMPTS):
            if attempt:
                await deferLater(self._clock, attempt * PAUSE_S, lambda: None)
            try:
                written = await self._swap(record)
            except ConflictError:
                pass
            except OutcomeUnknownError:
                may_have_landed = True
            except PeerUnavailableError:
                if not may_have_landed:
                    raise
            else:
                return RulesApplied(
                    version=record.version(written),
                    read_back=may_have_landed,
                    warnings=findings,
                )
            try:
                current = await self._current()
            except (OutcomeUnknownError, PeerUnavailableError):
                continue
            if change in current.change_ids:
                return await self._found(current, change, findings)
            if current.revision != expected:
                return await self._too_late(
                    current, expected, record.document, findings
                )
        raise self._silent(record)

    def _silent(self, record: StoredRules) -> OutcomeUnknownError:
        return OutcomeUnknownError(
            f"the store did not say whether change {record.recent_change_ids[0]} took"
            " effect; once it answers, `gentianwharf rules history` lists the change"
            " if it did, and applying again is safe",
            step="apply rules",
            peer=self._key,
        )

    async def _swap(self, record: StoredRules) -> int:
        written = await self._bounded(
            self._store.compare_and_swap(
                self._key,
                encode_rules(record),
                expected_revision=record.edited_from_revision,
            ),
            step="apply rules",
        )
        return written.revision

    async def _current(self) -> _Current:
        value = await self._bounded(self._store.get(self._key), step="read rules")
        if value is None:
            return _Current(revision=0, record=None)
        try:
            record = decode_rules(value.value, peer=self._key)
        except InputError:
            # An unreadable record must not keep operators from replacing it.
            return _Current(revision=value.revision, record=None)
        return _Current(revision=value.revision, record=record)

    async def _found(
        self, current: _Current, change: str, findings: tuple[Finding, ...]
    ) -> RulesApplied:
        """Return the version of a change that is in the record's lineage."""
        assert current.record is not None
        version = current.record.version(current.revision)
        superseded = version.change_id != change
        if superseded:
            kept = await self._bounded(self._history.read(), step="read history")
            version = next((one for one in kept if one.change_id == change), version)
        return RulesApplied(
            version=version, read_back=True, superseded=superseded, warnings=findings
        )

    async def _too_late(
        self,
        current: _Current,
        edited_from_revision: int,
        mine: RuleDocument,
        findings: tuple[Finding, ...],
    ) -> ApplyResult:
        """Tell of the conflict, unless what is in force is the same document."""
        if current.record is not None and current.record.document == mine:
            return RulesApplied(
                version=current.record.version(current.revision),
                read_back=False,
                already=True,
                warnings=findings,
            )
        return await self._conflict(current, edited_from_revision, mine)

    async def _conflict(
        self, current: _Current, edited_from_revision: int, mine: RuleDocument
    ) -> RulesConflict:
        if current.record is None:
            raise ConflictError(
                f"the store's rules are at revision {current.revision}, this document"
                f" was edited from {edited_from_revision}; read them again",
                step="apply rules",
                peer=self._key,
            )
        base = None
        if edited_from_revision:
            base = await self._bounded(
                self._history.find(edited_from_revision), step="read history"
            )
        document = base.document if base is not None else None
        return RulesConflict(
            current=current.record.version(current.revision),
            edited_from_revision=edited_from_revision,
            base_known=base is not None or edited_from_revision == 0,
            theirs=changes(document, current.record.document),
            mine=changes(document, mine),
        )

    async def _keep(self, record: StoredRules, revision: int) -> None:
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
                peer=self._key,
            ) from None
        finally:
            if timer.active():
                timer.cancel()


def _next_record(
    document: RuleDocument, current: _Current, *, author: str, change_id: str
) -> StoredRules:
    return StoredRules(
        format=FORMAT,
        number=current.number + 1,
        edited_from_revision=current.revision,
        author=author,
        recent_change_ids=(change_id, *current.change_ids[: MOST_CHANGE_IDS - 1]),
        document=document,
    )
