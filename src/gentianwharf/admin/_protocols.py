"""Interfaces that the admin port needs: one ``Protocol`` for each part of the daemon.

Every method that changes something takes the operator's name, for the log and the
store. All methods raise the errors of ``gentianwharf.errors``; the port answers
``RefusedError`` with 409, ``InputError`` with 422, ``PeerUnavailableError`` with 503
and ``OutcomeUnknownError`` with 504.
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
    """A condition that needs an operator's attention; OPERATIONS.md lists the names.

    ``since_s`` is the time in seconds for which the condition has held.
    """

    name: str
    since_s: float
    detail: str


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Measures:
    """The three measures by service; docs/OPERATIONS.md defines them.

    ``imbalance`` covers the last whole minute and omits services with too few answers
    for a meaningful value; ``churn`` in shards and ``unavailable_s`` in shard-seconds
    cover the last ``window_s`` seconds.
    """

    window_s: float
    imbalance: Mapping[str, float]
    churn: Mapping[str, int]
    unavailable_s: Mapping[str, float]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class DaemonState:
    """State of one daemon, for ``/state`` and ``gentianwharf status``.

    ``store_heard_ago_s`` is the time since the store's last answer, None when it has
    never answered. ``table_versions``, ``right_to_send`` and ``control_holders`` are by
    service. A witness without a memory (``docs/design/ownership.md``) does not confirm
    anything yet.
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
        """Return False when only a restart can make the daemon work again."""

    def unready_reasons(self) -> Sequence[str]:
        """Return why the balancer should not send requests here; empty when ready."""

    def state(self) -> DaemonState:
        """Return the whole state."""


class RulesControl(Protocol):
    """The rules in force on this host and the operators' document in the store.

    ``gentianwharf.rules.RuleBook`` implements all methods but ``in_force``.
    """

    def in_force(self) -> RuleSet | None:
        """Return the rules that this host matches requests with."""

    async def read(self) -> RuleVersion | None:
        """Return the document in the store."""

    async def history(self) -> list[RuleVersion]:
        """Return the retained versions of the document, newest first."""

    async def apply(
        self,
        document: RuleDocument,
        *,
        edited_from_revision: int,
        author: str,
        change_id: str | None = None,
    ) -> ApplyResult:
        """Put ``document`` in force unless the rules have changed since its revision.

        A call may be repeated safely with the same ``change_id``.
        """


class HostRulesStatus(StrEnum):
    """Whether a host has a revision of the rules in force.

    ``UNREADABLE`` means that the host has the revision and can't put it in force
    because its release is too old for the document.
    """

    IN_FORCE = "in force"
    OLDER = "older"
    UNREADABLE = "unreadable"
    SILENT = "silent"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class HostRules:
    """The rules that a listed host matches requests with.

    ``in_force_revision`` is None for a host without rules and for a silent host;
    ``reason`` says why a host is silent.
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
    """The rules in force on every listed host, as the hosts themselves report them."""

    async def rollout_status(
        self, *, revision: int | None, wait_s: float
    ) -> RolloutStatus:
        """Return once ``revision`` is in force on all hosts, or after ``wait_s`` s.

        None stands for the newest revision that any host has.
        """


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyOwner:
    """The owner of a key; ``moving_to`` and ``step`` describe a move in progress.

    ``single`` is true when the key is pinned, with an entry of its own beside that of
    its shard.
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
        """Return the owner of ``key`` according to this host's table."""

    async def move(self, service: str, key: str, server: str, author: str) -> KeyOwner:
        """Start moving the key's shard to ``server``; returns once that is stored."""

    async def pin(
        self, service: str, key: str, server: str | None, author: str
    ) -> KeyOwner:
        """Pin ``key`` to ``server``; None removes the pin."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServerStatus:
    """A backend server as seen from this host.

    ``slots_busy`` counts this host's own requests only. ``reported_load`` is the load
    that the server itself last reported, and lags. ``shards`` counts the shards that
    the server owns.
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
        """Stop sending new requests to ``server`` and move its shards to others."""


class HostsView(Protocol):
    """The platform's host list."""

    async def hosts(self) -> Sequence[ListedHost]:
        """Return the live and leaving hosts as the platform lists them."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class DomainLoss:
    """Effects of declaring a failure domain lost, before or after the declaration.

    ``shards`` counts by service the shards that get new owners. ``heard_ago_s`` is the
    time since the last message from a host of that domain, None for never.
    """

    domain: str
    shards: Mapping[str, int]
    heard_ago_s: float | None
    risks: tuple[str, ...]
    declared: bool


class DomainsControl(Protocol):
    """Failure domains that an operator may declare lost."""

    def preview_loss(self, domain: str) -> DomainLoss:
        """Return the effects and risks of declaring ``domain`` lost."""

    async def declare_lost(self, domain: str, author: str) -> DomainLoss:
        """Let other domains take over the keys of ``domain``."""


class BurnView(Protocol):
    """The service-level burn."""

    async def burn(self, *, host: str | None) -> Mapping[str, JsonValue]:
        """Return the report as JSON, over all listed hosts or only ``host``."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RetainedDecisions:
    """Decisions, the newest first, each with its ``host``.

    ``silent`` has the listed hosts that did not answer the query, with the reasons.
    """

    decisions: Sequence[Mapping[str, JsonValue]]
    silent: Mapping[str, str]


class DecisionsView(Protocol):
    """Decisions about requests: why they were sent to a server or refused."""

    def latest(self, *, refused_only: bool, limit: int) -> RetainedDecisions:
        """Return this host's newest retained decisions, at most ``limit``.

        ``refused_only`` omits requests that were neither refused nor left unknown.
        """

    async def find(self, request_id: str) -> RetainedDecisions:
        """Return the decisions that any listed host retains on a request."""
