"""The rule document as operators write it, checked at the border."""

from enum import StrEnum
from typing import Annotated, Self

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    model_validator,
)

MOST_DOCUMENT_BYTES = 256 * 1024
"""A quarter of what the store takes for a value, so that its record fits beside it."""

MOST_KEY_CHARACTERS = 512
"""Keys travel in a header; servers commonly take 8 KiB for all headers together."""

DEEPEST_SEGMENT = 31


class _Model(BaseModel):
    # Only whole documents are validated: their parts need no validators of their own.
    model_config = ConfigDict(extra="forbid", frozen=True, defer_build=True)


def _check_lower(value: str) -> str:
    if value != value.lower():
        raise ValueError(f"expected lower case, write {value.lower()!r}")
    return value


def _check_host(value: str) -> str:
    if ":" in value:
        raise ValueError(
            f"expected a host without a port, write {value.split(':')[0]!r}"
        )
    return _check_lower(value)


def _check_key(value: str) -> str:
    if len(value) > MOST_KEY_CHARACTERS:
        raise ValueError(f"expected a key of at most {MOST_KEY_CHARACTERS} characters")
    return value


Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,126}$")]
HeaderName = Annotated[
    str,
    AfterValidator(_check_lower),
    StringConstraints(pattern=r"^[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}$"),
]
HeaderValue = Annotated[str, StringConstraints(max_length=1024)]
HostName = Annotated[
    str, AfterValidator(_check_host), StringConstraints(min_length=1, max_length=253)
]
PathPrefix = Annotated[str, StringConstraints(pattern=r"^/[\x21-\x7e]{0,1023}$")]
Method = Annotated[str, StringConstraints(pattern=r"^[A-Z]{1,20}$")]
Key = Annotated[str, AfterValidator(_check_key), StringConstraints(min_length=1)]


class KeyPlace(StrEnum):
    """Where in a request the key stands."""

    HEADER = "header"
    PATH_SEGMENT = "path_segment"
    QUERY = "query"


class KeySource(_Model):
    """Where the key is read; ``name`` is a header, a field or a segment's index.

    Segments count from 0: in ``/calendrier/sciences`` segment 1 is ``sciences``.
    With ``is_shard`` the key is the decimal number of its shard, where clients and
    servers have divided the key space themselves; otherwise it is hashed.
    """

    place: KeyPlace
    name: Annotated[str, StringConstraints(min_length=1, max_length=64)]
    is_shard: bool = False

    @model_validator(mode="after")
    def _check_name(self) -> Self:
        if self.place is KeyPlace.PATH_SEGMENT:
            self._check_segment()
        if self.place is KeyPlace.HEADER:
            _check_lower(self.name)
        return self

    def _check_segment(self) -> None:
        digits = self.name.isascii() and self.name.isdigit()
        if not digits or int(self.name) > DEEPEST_SEGMENT:
            raise ValueError(
                f"name of a path_segment: expected a number from 0 to"
                f" {DEEPEST_SEGMENT}, got {self.name!r}"
            )


class ShardRange(_Model):
    """The shards from ``first`` to ``last``, both included."""

    first: int = Field(ge=0)
    last: int = Field(ge=0)

    @model_validator(mode="after")
    def _check_order(self) -> Self:
        if self.last < self.first:
            raise ValueError(
                f"expected last at or after first, got {self.first} to {self.last}"
            )
        return self


class Condition(_Model):
    """The when-part: all that are given must hold; an empty one always holds.

    ``shard_share`` holds for the first part of a keyed service's shards, from 0 to 1;
    ``shard_range`` for some of its shards; ``key`` for a single key. These three are
    functions of the key and may choose where its owner stands; the others may not.
    """

    host: HostName | None = None
    path_prefix: PathPrefix | None = None
    methods: tuple[Method, ...] = Field(default=(), max_length=16)
    headers: dict[HeaderName, HeaderValue] = Field(default_factory=dict, max_length=16)
    key: Key | None = None
    shard_share: float | None = Field(default=None, ge=0, le=1)
    shard_range: ShardRange | None = None

    @model_validator(mode="after")
    def _check_one_key_condition(self) -> Self:
        given = [
            name
            for name in ("key", "shard_share", "shard_range")
            if getattr(self, name) is not None
        ]
        if len(given) > 1:
            raise ValueError(
                f"expected at most one of key, shard_share and shard_range, got"
                f" {' and '.join(given)}; write a rule for each"
            )
        return self


class ServiceShare(_Model):
    """One service of a split and its part, relative to the others' weights."""

    service: Name
    weight: float = Field(ge=0)


class Target(_Model):
    """The then-part: where the request goes and how it is treated.

    ``split`` divides the requests among services by weight; ``service`` is then one
    of them. ``most_tries`` bounds the servers that one request may be sent to,
    ``target_latency_ms`` is the time within which an answer is worth most to its
    caller, and ``priority`` ranks the rule's requests under load, 0 first.
    """

    service: Name
    split: tuple[ServiceShare, ...] = Field(default=(), max_length=32)
    site: Name | None = None
    request_class: Name = "consultation"
    key: KeySource | None = None
    repeatable: bool | None = None
    deadline_ms: int | None = Field(default=None, gt=0, le=3_600_000)
    most_tries: int | None = Field(default=None, gt=0, le=16)
    target_latency_ms: int | None = Field(default=None, gt=0, le=3_600_000)
    priority: int = Field(default=0, ge=0, le=1000)

    @model_validator(mode="after")
    def _check_split(self) -> Self:
        if not self.split:
            return self
        services = [part.service for part in self.split]
        if len(set(services)) != len(services):
            raise ValueError("split: expected each service once, write one part for it")
        if self.service not in services:
            raise ValueError(
                f"split: expected {self.service!r}, the rule's service, among its parts"
            )
        if not any(part.weight for part in self.split):
            raise ValueError("split: expected a weight above 0 for at least one part")
        return self


class Rule(_Model):
    """One when-then rule."""

    name: Name
    when: Condition = Condition()
    then: Target


class RuleDocument(_Model):
    """The ordered list, as kept in the store.

    Its length has no bound here. Hosts read lists that the store has accepted: one that
    refused a long list would serve by older rules, and by none after a restart. What an
    operator may apply is bounded by ``RuleChecker``.
    """

    rules: tuple[Rule, ...]
