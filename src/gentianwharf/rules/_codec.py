"""Rule documents as bytes, for the store and for other hosts."""

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from gentianwharf.errors import InputError

from ._document import RuleDocument
from ._results import RuleVersion

FORMAT = 1


class StoredRules(BaseModel):
    """The record that the store holds: the document, who wrote it, and its lineage.

    ``recent_change_ids`` lists this change and those before it, newest first: a
    writer whose answer was lost finds its own change there, even when others have
    edited the rules since.
    """

    # Built when first used: an entry host on a platform with a format of its own never
    # does, and starts a tenth of a second sooner.
    model_config = ConfigDict(extra="ignore", frozen=True, defer_build=True)

    format: int = Field(ge=1)
    number: int = Field(ge=1)
    edited_from_revision: int = Field(ge=0)
    author: str
    recent_change_ids: tuple[str, ...] = Field(min_length=1)
    document: RuleDocument

    def version(self, revision: int) -> RuleVersion:
        """Return the version that this record is at the store's ``revision``."""
        return RuleVersion(
            number=self.number,
            revision=revision,
            edited_from_revision=self.edited_from_revision,
            author=self.author,
            change_id=self.recent_change_ids[0],
            document=self.document,
        )


def encode_rules(record: StoredRules) -> bytes:
    """Return ``record`` as the store holds it.

    Defaults are written out: a later release may have others, and a document must
    not change its meaning by being read.
    """
    return record.model_dump_json(exclude_none=True).encode()


class _Format(BaseModel):
    model_config = ConfigDict(extra="ignore", defer_build=True)

    format: int


def decode_rules(value: bytes, *, peer: str) -> StoredRules:
    """Read what the store holds; raises ``InputError`` when it is no rule record."""
    try:
        record = StoredRules.model_validate_json(value)
    except ValidationError as error:
        raise _unreadable(value, error, peer) from error
    if record.format != FORMAT:
        raise _other_format(record.format, peer)
    return record


def _unreadable(value: bytes, error: ValidationError, peer: str) -> InputError:
    """Return why ``value`` is no record; its format comes first.

    Fields of a later release are unknown here. An operator who was told of these alone
    would apply the document again, with an older release, and lose what they say.
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
    """Return how large ``document`` is in the store."""
    return len(document.model_dump_json(exclude_none=True).encode())
