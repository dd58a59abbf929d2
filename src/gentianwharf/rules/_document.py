"""The rule document as operators write it, checked at the border."""

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class KeyPlace(StrEnum):
    """Where in a request the key stands."""

    HEADER = "header"
    PATH_SEGMENT = "path_segment"
    QUERY = "query"


class KeySource(_Model):
    """Where the key is read; ``name`` is a header, a field or a segment's index."""

    place: KeyPlace
    name: str


class Condition(_Model):
    """The when-part: all that are given must hold; an empty one always holds.

    ``shard_share`` holds for the first part of a keyed service's shards, from 0 to 1.
    """

    service: str | None = None
    host: str | None = None
    path_prefix: str | None = None
    methods: tuple[str, ...] = ()
    headers: dict[str, str] = Field(default_factory=dict)
    key: str | None = None
    shard_share: float | None = Field(default=None, ge=0, le=1)


class Target(_Model):
    """The then-part: where the request goes and how it is treated."""

    service: str
    site: str | None = None
    request_class: str = "consultation"
    key: KeySource | None = None
    repeatable: bool | None = None
    deadline_ms: int | None = Field(default=None, gt=0)


class Rule(_Model):
    """One when-then rule."""

    name: str
    when: Condition = Condition()
    then: Target


class RuleDocument(_Model):
    """The ordered list, as kept in the store."""

    rules: tuple[Rule, ...]
