"""Messages of the store, the host list and the backend servers in HTTP bodies.

Values are URL-safe base64 in JSON. docs/design/platform.md describes the format; the
stand-in and the adapters both encode and decode it with these models.
"""

from enum import StrEnum
from typing import Self

from pydantic import BaseModel, ConfigDict, Field

from ._hosts import ListedHost
from ._servers import GrantOutcome
from ._store import VersionedValue

CALL_ID = b"Gentianwharf-Call-Id"
"""The header with the id of a call, which its answer repeats."""


class WireModel(BaseModel):
    """Base of the messages; unknown fields are ignored, so newer peers may add some."""

    model_config = ConfigDict(
        frozen=True,
        extra="ignore",
        ser_json_bytes="base64",
        val_json_bytes="base64",
    )


class Nothing(WireModel):
    """A message without fields."""


class KeyRequest(WireModel):
    """Body of ``get``."""

    key: str


class PrefixRequest(WireModel):
    """Body of ``get-many``."""

    prefix: str


class SwapRequest(WireModel):
    """Body of ``compare-and-swap``."""

    key: str
    value: bytes
    expected_revision: int = Field(ge=0)
    lease_id: str | None = None


class WatchRequest(WireModel):
    """Body of ``watch``."""

    prefix: str
    after_revision: int = Field(ge=0)
    wait_s: float = Field(ge=0, le=3600)


class LeaseGrantRequest(WireModel):
    """Body of ``lease-grant``."""

    ttl_s: float


class LeaseRequest(WireModel):
    """Body of ``lease-renew`` and ``lease-revoke``."""

    lease_id: str


class WireValue(WireModel):
    """A value with its revision."""

    key: str
    value: bytes
    revision: int = Field(gt=0)

    @classmethod
    def from_value(cls, value: VersionedValue) -> Self:
        """Create the message that contains ``value``."""
        return cls(key=value.key, value=value.value, revision=value.revision)

    def to_value(self) -> VersionedValue:
        """Return the value in the message."""
        return VersionedValue(key=self.key, value=self.value, revision=self.revision)


class ValuesAnswer(WireModel):
    """Answer of ``get``, ``get-many``, ``compare-and-swap`` and ``watch``."""

    values: tuple[WireValue, ...]

    @classmethod
    def from_values(cls, values: list[VersionedValue]) -> Self:
        """Create the message that contains ``values``."""
        return cls(values=tuple(WireValue.from_value(value) for value in values))

    def to_values(self) -> list[VersionedValue]:
        """Return the values in the message."""
        return [value.to_value() for value in self.values]


class LeaseAnswer(WireModel):
    """Answer of ``lease-grant``."""

    id: str
    ttl_s: float


class HostsAnswer(WireModel):
    """Answer of ``hosts``."""

    hosts: tuple[ListedHost, ...]


class ReleaseRequest(WireModel):
    """Body of a server's ``release``."""

    service: str
    tokens: dict[int, int]


class OutcomeAnswer(WireModel):
    """A server's answer to a grant or a release."""

    outcome: GrantOutcome


class ErrorName(StrEnum):
    """Kinds of errors in answers; in each case the call had no effect."""

    CONFLICT = "conflict"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"


class Problem(WireModel):
    """Body of an error answer."""

    error: ErrorName
    message: str


def encode(body: BaseModel) -> bytes:
    """Return the JSON encoding of a message."""
    return body.model_dump_json().encode()
