"""Earlier rule documents in the store, in a ring of bounded size."""

from typing import TYPE_CHECKING, final

from logbook import Logger
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from gentianwharf.errors import (
    ConflictError,
    GentianwharfError,
    OutcomeUnknownError,
    PeerUnavailableError,
)

if TYPE_CHECKING:
    # Imported for its type only: the package takes 10 MB and 0.3 s to import.
    from gentianwharf.infra import KeyValueStore

from ._codec import StoredRules
from ._results import RuleVersion

MAX_HISTORY_RECORDS = 20
"""All are read in one call: 20 documents of the maximum size are 5 MiB."""

log = Logger("gentianwharf.rules")


class _Archived(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, defer_build=True)

    revision: int = Field(ge=1)
    record: StoredRules


@final
class RuleHistory:
    """Stores earlier documents, each under a key derived from its number.

    The history is a convenience for operators: its failures neither prevent a change of
    the rules nor make a successful change look failed.
    """

    def __init__(self, *, store: "KeyValueStore", prefix: str) -> None:
        self._store = store
        self._prefix = prefix

    async def archive(self, record: StoredRules, revision: int) -> None:
        """Store a record that is about to be replaced."""
        archived = _Archived(revision=revision, record=record)
        value = archived.model_dump_json(exclude_none=True).encode()
        try:
            await self._put(self._key(record.number), value, record.number)
        except (ConflictError, OutcomeUnknownError, PeerUnavailableError) as error:
            log.warning(
                "rules of revision {} not added to the history: {}", revision, error
            )

    async def _put(self, key: str, value: bytes, number: int) -> None:
        stored = await self._store.get(key)
        archived = _decode(stored.value) if stored is not None else None
        if archived is not None and archived.record.number >= number:
            return
        revision = stored.revision if stored is not None else 0
        await self._store.compare_and_swap(key, value, expected_revision=revision)

    async def read(self) -> list[RuleVersion]:
        """Return the stored versions, newest first, without unreadable records.

        Raises ``PeerUnavailableError`` if the store does not answer.
        """
        stored = await self._store.get_many(self._prefix)
        archived = [item for item in (_decode(value.value) for value in stored) if item]
        archived.sort(key=lambda item: item.record.number, reverse=True)
        return [item.record.version(item.revision) for item in archived]

    async def find(self, revision: int) -> RuleVersion | None:
        """Return the version at ``revision``, or None if it cannot be read."""
        try:
            versions = await self.read()
        except GentianwharfError as error:
            log.warning(
                "rules of revision {} not read from the history: {}", revision, error
            )
            return None
        return next((item for item in versions if item.revision == revision), None)

    def _key(self, number: int) -> str:
        return f"{self._prefix}{number % MAX_HISTORY_RECORDS:03d}"


def _decode(value: bytes) -> _Archived | None:
    try:
        return _Archived.model_validate_json(value)
    except ValidationError:
        return None
