"""Burn rates of the error budget of each class, alerts, and the largest contributors.

Burn rate, windows and thresholds are those of the Google SRE workbook, chapter
"Alerting on SLOs", section on multiwindow, multi-burn-rate alerts: a burn rate of 1
spends the whole budget in exactly its period of 30 days. An alert fires only if both
windows reach the threshold: the long window shows that the loss is significant, the
short one that it is still going on.
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
MAX_BURNERS = 5


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class AlertRule:
    """Alert when both windows burn at ``threshold`` or faster."""

    severity: str
    long_s: float
    short_s: float
    threshold: float


# The thresholds correspond to spending 2% of the budget in an hour, 5% in six hours
# and 10% in three days.
ALERT_RULES = (
    AlertRule(severity="page", long_s=HOUR_S, short_s=5 * MINUTE_S, threshold=14.4),
    AlertRule(severity="page", long_s=6 * HOUR_S, short_s=30 * MINUTE_S, threshold=6.0),
    AlertRule(severity="ticket", long_s=3 * DAY_S, short_s=6 * HOUR_S, threshold=1.0),
)
WINDOWS_S = tuple(
    sorted({length for rule in ALERT_RULES for length in (rule.long_s, rule.short_s)})
)
# Burners are listed for the long window of the alert that fires first.
BURNERS_WINDOW_S = HOUR_S


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ClassBurn:
    """Burn of one class in one window.

    ``bad_share`` is a fraction of the answers, ``budget_spent`` a fraction of the error
    budget of the objective's whole period.
    """

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
    """A rule, service, failure domain or server, and its share of the bad answers.

    ``kind`` is one of ``rule``, ``service``, ``domain`` and ``server``.
    """

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

    ``shard_s`` is the sum over all shards, ``longest_s`` the longest unavailable span
    of one shard, and ``allowed_s`` the strictest objective for one shard in its period.
    """

    service: str
    shard_s: float
    longest_s: float
    allowed_s: float
    within: bool


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ClassLatency:
    """Time from request to complete answer since startup, aggregated over all hosts."""

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
    """A listed host whose answers are missing from the report, and the reason."""

    host: str
    reason: str


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class BurnReport:
    """The complete report, as lists of flat records.

    ``hosts`` are the hosts whose answers are included, ``silent`` the listed hosts
    whose answers are missing.
    """

    classes: list[ClassBurn]
    alerts: list[BurnAlert]
    burners: list[Burner]
    unavailable: list[UnavailableBurn]
    latencies: list[ClassLatency] = field(default_factory=list)
    hosts: list[str] = field(default_factory=list)
    silent: list[MissingHost] = field(default_factory=list)

    def as_builtins(self) -> dict[str, Any]:
        """Return the report as objects that JSON can represent."""
        fields: dict[str, Any] = msgspec.to_builtins(self)
        return fields

    @classmethod
    def from_builtins(cls, fields: Mapping[str, Any]) -> "BurnReport":
        """Convert the result of ``as_builtins`` back into a report.

        The command-line tool uses it to render the page. Plotting takes a third of a
        second; in a daemon that would block the event loop, so that no requests would
        be served and the daemon's grants would expire.

        Raises ``InputError`` if the fields are not those of a report.
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
    """Compute the report from window counts; counts of several hosts are added up.

    >>> objective = Objective(request_class="archive", limit_s=1.0, share=0.99)
    >>> count = WindowCount(window_s=3600.0, request_class="archive", service="docs",
    ...     rule=1, domain="lac", server="docs-1", total=100, bad=2)
    >>> report = burn_report([objective], [count])
    >>> [round(burn.burn_rate, 3) for burn in report.classes if burn.answers]
    [2.0]
    """
    by_class = {objective.request_class: objective for objective in objectives}
    classes = [
        _class_burn(objective, window_s, counts)
        for objective in by_class.values()
        for window_s in WINDOWS_S
    ]
    rates = {(burn.request_class, burn.window_s): burn.burn_rate for burn in classes}
    return BurnReport(
        classes=classes,
        alerts=[_alert(name, rule, rates) for name in by_class for rule in ALERT_RULES],
        burners=[burner for name in by_class for burner in _burners(name, counts)],
        unavailable=list(unavailable),
        latencies=list(latencies),
        hosts=list(hosts),
        silent=list(silent),
    )


def _class_burn(
    objective: Objective, window_s: float, counts: Iterable[WindowCount]
) -> ClassBurn:
    selected = [
        count
        for count in counts
        if count.request_class == objective.request_class and count.window_s == window_s
    ]
    answers = sum(count.total for count in selected)
    bad = sum(count.bad for count in selected)
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
    selected = [
        count
        for count in counts
        if count.request_class == request_class and count.window_s == BURNERS_WINDOW_S
    ]
    burners = []
    for kind in ("rule", "service", "domain", "server"):
        burners += _burners_of(kind, request_class, selected)
    return burners


def _burner_name(count: WindowCount, kind: str) -> str:
    # Label sets that were merged into ``OTHER`` retain only class and service.
    if count.domain == OTHER and kind != "service":
        return OTHER
    return str(getattr(count, kind) or "(none chosen)")


def _burners_of(
    kind: str, request_class: str, counts: Sequence[WindowCount]
) -> list[Burner]:
    answers: dict[str, int] = {}
    bad: dict[str, int] = {}
    for count in counts:
        name = _burner_name(count, kind)
        answers[name] = answers.get(name, 0) + count.total
        bad[name] = bad.get(name, 0) + count.bad
    total_bad = sum(bad.values())
    worst = sorted((name for name in bad if bad[name]), key=lambda name: -bad[name])
    return [
        Burner(
            request_class=request_class,
            kind=kind,
            name=name,
            answers=answers[name],
            bad=bad[name],
            share_of_bad=bad[name] / total_bad,
        )
        for name in worst[:MAX_BURNERS]
    ]
