"""What the admin port asks of the daemon's parts, a ``Protocol`` a part.

Every method that changes something takes the operator's name, for the log and the
store. Each raises the errors of ``gentianwharf.errors``; the port turns
``RefusedError`` into 409, ``InputError`` into 422, ``PeerUnavailableError`` into 503
and ``OutcomeUnknownError`` into 504.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol, final

from gentianwharf.infra import ListedHost
from gentianwharf.rules import ApplyResult, RuleDocument, RuleSet, RuleVersion

JsonValue = (
    None | bool | int | float | str | Sequence["JsonValue"] | Mapping[str, "JsonValue"]
)


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Alarm:
    """Something that an operator should look at; the name stands in OPERATIONS.md.

    ``since_s`` is for how long it has held.
    """

    name: str
    since_s: float
    detail: str


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Measures:
    """The three measures by service; docs/OPERATIONS.md defines them.

    ``imbalance`` is of the last whole minute and leaves out services with too few
    answers to tell; ``churn`` in shards and ``unavailable_s`` in shard-seconds are of
    the last ``window_s``.
    """

    window_s: float
    imbalance: Mapping[str, float]
    churn: Mapping[str, int]
    unavailable_s: Mapping[str, float]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class DaemonState:
    """One daemon's view of itself, for ``/state`` and ``gentianwharf status``.

    ``store_heard_ago_s`` is None when the store has never answered;
    ``table_versions`` is by service, ``right_to_send`` likewise. A witness without a
    memory (``docs/design/ownership.md``) confirms nothing yet.
    """

    customer: str
    host: str
    domain: str
    site: str
    ready: bool
    stopping: bool
    rules_revision: int | None
    store_heard_ago_s: float | None
    table_versions: Mapping[str, int]
    right_to_send: Mapping[str, bool]
    control_holders: Mapping[str, str | None]
    is_witness: bool
    witness_has_memory: bool
    measures: Measures | None
    alarms: tuple[Alarm, ...]


class StateView(Protocol):
    """The daemon's health and state."""

    def is_live(self) -> bool:
        """Return False when only a restart helps."""

    def unready_reasons(self) -> Sequence[str]:
        """Return why the balancer should send no request here; empty when ready."""

    def state(self) -> DaemonState:
        """Return the whole state."""


class RulesControl(Protocol):
    """The rules in force on this host and the operators' document in the store.

    ``gentianwharf.rules.RuleBook`` gives all but ``in_force``.
    """

    def in_force(self) -> RuleSet | None:
        """Return what this host matches requests with."""

    async def read(self) -> RuleVersion | None:
        """Return the document in the store."""

    async def history(self) -> list[RuleVersion]:
        """Return the documents still kept, newest first."""

    async def apply(
        self,
        document: RuleDocument,
        *,
        edited_from_revision: int,
        author: str,
        change_id: str | None = None,
    ) -> ApplyResult:
        """Put ``document`` in force if nobody else was faster.

        Repeating a call with its ``change_id`` is safe.
        """


class HostRulesStatus(StrEnum):
    """How a host stands to a revision of the rules.

    ``UNREADABLE`` is a host that has the revision and can't put it in force: its
    release is older than the document.
    """

    IN_FORCE = "in force"
    OLDER = "older"
    UNREADABLE = "unreadable"
    SILENT = "silent"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class HostRules:
    """What a listed host matches requests with.

    ``in_force_revision`` is None for no rules and for a silent host, ``reason`` says
    why a host is silent.
    """

    host: str
    domain: str
    standing: HostRulesStatus
    in_force_revision: int | None
    reason: str = ""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutStatus:
    """Which listed hosts have ``revision``, or a newer one, in force."""

    revision: int
    everywhere: bool
    hosts: tuple[HostRules, ...]


class FleetRules(Protocol):
    """The rules in force on every listed host; they are asked, not the store."""

    async def rollout_status(
        self, *, revision: int | None, wait_s: float
    ) -> RolloutStatus:
        """Return once ``revision`` is in force everywhere, or after ``wait_s``.

        None stands for the newest revision that any host has.
        """


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyOwner:
    """Who owns a key; ``moving_to`` and ``step`` tell of a move under way.

    ``single`` says that the key has an entry of its own beside its shard.
    """

    service: str
    key: str
    shard: int
    single: bool
    server: str | None
    site: str | None
    token: int
    table_version: int
    moving_to: str | None = None
    step: str | None = None


class KeysControl(Protocol):
    """Owners of keys."""

    def owner(self, service: str, key: str) -> KeyOwner:
        """Return who owns ``key`` as this host knows it."""

    async def move(self, service: str, key: str, server: str, author: str) -> KeyOwner:
        """Begin to move the key's shard to ``server``; returns at the intent."""

    async def pin(
        self, service: str, key: str, server: str | None, author: str
    ) -> KeyOwner:
        """Give ``key`` an entry of its own on ``server``; None takes it away."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServerStatus:
    """A backend server as this host sees it.

    ``slots_busy`` counts this host's own requests, ``reported_load`` is the server's
    word and lags; ``shards`` counts those that it owns.
    """

    id: str
    service: str
    domain: str
    site: str
    address: str
    state: str
    slots: int
    slots_busy: int
    reported_load: float | None
    shards: int


class ServersControl(Protocol):
    """Backend servers."""

    def servers(self) -> Sequence[ServerStatus]:
        """Return every backend server."""

    async def drain(self, server: str, author: str) -> ServerStatus:
        """Give ``server`` no new work and move its shards away."""


class HostsView(Protocol):
    """The platform's host list."""

    async def hosts(self) -> Sequence[ListedHost]:
        """Return the live and leaving hosts as the platform lists them."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class DomainLoss:
    """What declaring a failure domain lost would do, or has done.

    ``shards`` counts by service those that would get new owners, ``heard_ago_s`` the
    time since a host of that domain was heard, None for never.
    """

    domain: str
    shards: Mapping[str, int]
    heard_ago_s: float | None
    risks: tuple[str, ...]
    declared: bool


class DomainsControl(Protocol):
    """Failure domains that an operator may declare lost."""

    def preview_loss(self, domain: str) -> DomainLoss:
        """Return what it would do and risk, without doing it."""

    async def declare_lost(self, domain: str, author: str) -> DomainLoss:
        """Let other domains take over the keys of ``domain``."""


class BurnView(Protocol):
    """The service-level burn."""

    async def burn(self, *, host: str | None) -> Mapping[str, JsonValue]:
        """Return the report as JSON, over all listed hosts or one alone."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RetainedDecisions:
    """Decisions, the newest first, each with its ``host``.

    ``silent`` are the listed hosts that were asked and did not answer, with reasons.
    """

    decisions: Sequence[Mapping[str, JsonValue]]
    silent: Mapping[str, str]


class DecisionsView(Protocol):
    """Why requests went where they went."""

    def latest(self, *, refused_only: bool, limit: int) -> RetainedDecisions:
        """Return this host's newest kept decisions, at most ``limit``.

        ``refused_only`` leaves out all that were neither refused nor unknown.
        """

    async def find(self, request_id: str) -> RetainedDecisions:
        """Return what any listed host keeps on a request."""
