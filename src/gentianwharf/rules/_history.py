"""Earlier rule documents in the store: a bounded ring of records."""

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
    # For its type alone: the adapters beside it take 10 MB and 0.3 s to import.
    from gentianwharf.infra import KeyValueStore

from ._codec import StoredRules
from ._results import RuleVersion

MOST_HISTORY = 20
"""Read in one call: 20 of the largest documents are 5 MiB."""

log = Logger("gentianwharf.rules")


class _Archived(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, defer_build=True)

    revision: int = Field(ge=1)
    record: StoredRules


@final
class RuleHistory:
    """Keeps the documents that were in force before, each at its number's place.

    It is a convenience for operators: no failure here may hinder a change of the
    rules, nor make one that took effect look as if it had failed.
    """

    def __init__(self, *, store: "KeyValueStore", prefix: str) -> None:
        self._store = store
        self._prefix = prefix

    async def keep(self, record: StoredRules, revision: int) -> None:
        """Keep a record that is about to be replaced."""
        archived = _Archived(revision=revision, record=record)
        value = archived.model_dump_json(exclude_none=True).encode()
        try:
            await self._put(self._key(record.number), value, record.number)
        except (ConflictError, OutcomeUnknownError, PeerUnavailableError) as error:
            log.warning("rules of revision {} not kept: {}", revision, error)

    async def _put(self, key: str, value: bytes, number: int) -> None:
        found = await self._store.get(key)
        kept = _decode(found.value) if found is not None else None
        if kept is not None and kept.record.number >= number:
            return
        revision = found.revision if found is not None else 0
        await self._store.compare_and_swap(key, value, expected_revision=revision)

    async def read(self) -> list[RuleVersion]:
        """Return what is kept, newest first; a record that can't be read is left out.

        Raises ``PeerUnavailableError`` when the store doesn't answer.
        """
        found = await self._store.get_many(self._prefix)
        kept = [one for one in (_decode(value.value) for value in found) if one]
        kept.sort(key=lambda one: one.record.number, reverse=True)
        return [one.record.version(one.revision) for one in kept]

    async def find(self, revision: int) -> RuleVersion | None:
        """Return the version of ``revision``; None when it is not to be had."""
        try:
            kept = await self.read()
        except GentianwharfError as error:
            log.warning("rules of revision {} not read: {}", revision, error)
            return None
        return next((one for one in kept if one.revision == revision), None)

    def _key(self, number: int) -> str:
        return f"{self._prefix}{number % MOST_HISTORY:03d}"


def _decode(value: bytes) -> _Archived | None:
    try:
        return _Archived.model_validate_json(value)
    except ValidationError:
        return None
