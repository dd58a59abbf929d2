"""How fast each class burns its error budget, when to alert, and what burns it.

Burn rate, windows and thresholds are those of the Google SRE workbook, chapter
"Alerting on SLOs", section on multiwindow, multi-burn-rate alerts: a burn rate of 1
spends the whole budget in exactly its period of 30 days. An alert needs the long window
(it matters) and the short one (it still goes on).
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, final

import msgspec

from gentianwharf.errors import InputError

from ._objectives import Objective
from ._windows import OTHER, WindowCount

MINUTE_S = 60.0
HOUR_S = 3_600.0
DAY_S = 86_400.0
MOST_BURNERS = 5


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class AlertRule:
    """Alert when both windows burn at ``threshold`` or faster."""

    severity: str
    long_s: float
    short_s: float
    threshold: float


# Spending 2% of the budget in an hour, 5% in six hours, 10% in three days.
ALERT_RULES = (
    AlertRule(severity="page", long_s=HOUR_S, short_s=5 * MINUTE_S, threshold=14.4),
    AlertRule(severity="page", long_s=6 * HOUR_S, short_s=30 * MINUTE_S, threshold=6.0),
    AlertRule(severity="ticket", long_s=3 * DAY_S, short_s=6 * HOUR_S, threshold=1.0),
)
WINDOWS_S = tuple(
    sorted({length for rule in ALERT_RULES for length in (rule.long_s, rule.short_s)})
)
# The windows in which the burners are named: the one that pages first.
BURNERS_WINDOW_S = HOUR_S


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ClassBurn:
    """One class in one window; ``budget_spent`` is a share of the period's budget."""

    request_class: str
    window_s: float
    answers: int
    bad: int
    bad_share: float
    burn_rate: float
    budget_spent: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class BurnAlert:
    """Whether an alert rule fires for a class."""

    request_class: str
    severity: str
    long_s: float
    short_s: float
    threshold: float
    long_burn_rate: float
    short_burn_rate: float
    firing: bool


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Burner:
    """A rule, service, failure domain or server, and its share of the bad answers."""

    request_class: str
    kind: str
    name: str
    answers: int
    bad: int
    share_of_bad: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class UnavailableBurn:
    """Unavailable time of a keyed service's shards since this daemon started.

    ``longest_s`` is the longest span of one shard, ``allowed_s`` the strictest
    objective for one shard in its period.
    """

    service: str
    shard_s: float
    longest_s: float
    allowed_s: float
    within: bool


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ClassLatency:
    """Time from request to whole answer since the hosts started, all hosts together."""

    service: str
    request_class: str
    answers: int
    p50_s: float
    p99_s: float
    p999_s: float
    longest_s: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class MissingHost:
    """A listed host whose answers the report lacks, and why."""

    host: str
    reason: str


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class BurnReport:
    """The whole report; its parts are lists of flat records.

    ``hosts`` are those whose answers it holds, ``silent`` the listed ones that it
    lacks.
    """

    classes: list[ClassBurn]
    alerts: list[BurnAlert]
    burners: list[Burner]
    unavailable: list[UnavailableBurn]
    latencies: list[ClassLatency] = field(default_factory=list)
    hosts: list[str] = field(default_factory=list)
    silent: list[MissingHost] = field(default_factory=list)

    def as_builtins(self) -> dict[str, Any]:
        """Return the report as what JSON knows."""
        fields: dict[str, Any] = msgspec.to_builtins(self)
        return fields

    @classmethod
    def from_builtins(cls, fields: Mapping[str, Any]) -> "BurnReport":
        """Read what ``as_builtins`` gave; raises ``InputError`` for anything else.

        So that the operator's tool makes the page: its plots take a third of a second,
        in which a daemon would answer nobody and its rights would run out.
        """
        try:
            return msgspec.convert(fields, cls)
        except msgspec.ValidationError as error:
            raise InputError(
                f"expected a burn report, got something else: {error};"
                " is the daemon of another version?",
                step="read burn report",
                peer="daemon",
            ) from error


