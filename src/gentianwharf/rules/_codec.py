"""Serializes rule documents for the store and for other hosts."""

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from gentianwharf.errors import InputError

from ._document import RuleDocument
from ._results import RuleVersion

FORMAT = 1


class StoredRules(BaseModel):
    """The record in the store: a rule document with its author and recent changes.

    ``recent_change_ids`` lists this change and those before it, newest first. A writer
    that did not receive the store's answer finds its own change in it, even if others
    have edited the rules since.
    """

    # Validators are built on first use: an entry host on a platform with its own rule
    # format never needs them, and starts 0.1 s faster.
    model_config = ConfigDict(extra="ignore", frozen=True, defer_build=True)

    format: int = Field(ge=1)
    number: int = Field(ge=1)
    edited_from_revision: int = Field(ge=0)
    author: str
    recent_change_ids: tuple[str, ...] = Field(min_length=1)
    document: RuleDocument

    def version(self, revision: int) -> RuleVersion:
        """Return this record as the version at the store's ``revision``."""
        return RuleVersion(
            number=self.number,
            revision=revision,
            edited_from_revision=self.edited_from_revision,
            author=self.author,
            change_id=self.recent_change_ids[0],
            document=self.document,
        )


def encode_rules(record: StoredRules) -> bytes:
    """Serialize ``record`` for the store.

    Default values are included: a later release may have other defaults, and a stored
    document must not change its meaning when that release reads it.
    """
    return record.model_dump_json(exclude_none=True).encode()


class _Format(BaseModel):
    model_config = ConfigDict(extra="ignore", defer_build=True)

    format: int


def decode_rules(value: bytes, *, peer: str) -> StoredRules:
    """Parse a value of the store; raises ``InputError`` if it is no rule record."""
    try:
        record = StoredRules.model_validate_json(value)
    except ValidationError as error:
        raise _unreadable(value, error, peer) from error
    if record.format != FORMAT:
        raise _other_format(record.format, peer)
    return record


def _unreadable(value: bytes, error: ValidationError, peer: str) -> InputError:
    """Return the error for a ``value`` that is no record; checks its format first.

    A record of a later release can have fields that this release rejects. If the error
    named only these, an operator would apply the document again with the older release
    and lose the fields' contents.
    """
    try:
        found = _Format.model_validate_json(value).format
    except ValidationError:
        found = FORMAT
    if found != FORMAT:
        return _other_format(found, peer)
    return InputError(
        f"the stored rules can't be read: {error.errors()[0]['msg']}; apply a"
        " document again with `gentianwharf rules apply`",
        step="decode rules",
        peer=peer,
    )


def _other_format(found: int, peer: str) -> InputError:
    return InputError(
        f"the stored rules have format {found}, expected {FORMAT}: this host runs an"
        " older release than the one that wrote them; update it, or replace them"
        " with `gentianwharf rules apply`",
        step="decode rules",
        peer=peer,
    )


def document_size_bytes(document: RuleDocument) -> int:
    """Return the size of ``document`` in the store."""
    return len(document.model_dump_json(exclude_none=True).encode())
