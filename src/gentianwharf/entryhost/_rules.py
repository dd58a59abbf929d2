"""The operators' rules in force on this host."""

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import final

from gentianwharf.errors import InputError
from gentianwharf.logs import log
from gentianwharf.matching import RequestFacts, RuleMatch, RuleSet
from gentianwharf.platform import (
    SHARDS,
    Configuration,
    DecodedTargets,
    decode_configuration,
)
from gentianwharf.relay import Problem
from gentianwharf.runs import RunStatus
from gentianwharf.store import Item

from ._newest_rules import NewestRules

NO_RULES = Problem(
    status=503,
    title="this host has just started and knows no rules yet",
    run=RunStatus.NOT_RUN,
    retry_after_s=0.3,
    step="match",
)

UNREADABLE_RULE = Problem(
    status=503,
    title="this host can't read the rule for this request",
    run=RunStatus.NOT_RUN,
    detail="The operators have to write it in a form that this release knows.",
    retry_after_s=1.0,
    step="match",
)
"""Another host with a later release may be able to serve the request. If none can,
retries are useless, but callers do not conclude that their request is invalid."""

RULES_OUTDATED = Problem(
    status=503,
    title="this host has not yet received the newest rules",
    run=RunStatus.NOT_RUN,
    detail="Other hosts have them.",
    retry_after_s=0.2,
    step="match",
)

MAX_LOGGED_PARTS = 5
"""Maximum number of unreadable parts in a log line; the metric counts all of them."""


@final
class RulesInForce:
    """Matches requests with the newest configuration that could be applied.

    An older version never replaces a newer one. Once newer rules have been known to
    exist for ``max_lacking_s`` and have not been received, no request is matched.
    """

    def __init__(
        self, *, now_s: Callable[[], float], max_lacking_s: float = float("inf")
    ) -> None:
        self.newest = NewestRules(now_s=now_s)
        self.configuration: Configuration | None = None
        self.on_change: Callable[[Configuration], None] = lambda configuration: None
        self.leader_revision: Callable[[], int] = lambda: 0
        """Returns the revision of the item of the leader that this host follows."""
        self._rules: RuleSet | None = None
        self._targets = DecodedTargets()
        self._unread_rules: frozenset[str] = frozenset()
        self._now_s = now_s
        self._refused_since_s: float | None = None
        self._max_lacking_s = max_lacking_s
        self._was_outdated = False

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def refused_s(self) -> float:
        """Return for how long a newer configuration has been received and not in force.

        It distinguishes a host that refuses the rules that all others have in force
        from one that has not received them.
        """
        if self._refused_since_s is None:
            return 0.0
        return self._now_s() - self._refused_since_s

    def is_outdated(self) -> bool:
        """Whether newer rules have been missing here for longer than allowed."""
        lacking_s = self.newest.lacking_s()
        is_outdated = lacking_s > self._max_lacking_s
        if is_outdated is not self._was_outdated:
            self._was_outdated = is_outdated
            log.warning(
                "newer rules are missing, requests are refused"
                if is_outdated
                else "the newest rules have been received, requests are served",
                extra={
                    "lacking_s": round(lacking_s, 3),
                    "version": self.version,
                    "revision": self.newest.revision,
                },
            )
        return is_outdated

    def unread(self) -> int:
        """Return the number of unreadable parts of the configuration in force."""
        return len(self.configuration.unread) if self.configuration else 0

    def note_item(self, item: Item | None) -> None:
        """Apply the configuration in the store; an invalid one changes nothing."""
        if item is None:
            return
        self.newest.note_received(item.revision)
        if self._refused_since_s is None:
            # Set until the configuration is in force, whether it is refused or an error
            # occurs.
            self._refused_since_s = self._now_s()
        try:
            configuration = decode_configuration(item.value, targets=self._targets)
        except InputError as error:
            self._log_refused(item, error)
            return
        current = self.configuration
        if current is None or configuration.version > current.version:
            self._activate(configuration, item)
        self._refused_since_s = None

    def _activate(self, configuration: Configuration, item: Item) -> None:
        self._rules = RuleSet(
            document=configuration.document,
            revision=item.revision,
            shards=_shards(configuration),
        )
        self._unread_rules = configuration.unread_rules
        self.configuration = configuration
        log.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "revision": item.revision,
                "leader_revision": self.leader_revision(),
            },
        )
        self._log_unread(configuration)
        self.on_change(configuration)

    def _log_unread(self, configuration: Configuration) -> None:
        if not configuration.unread:
            return
        details = "; ".join(
            f"{problem.part}: {problem.reason}"
            for problem in configuration.unread[:MAX_LOGGED_PARTS]
        )
        log.error(
            "configuration in force but for {} parts: {}",
            len(configuration.unread),
            details,
            extra={"version": configuration.version},
        )

    def _log_refused(self, item: Item, error: InputError) -> None:
        log.error(
            "configuration not taken: {}",
            error.message,
            extra={
                "step": error.step,
                "peer": error.peer,
                "revision": item.revision,
                "version": self.version,
            },
        )

    def match(self, facts: RequestFacts) -> RuleMatch | None:
        """Return the match of the first matching rule, or None if no rule matches.

        Raises ``Problem`` if the host has no rules yet, lacks the newest ones or cannot
        read the rule: callers should retry in all of these cases, unlike after a
        request that no rule matches.
        """
        if self._rules is None:
            raise replace(NO_RULES)
        if self.is_outdated():
            raise replace(RULES_OUTDATED)
        match = self._rules.match(facts)
        if match is not None and match.rule.name in self._unread_rules:
            raise replace(UNREADABLE_RULE)
        return match

    def with_service(self, match: RuleMatch, service: str) -> RuleMatch:
        """Return ``match`` with another service of its rule's split."""
        assert self._rules is not None, "a match requires rules"
        return self._rules.with_service(match, service)


def _shards(configuration: Configuration) -> Mapping[str, int]:
    return {
        name: SHARDS if service.keyed else 0
        for name, service in configuration.services.items()
    }
