"""The rule document as operators write it and as hosts read it."""

from typing import Annotated, Self

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    model_validator,
)

from gentianwharf.matching import KeyPlace

DEEPEST_SEGMENT = 31


class _Model(BaseModel):
    # Only whole documents are validated: their parts need no validators of their own.
    # A field that isn't known stays an error: it may be a condition, and a rule that is
    # matched without one of its conditions takes requests that it isn't meant for.
    model_config = ConfigDict(extra="forbid", frozen=True, defer_build=True)


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
        if self.place is KeyPlace.HEADER and self.name != self.name.lower():
            raise ValueError(f"expected lower case, write {self.name.lower()!r}")
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

    host: str | None = None
    path_prefix: Annotated[str, StringConstraints(pattern="^/")] | None = None
    methods: tuple[str, ...] = ()
    headers: dict[str, str] = Field(default_factory=dict)
    key: str | None = None
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

    service: str
    weight: float = Field(ge=0)


class Target(_Model):
    """The then-part: where the request goes and how it is treated.

    ``split`` divides the requests among services by weight; ``service`` is then one
    of them. ``most_tries`` bounds the servers that one request may be sent to,
    ``target_latency_ms`` is the time within which an answer is worth most to its
    caller, and ``priority`` ranks the rule's requests under load, 0 first.
    """

    service: str
    split: tuple[ServiceShare, ...] = ()
    site: str | None = None
    request_class: str = "consultation"
    key: KeySource | None = None
    repeatable: bool | None = None
    deadline_ms: int | None = Field(default=None, gt=0)
    most_tries: int | None = Field(default=None, gt=0)
    target_latency_ms: int | None = Field(default=None, gt=0)
    priority: int = Field(default=0, ge=0)


class Rule(_Model):
    """One when-then rule."""

    name: str
    when: Condition = Condition()
    then: Target


class RuleDocument(_Model):
    """The ordered list, as kept in the store.

    Neither its length nor a rule's values have a bound here, only the form that
    matching needs. Hosts read lists that the store has accepted: one that refused a
    list for a rule beyond a bound would serve by older rules, and by none after a
    restart. What an operator may apply is bounded by ``RuleChecker``.
    """

    rules: tuple[Rule, ...]
