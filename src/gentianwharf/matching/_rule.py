"""The interface of rules that matching uses, and data classes that implement it.

Documents that operators write are validated models, and importing these takes a third
of a host's start-up time. A host that receives rules in another format decodes them
into the data classes of this module and does not import the models. Matching accepts
both.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol, final


class KeyPlace(StrEnum):
    """The part of a request that carries the key."""

    HEADER = "header"
    PATH_SEGMENT = "path_segment"
    QUERY = "query"


class KeySource(Protocol):
    """Where a rule reads a request's key; equal sources have equal hashes."""

    @property
    def place(self) -> KeyPlace:
        """The part of the request."""

    @property
    def name(self) -> str:
        """The name of a header or query field, or the index of a path segment."""

    @property
    def is_shard(self) -> bool:
        """Whether the key is the decimal number of its shard."""


class ShardRange(Protocol):
    """The shards from ``first`` to ``last``, inclusive."""

    @property
    def first(self) -> int:
        """The first shard."""

    @property
    def last(self) -> int:
        """The last shard."""


class Condition(Protocol):
    """The conditions of a rule; a request must meet all that are set."""

    @property
    def host(self) -> str | None:
        """The request's host, in lower case."""

    @property
    def path_prefix(self) -> str | None:
        """The prefix of the request's path."""

    @property
    def methods(self) -> Sequence[str]:
        """The accepted methods; empty accepts any method."""

    @property
    def headers(self) -> Mapping[str, str]:
        """The required headers and their values."""

    @property
    def key(self) -> str | None:
        """The only key that matches."""

    @property
    def shard_share(self) -> float | None:
        """The fraction of shards that match, from 0 to 1, counted from shard 0."""

    @property
    def shard_range(self) -> ShardRange | None:
        """The range of shards that match."""


class ServiceShare(Protocol):
    """One service of a traffic split, with its weight."""

    @property
    def service(self) -> str:
        """The name of the service."""

    @property
    def weight(self) -> float:
        """Its weight relative to the others, 0 or more."""


class Target(Protocol):
    """Where the requests of a rule are sent and how they are treated."""

    @property
    def service(self) -> str:
        """The service; with a split, one of its services."""

    @property
    def split(self) -> Sequence[ServiceShare]:
        """The services that share the requests; empty without a split."""

    @property
    def site(self) -> str | None:
        """The site of the key's owner, None for any site."""

    @property
    def request_class(self) -> str:
        """The class that determines treatment under load."""

    @property
    def key(self) -> KeySource | None:
        """Where the key is read, besides the header ``Gentianwharf-Key``."""

    @property
    def repeatable(self) -> bool | None:
        """Whether a request may be executed more than once; None: by its method."""

    @property
    def deadline_ms(self) -> int | None:
        """The longest time to an answer, in milliseconds; None: as for the class."""

    @property
    def most_tries(self) -> int | None:
        """The maximum number of servers that one request is sent to."""

    @property
    def target_latency_ms(self) -> int | None:
        """The latency up to which an answer has full value to its caller, in ms."""

    @property
    def priority(self) -> int:
        """The priority of the requests under load; 0 is the highest."""


class Rule(Protocol):
    """One rule: conditions, and the target of the requests that meet them."""

    @property
    def name(self) -> str:
        """The name of the rule."""

    @property
    def when(self) -> Condition:
        """The conditions on a request."""

    @property
    def then(self) -> Target:
        """The target of matching requests."""


class Rules(Protocol):
    """An ordered list of rules; the first matching rule applies."""

    @property
    def rules(self) -> Sequence[Rule]:
        """The rules in document order."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class DecodedKeySource:
    """Implements ``KeySource``."""

    place: KeyPlace
    name: str
    is_shard: bool = False


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class DecodedCondition:
    """Implements ``Condition``."""

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
    """Implements ``ServiceShare``."""

    service: str
    weight: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class DecodedTarget:
    """Implements ``Target``."""

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
    """Implements ``Rule``."""

    name: str
    when: DecodedCondition
    then: DecodedTarget


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class DecodedRules:
    """Implements ``Rules``."""

    rules: tuple[DecodedRule, ...]