def burn_report(
    objectives: Iterable[Objective],
    counts: Sequence[WindowCount],
    *,
    unavailable: Sequence[UnavailableBurn] = (),
    latencies: Sequence[ClassLatency] = (),
    hosts: Sequence[str] = (),
    silent: Sequence[MissingHost] = (),
) -> BurnReport:
    """Work the report out of window counts; those of several hosts just add up.

    >>> objective = Objective(request_class="archive", limit_s=1.0, share=0.99)
    >>> count = WindowCount(window_s=3600.0, request_class="archive", service="docs",
    ...     rule=1, domain="lac", server="docs-1", total=100, bad=2)
    >>> report = burn_report([objective], [count])
    >>> [round(one.burn_rate, 3) for one in report.classes if one.answers]
    [2.0]
    """
    known = {one.request_class: one for one in objectives}
    classes = [
        _class_burn(objective, window_s, counts)
        for objective in known.values()
        for window_s in WINDOWS_S
    ]
    rates = {(one.request_class, one.window_s): one.burn_rate for one in classes}
    return BurnReport(
        classes=classes,
        alerts=[_alert(name, rule, rates) for name in known for rule in ALERT_RULES],
        burners=[burner for name in known for burner in _burners(name, counts)],
        unavailable=list(unavailable),
        latencies=list(latencies),
        hosts=list(hosts),
        silent=list(silent),
    )


def _class_burn(
    objective: Objective, window_s: float, counts: Iterable[WindowCount]
) -> ClassBurn:
    mine = [
        one
        for one in counts
        if one.request_class == objective.request_class and one.window_s == window_s
    ]
    answers = sum(one.total for one in mine)
    bad = sum(one.bad for one in mine)
    bad_share = bad / answers if answers else 0.0
    burn_rate = bad_share / objective.error_budget
    return ClassBurn(
        request_class=objective.request_class,
        window_s=window_s,
        answers=answers,
        bad=bad,
        bad_share=bad_share,
        burn_rate=burn_rate,
        budget_spent=burn_rate * window_s / objective.period_s,
    )


def _alert(
    request_class: str, rule: AlertRule, rates: Mapping[tuple[str, float], float]
) -> BurnAlert:
    long_rate = rates[request_class, rule.long_s]
    short_rate = rates[request_class, rule.short_s]
    return BurnAlert(
        request_class=request_class,
        severity=rule.severity,
        long_s=rule.long_s,
        short_s=rule.short_s,
        threshold=rule.threshold,
        long_burn_rate=long_rate,
        short_burn_rate=short_rate,
        firing=min(long_rate, short_rate) >= rule.threshold,
    )


def _burners(request_class: str, counts: Iterable[WindowCount]) -> list[Burner]:
    mine = [
        one
        for one in counts
        if one.request_class == request_class and one.window_s == BURNERS_WINDOW_S
    ]
    burners = []
    for kind in ("rule", "service", "domain", "server"):
        burners += _burners_of(kind, request_class, mine)
    return burners


def _name(count: WindowCount, kind: str) -> str:
    # Of places that were put together only class and service are known.
    if count.domain == OTHER and kind != "service":
        return OTHER
    return str(getattr(count, kind) or "(none chosen)")


def _burners_of(
    kind: str, request_class: str, counts: Sequence[WindowCount]
) -> list[Burner]:
    answers: dict[str, int] = {}
    bad: dict[str, int] = {}
    for one in counts:
        name = _name(one, kind)
        answers[name] = answers.get(name, 0) + one.total
        bad[name] = bad.get(name, 0) + one.bad
    whole = sum(bad.values())
    worst = sorted((name for name in bad if bad[name]), key=lambda name: -bad[name])
    return [
        Burner(
            request_class=request_class,
            kind=kind,
            name=name,
            answers=answers[name],
            bad=bad[name],
            share_of_bad=bad[name] / whole,
        )
        for name in worst[:MOST_BURNERS]
    ]
