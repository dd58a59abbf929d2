"""Alarms: what in a daemon's state an operator should look at.

Each has a section in docs/OPERATIONS.md that says what to do.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import final

from ._protocols import Alarm, DaemonState, ServerStatus

AlarmCondition = Callable[[DaemonState, Sequence[ServerStatus]], str | None]

STORE_SILENT_S = 5.0
"""A watch waits as long as this when nothing changes; with the alarm's own time a
store that fell silent is reported after 10 s, and so is one that never answered."""

MOST_IMBALANCE = 1.5
"""Highest over mean load. Placement aims at 1.1, and acts before this is reached."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class AlarmRule:
    """An alarm that is raised once ``condition`` has found something for ``after_s``.

    The wait keeps states that a failover passes through from waking anybody.
    """

    name: str
    after_s: float
    condition: AlarmCondition


def _no_rules(state: DaemonState, servers: Sequence[ServerStatus]) -> str | None:
    if state.rules_revision is not None:
        return None
    return "this host has no rules and refuses every request"


def _store_silent(state: DaemonState, servers: Sequence[ServerStatus]) -> str | None:
    heard = state.store_heard_ago_s
    if heard is not None and heard <= STORE_SILENT_S:
        return None
    age = f"for {heard:.0f} s" if heard is not None else "since this daemon started"
    return f"the store has not answered {age}: no key moves, no rules change"


def _not_ready(state: DaemonState, servers: Sequence[ServerStatus]) -> str | None:
    if state.ready or state.stopping:
        return None
    return "the balancer is told to send nothing here; /readyz has the reasons"


def _no_right(state: DaemonState, servers: Sequence[ServerStatus]) -> str | None:
    missing = sorted(name for name, held in state.right_to_send.items() if not held)
    if not missing:
        return None
    return (
        f"no right to send to every server of {', '.join(missing)}: requests for the"
        " keys of those servers are refused as not run"
    )


def _no_holder(state: DaemonState, servers: Sequence[ServerStatus]) -> str | None:
    missing = sorted(name for name, one in state.control_holders.items() if not one)
    if not missing:
        return None
    return f"no host holds the control lease of {', '.join(missing)}: no key moves"


def _suspect(state: DaemonState, servers: Sequence[ServerStatus]) -> str | None:
    found = sorted(one.id for one in servers if one.state == "suspect")
    if not found:
        return None
    return f"{len(found)} servers answer late or not at all: {', '.join(found[:5])}"


def _no_server(state: DaemonState, servers: Sequence[ServerStatus]) -> str | None:
    services = {one.service for one in servers}
    served = {one.service for one in servers if one.state == "active"}
    if services <= served:
        return None
    return f"no live server for {', '.join(sorted(services - served))}"


def _stuck_on_leaving(
    state: DaemonState, servers: Sequence[ServerStatus]
) -> str | None:
    found = sorted(one.id for one in servers if one.state == "leaving" and one.shards)
    if not found:
        return None
    return f"leaving servers still own shards: {', '.join(found[:5])}"


def _imbalance(state: DaemonState, servers: Sequence[ServerStatus]) -> str | None:
    if state.measures is None:
        return None
    found = {
        name: one
        for name, one in state.measures.imbalance.items()
        if one > MOST_IMBALANCE
    }
    if not found:
        return None
    listed = ", ".join(f"{name} {one:.2f}" for name, one in sorted(found.items()))
    return f"load is uneven (highest over mean): {listed}"


ALARMS = (
    AlarmRule(name="no-rules", after_s=5.0, condition=_no_rules),
    AlarmRule(name="no-server", after_s=2.0, condition=_no_server),
    AlarmRule(name="no-right-to-send", after_s=2.0, condition=_no_right),
    AlarmRule(name="store-silent", after_s=5.0, condition=_store_silent),
    AlarmRule(name="not-ready", after_s=10.0, condition=_not_ready),
    AlarmRule(name="no-control-holder", after_s=10.0, condition=_no_holder),
    AlarmRule(name="server-suspect", after_s=10.0, condition=_suspect),
    AlarmRule(name="leaving-owns-shards", after_s=30.0, condition=_stuck_on_leaving),
    AlarmRule(name="imbalance", after_s=120.0, condition=_imbalance),
)


@final
class AlarmEvaluator:
    """Remembers since when each alarm's test has held."""

    def __init__(self, *, rules: Sequence[AlarmRule] = ALARMS) -> None:
        self._rules = tuple(rules)
        self._since_s: dict[str, float] = {}

    def update(
        self, state: DaemonState, servers: Sequence[ServerStatus], *, now_s: float
    ) -> DaemonState:
        """Return ``state`` with its alarms; call it each second or so.

        ``now_s`` comes from a clock that never goes back.
        """
        raised = []
        for rule in self._rules:
            detail = rule.condition(state, servers)
            if detail is None:
                self._since_s.pop(rule.name, None)
                continue
            held_s = now_s - self._since_s.setdefault(rule.name, now_s)
            if held_s >= rule.after_s:
                raised.append(Alarm(name=rule.name, since_s=held_s, detail=detail))
        return replace(state, alarms=tuple(raised))
