"""Alarms: conditions of a daemon's state that need an operator's attention.

Each alarm has a section in docs/OPERATIONS.md that says what to do.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import final

from ._protocols import Alarm, DaemonState, ServerStatus

AlarmCondition = Callable[[DaemonState, Sequence[ServerStatus]], str | None]

STORE_SILENT_S = 5.0
"""How long a watch of the store may take to answer when nothing changes. Together with
the alarm's own delay, a store that stops answering, or never answers, is reported after
10 s."""

IMBALANCE_THRESHOLD = 1.5
"""Ratio of the highest to the mean load. Placement aims at 1.1 and moves shards before
this ratio is reached."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class AlarmRule:
    """An alarm that is raised once ``condition`` has held for ``after_s`` seconds.

    ``condition`` returns the detail of the alarm, None when it does not hold. The delay
    keeps the transient states of a failover from paging an operator.
    """

    name: str
    after_s: float
    condition: AlarmCondition


def _no_rules(state: DaemonState, servers: Sequence[ServerStatus]) -> str | None:
    if state.rules_revision is not None:
        return None
    return "this host has no rules and refuses every request"


def _store_silent(state: DaemonState, servers: Sequence[ServerStatus]) -> str | None:
    heard_ago_s = state.store_heard_ago_s
    if heard_ago_s is not None and heard_ago_s <= STORE_SILENT_S:
        return None
    age = (
        f"for {heard_ago_s:.0f} s"
        if heard_ago_s is not None
        else "since this daemon started"
    )
    return f"the store has not answered {age}: no key moves, no rules change"


def _not_ready(state: DaemonState, servers: Sequence[ServerStatus]) -> str | None:
    if state.ready or state.stopping:
        return None
    return "the balancer is told to send nothing here; /readyz has the reasons"


def _no_right_to_send(
    state: DaemonState, servers: Sequence[ServerStatus]
) -> str | None:
    missing = sorted(name for name, held in state.right_to_send.items() if not held)
    if not missing:
        return None
    return (
        f"no right to send to every server of {', '.join(missing)}: requests for the"
        " keys of those servers are refused as not run"
    )


def _no_control_holder(
    state: DaemonState, servers: Sequence[ServerStatus]
) -> str | None:
    missing = sorted(
        service for service, holder in state.control_holders.items() if not holder
    )
    if not missing:
        return None
    return f"no host holds the control lease of {', '.join(missing)}: no key moves"


def _server_suspect(state: DaemonState, servers: Sequence[ServerStatus]) -> str | None:
    suspects = sorted(server.id for server in servers if server.state == "suspect")
    if not suspects:
        return None
    return (
        f"{len(suspects)} servers answer late or not at all: {', '.join(suspects[:5])}"
    )


def _no_server(state: DaemonState, servers: Sequence[ServerStatus]) -> str | None:
    services = {server.service for server in servers}
    served = {server.service for server in servers if server.state == "active"}
    if services <= served:
        return None
    return f"no live server for {', '.join(sorted(services - served))}"


def _leaving_owns_shards(
    state: DaemonState, servers: Sequence[ServerStatus]
) -> str | None:
    owners = sorted(
        server.id for server in servers if server.state == "leaving" and server.shards
    )
    if not owners:
        return None
    return f"leaving servers still own shards: {', '.join(owners[:5])}"


def _imbalance(state: DaemonState, servers: Sequence[ServerStatus]) -> str | None:
    if state.measures is None:
        return None
    uneven = {
        service: ratio
        for service, ratio in state.measures.imbalance.items()
        if ratio > IMBALANCE_THRESHOLD
    }
    if not uneven:
        return None
    listed = ", ".join(
        f"{service} {ratio:.2f}" for service, ratio in sorted(uneven.items())
    )
    return f"load is uneven (highest over mean): {listed}"


ALARMS = (
    AlarmRule(name="no-rules", after_s=5.0, condition=_no_rules),
    AlarmRule(name="no-server", after_s=2.0, condition=_no_server),
    AlarmRule(name="no-right-to-send", after_s=2.0, condition=_no_right_to_send),
    AlarmRule(name="store-silent", after_s=5.0, condition=_store_silent),
    AlarmRule(name="not-ready", after_s=10.0, condition=_not_ready),
    AlarmRule(name="no-control-holder", after_s=10.0, condition=_no_control_holder),
    AlarmRule(name="server-suspect", after_s=10.0, condition=_server_suspect),
    AlarmRule(name="leaving-owns-shards", after_s=30.0, condition=_leaving_owns_shards),
    AlarmRule(name="imbalance", after_s=120.0, condition=_imbalance),
)


@final
class AlarmEvaluator:
    """Evaluates the alarm rules and records since when each condition has held."""

    def __init__(self, *, rules: Sequence[AlarmRule] = ALARMS) -> None:
        self._rules = tuple(rules)
        self._since_s: dict[str, float] = {}

    def update(
        self, state: DaemonState, servers: Sequence[ServerStatus], *, now_s: float
    ) -> DaemonState:
        """Return ``state`` with its alarms; to be called about once a second.

        ``now_s`` is the time of a monotonic clock.
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
