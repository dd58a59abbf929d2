"""Models of the rule documents that operators write and hosts read."""

from typing import Annotated, Self

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    model_validator,
)

from gentianwharf.matching import KeyPlace

MAX_SEGMENT_INDEX = 31


class _Model(BaseModel):
    # Validators of parts are built on first use, as only whole documents are validated.
    # Unknown fields are errors: a field may be a condition, and a rule without one of
    # its conditions would match requests that it is not intended for.
    model_config = ConfigDict(extra="forbid", frozen=True, defer_build=True)


class KeySource(_Model):
    """Where the key is read.

    ``name`` is the name of a header or query field, or the index of a path segment.
    Segments are counted from 0: in ``/calendrier/sciences`` segment 1 is ``sciences``.
    With ``is_shard`` the key is the decimal number of its shard, for clients and
    servers that divide the key space themselves; otherwise the key is hashed.
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
        if not digits or int(self.name) > MAX_SEGMENT_INDEX:
            raise ValueError(
                f"name of a path_segment: expected a number from 0 to"
                f" {MAX_SEGMENT_INDEX}, got {self.name!r}"
            )


class ShardRange(_Model):
    """The shards from ``first`` to ``last``, inclusive."""

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
    """The conditions of a rule, all of which must be met; none match any request.

    ``shard_share`` matches a fraction of a keyed service's shards, from 0 to 1, counted
    from shard 0; ``shard_range`` matches a range of its shards and ``key`` a single
    key. These three depend on the key alone, so they may determine the site of its
    owner; the other conditions may not.
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
    """One service of a traffic split, with its weight relative to the others."""

    service: str
    weight: float = Field(ge=0)


class Target(_Model):
    """Where the requests of a rule are sent and how they are treated.

    ``split`` distributes the requests among services by weight; ``service`` is then one
    of them. ``most_tries`` is the maximum number of servers that one request is sent
    to, ``target_latency_ms`` the latency up to which an answer has full value to its
    caller, and ``priority`` ranks the requests under load; 0 is the highest.
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
    """One rule: conditions, and the target of the requests that meet them."""

    name: str
    when: Condition = Condition()
    then: Target


class RuleDocument(_Model):
    """An ordered list of rules, as stored.

    The model checks only what matching requires and limits neither the number of rules
    nor their values. Hosts read documents that the store has accepted: a host that
    rejected one because of a limit would serve by older rules or, after a restart, by
    none. ``RuleChecker`` limits what operators can apply.
    """

    rules: tuple[Rule, ...]
