"""What matching reads of a rule, and rules as an adapter decodes them.

The documents that operators write are validated models, which take a third of a host's
start to load. A host whose rules come in another form decodes them into the data
classes here and loads no models. Matching reads both alike.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol, final


class KeyPlace(StrEnum):
    """Where in a request the key stands."""

    HEADER = "header"
    PATH_SEGMENT = "path_segment"
    QUERY = "query"


class KeySource(Protocol):
    """Where a rule finds a request's key; equal ones have equal hashes."""

    @property
    def place(self) -> KeyPlace:
        """Which part of the request."""

    @property
    def name(self) -> str:
        """A header, a field or a segment's index."""

    @property
    def is_shard(self) -> bool:
        """Whether the key is the number of its shard."""


class ShardRange(Protocol):
    """Shards from ``first`` to ``last``, both included."""

    @property
    def first(self) -> int:
        """The first shard."""

    @property
    def last(self) -> int:
        """The last shard."""


class Condition(Protocol):
    """The when-part: all that are given must hold."""

    @property
    def host(self) -> str | None:
        """The request's host, in lower case."""

    @property
    def path_prefix(self) -> str | None:
        """What the path begins with."""

    @property
    def methods(self) -> Sequence[str]:
        """Any of these; none: all."""

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers and their values."""

    @property
    def key(self) -> str | None:
        """A single key."""

    @property
    def shard_share(self) -> float | None:
        """The first part of the shards, from 0 to 1."""

    @property
    def shard_range(self) -> ShardRange | None:
        """Some of the shards."""


class ServiceShare(Protocol):
    """One service of a split, and its part relative to the others' weights."""

    @property
    def service(self) -> str:
        """The service."""

    @property
    def weight(self) -> float:
        """Its weight, 0 or more."""


class Target(Protocol):
    """The then-part: where the request goes and how it is treated."""

    @property
    def service(self) -> str:
        """The service, or one of the split's."""

    @property
    def split(self) -> Sequence[ServiceShare]:
        """Services that share the requests."""

    @property
    def site(self) -> str | None:
        """Where the key's owner should stand."""

    @property
    def request_class(self) -> str:
        """How the requests are treated under load."""

    @property
    def key(self) -> KeySource | None:
        """Where the key is read."""

    @property
    def repeatable(self) -> bool | None:
        """Whether a request may run more than once; None: by its method."""

    @property
    def deadline_ms(self) -> int | None:
        """The longest that a caller is kept waiting."""

    @property
    def most_tries(self) -> int | None:
        """To how many servers one request may be sent."""

    @property
    def target_latency_ms(self) -> int | None:
        """The time within which an answer is worth most to its caller."""

    @property
    def priority(self) -> int:
        """The rank of its requests under load, 0 first."""


class Rule(Protocol):
    """One when-then rule."""

    @property
    def name(self) -> str:
        """Its name."""

    @property
    def when(self) -> Condition:
        """Which requests it decides."""

    @property
    def then(self) -> Target:
        """What becomes of them."""


class Rules(Protocol):
    """The ordered list; the first rule that matches decides."""

    @property
    def rules(self) -> Sequence[Rule]:
        """The rules in their order."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class DecodedKeySource:
    """Where a decoded rule finds a key."""

    place: KeyPlace
    name: str
    is_shard: bool = False


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class DecodedCondition:
    """The when-part of a decoded rule."""

    host: str | None = None
    path_prefix: str | None = None
    methods: tuple[str, ...] = ()
    headers: Mapping[str, str] = field(default_factory=dict)
    key: str | None = None
    shard_share: float | None = None
    shard_range: ShardRange | None = None


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class DecodedShare:
    """One service of a decoded rule's split."""

    service: str
    weight: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class DecodedTarget:
    """The then-part of a decoded rule."""

    service: str
    split: tuple[DecodedShare, ...] = ()
    site: str | None = None
    request_class: str = "consultation"
    key: DecodedKeySource | None = None
    repeatable: bool | None = None
    deadline_ms: int | None = None
    most_tries: int | None = None
    target_latency_ms: int | None = None
    priority: int = 0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class DecodedRule:
    """One rule as an adapter decodes it."""

    name: str
    when: DecodedCondition
    then: DecodedTarget


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class DecodedRules:
    """The ordered list as an adapter decodes it."""

    rules: tuple[DecodedRule, ...]
