"""The operators' rule document in the store, changed by compare-and-swap alone."""

from random import Random
from typing import TYPE_CHECKING, final

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from gentianwharf.errors import (
    ConflictError,
    OutcomeUnknownError,
    PeerUnavailableError,
)

if TYPE_CHECKING:
    # For its type alone: the adapters beside it take 10 MB and 0.3 s to import.
    from gentianwharf.infra import KeyValueStore

from ._check import RuleChecker
from ._codec import FORMAT, StoredRules
from ._diff import diff_documents
from ._document import RuleDocument
from ._record import CurrentRules, RuleRecord
from ._results import (
    ApplyResult,
    Finding,
    RulesApplied,
    RulesConflict,
    RulesRefused,
    RuleVersion,
    Severity,
)

MOST_ATTEMPTS = 6
PAUSE_S = 0.25
"""Before attempt n+1 the wait is n times this: 3.75 s in all."""

MOST_CHANGE_IDS = 32
"""How many later changes leave an earlier one still provable from the record."""


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
        store: "KeyValueStore",
        prefix: str,
        checker: RuleChecker,
        clock: IReactorTime,
        rng: Random,
    ) -> None:
        self._record = RuleRecord(store=store, prefix=prefix, clock=clock)
        self._checker = checker
        self._clock = clock
        self._rng = rng

    async def read(self) -> RuleVersion | None:
        """Return the document in the store, None when there is none yet.

        Raises ``InputError`` when it can't be read as rules, and the store's errors.
        """
        return await self._record.read()

    async def history(self) -> list[RuleVersion]:
        """Return the document in the store and those before it, newest first."""
        current = await self._record.read()
        kept = await self._record.earlier()
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
        current = await self._record.current()
        if change in current.change_ids:
            return await self._found(current, change, findings)
        if current.revision != edited_from_revision:
            return await self._too_late(
                current, edited_from_revision, document, findings
            )
        if current.record is not None:
            await self._record.keep(current.record, current.revision)
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
                written = await self._record.swap(record)
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
                current = await self._record.current()
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
            peer=self._record.key,
        )

    async def _found(
        self, current: CurrentRules, change: str, findings: tuple[Finding, ...]
    ) -> RulesApplied:
        """Return the version of a change that is in the record's lineage."""
        assert current.record is not None
        version = current.record.version(current.revision)
        superseded = version.change_id != change
        if superseded:
            kept = await self._record.earlier()
            version = next((one for one in kept if one.change_id == change), version)
        return RulesApplied(
            version=version, read_back=True, superseded=superseded, warnings=findings
        )

    async def _too_late(
        self,
        current: CurrentRules,
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
        self, current: CurrentRules, edited_from_revision: int, mine: RuleDocument
    ) -> RulesConflict:
        if current.record is None:
            raise ConflictError(
                f"the store's rules are at revision {current.revision}, this document"
                f" was edited from {edited_from_revision}; read them again",
                step="apply rules",
                peer=self._record.key,
            )
        base = None
        if edited_from_revision:
            base = await self._record.find_earlier(edited_from_revision)
        document = base.document if base is not None else None
        return RulesConflict(
            current=current.record.version(current.revision),
            edited_from_revision=edited_from_revision,
            base_known=base is not None or edited_from_revision == 0,
            theirs=diff_documents(document, current.record.document),
            mine=diff_documents(document, mine),
        )


def _next_record(
    document: RuleDocument, current: CurrentRules, *, author: str, change_id: str
) -> StoredRules:
    return StoredRules(
        format=FORMAT,
        number=current.number + 1,
        edited_from_revision=current.revision,
        author=author,
        recent_change_ids=(change_id, *current.change_ids[: MOST_CHANGE_IDS - 1]),
        document=document,
    )
