"""Reads and changes the rule document in the store, using compare-and-swap."""

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
    # Imported for its type only: the package takes 10 MB and 0.3 s to import.
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

MAX_ATTEMPTS = 6
RETRY_DELAY_S = 0.25
"""Attempt n+1 is delayed by n times this value, 3.75 s in total."""

MAX_CHANGE_IDS = 32
"""The number of recent changes whose success can be determined from the record."""


@final
class RuleBook:
    """Reads and changes the rule document under ``prefix`` (``gentianwharf/tunis/``).

    Two operators may edit concurrently: each passes the revision that it edited, and
    the second to write gets a ``RulesConflict`` with both changes. If the answer to a
    write is lost, the outcome is determined by reading the record, which lists the
    recent changes.
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
        """Return the document in the store, or None if there is none yet.

        Raises ``InputError`` if the record is unreadable, and the store's errors.
        """
        return await self._record.read()

    async def history(self) -> list[RuleVersion]:
        """Return the document in the store and the earlier ones, newest first."""
        current = await self._record.read()
        earlier = await self._record.read_history()
        if current is None:
            return earlier
        return [current, *(item for item in earlier if item.number < current.number)]

    async def apply(
        self,
        document: RuleDocument,
        *,
        edited_from_revision: int,
        author: str,
        change_id: str | None = None,
    ) -> ApplyResult:
        """Apply ``document`` if the store's revision is ``edited_from_revision``.

        Revision 0 means that there are no rules yet. A call can safely be repeated with
        the same ``change_id``. Raises ``PeerUnavailableError`` if the call had no
        effect, and ``OutcomeUnknownError`` if the store did not answer after a write;
        its message says how to determine the outcome.
        """
        findings = self._checker.check(document)
        if any(finding.severity is Severity.ERROR for finding in findings):
            return RulesRefused(findings=findings)
        change = change_id or f"{self._rng.getrandbits(96):024x}"
        current = await self._record.current()
        if change in current.change_ids:
            return await self._report_applied(current, change, findings)
        if current.revision != edited_from_revision:
            return await self._report_conflict(
                current, edited_from_revision, document, findings
            )
        if current.record is not None:
            await self._record.archive(current.record, current.revision)
        record = _next_record(document, current, author=author, change_id=change)
        return await self._write(record, findings)

    async def _write(
        self, record: StoredRules, findings: tuple[Finding, ...]
    ) -> ApplyResult:
        """Write the record, with retries until the outcome is known.

        Retries are safe: all writes expect the same revision, so at most one of them
        takes effect, however late an earlier one reaches the store.
        """
        expected = record.edited_from_revision
        change = record.recent_change_ids[0]
        may_be_written = False
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await deferLater(self._clock, attempt * RETRY_DELAY_S, lambda: None)
            try:
                written = await self._record.replace(record)
            except ConflictError:
                pass
            except OutcomeUnknownError:
                may_be_written = True
            except PeerUnavailableError:
                if not may_be_written:
                    raise
            else:
                return RulesApplied(
                    version=record.version(written),
                    read_back=may_be_written,
                    warnings=findings,
                )
            try:
                current = await self._record.current()
            except (OutcomeUnknownError, PeerUnavailableError):
                continue
            if change in current.change_ids:
                return await self._report_applied(current, change, findings)
            if current.revision != expected:
                return await self._report_conflict(
                    current, expected, record.document, findings
                )
        raise self._unknown_outcome(record)

    def _unknown_outcome(self, record: StoredRules) -> OutcomeUnknownError:
        return OutcomeUnknownError(
            f"the store did not say whether change {record.recent_change_ids[0]} took"
            " effect; once it answers, `gentianwharf rules history` lists the change"
            " if it did, and applying again is safe",
            step="apply rules",
            peer=self._record.key,
        )

    async def _report_applied(
        self, current: CurrentRules, change: str, findings: tuple[Finding, ...]
    ) -> RulesApplied:
        """Return the result for a change that is listed in the record."""
        assert current.record is not None
        version = current.record.version(current.revision)
        superseded = version.change_id != change
        if superseded:
            earlier = await self._record.read_history()
            version = next(
                (item for item in earlier if item.change_id == change), version
            )
        return RulesApplied(
            version=version, read_back=True, superseded=superseded, warnings=findings
        )

    async def _report_conflict(
        self,
        current: CurrentRules,
        edited_from_revision: int,
        mine: RuleDocument,
        findings: tuple[Finding, ...],
    ) -> ApplyResult:
        """Return a conflict, or success if the same document is already in force."""
        if current.record is not None and current.record.document == mine:
            return RulesApplied(
                version=current.record.version(current.revision),
                read_back=False,
                already=True,
                warnings=findings,
            )
        return await self._build_conflict(current, edited_from_revision, mine)

    async def _build_conflict(
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
            base = await self._record.find_in_history(edited_from_revision)
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
        recent_change_ids=(change_id, *current.change_ids[: MAX_CHANGE_IDS - 1]),
        document=document,
    )
