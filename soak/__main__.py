"""Run the soak: ``python -m soak --first 1 --seeds 50``."""

import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random
from tempfile import mkdtemp
from typing import Any, final

from cyclopts import App
from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from gentianwharf.lifecycle import use_monotonic_time
from gentianwharf.platform import PlatformStore

from ._callers import Callers
from ._checks import broken, unserved
from ._deployment import Deployment
from ._faults import Faults
from ._operators import Operators
from ._restarts import Restarts
from ._rule_checks import bound_in_time, late_rules, older_after_newer
from ._schedule import Schedule

START_S = 5.0
"""Processes import for a second, servers settle for another, on a busy machine more."""

RECOVER_S = 12.0
"""From the end of all faults: below the 15 s that the platform's operators allow."""

QUIET_S = 3.0
END_S = 1.0
PER_S = 60.0
FIRST_NET = 100

app = App(name="soak", help="Run the real programs under random faults.")
reactor: Any = installed_reactor


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Play:
    """A seed, and whether lists of rules grow and all hosts are restarted in it."""

    seed: int
    rules_grow: bool = True


STILL_OPEN = (
    *(5001, 5009, 5018, 5019, 5022, 5023, 5025),
    *(8003, 8008, 8012, 8015, 8017, 9035),
)
"""Of faults that are not mended: these may pass or fail."""

FAILED = (
    *(Play(seed=seed, rules_grow=False) for seed in (4, 5, 9, 22, 27)),
    *(Play(seed=seed) for seed in (1, 3, *STILL_OPEN)),
)
"""What broke something once, with 15 s of faults: docs/SOAK.md has the causes."""


async def _play(play: Play, net: int, faults_s: float, logs: Path) -> list[str]:
    logs.mkdir(parents=True)
    seed = play.seed
    schedule = Schedule(reactor=reactor)
    deployment = Deployment(reactor=reactor, net=net, logs=logs)
    operators = Operators(
        reactor=reactor,
        store=PlatformStore(reactor=reactor, address=deployment.operators_address),
        schedule=schedule,
        rng=Random(seed + 2),
    )
    callers = Callers(
        reactor=reactor,
        rng=Random(seed + 1),
        addresses=deployment.addresses(),
        operators=operators,
    )
    # Generators of their own: what one kind of trouble draws moves no other.
    faults = Faults(
        deployment=deployment, operators=operators, schedule=schedule, rng=Random(seed)
    )
    restarts = Restarts(deployment=deployment, schedule=schedule, rng=Random(seed + 3))
    # Also where somebody ends the soak: its processes must not outlive it.
    ending = reactor.addSystemEventTrigger("before", "shutdown", deployment.stop)
    try:
        deployment.start()
        await deferLater(reactor, START_S)
        callers.start(PER_S)
        faults.start()
        if play.rules_grow:
            operators.start()
            restarts.start()
        await deferLater(reactor, faults_s)
        schedule.stop()
        deployment.restore()
        await deferLater(reactor, RECOVER_S)
        well_s = reactor.seconds()
        await deferLater(reactor, QUIET_S)
        callers.is_asking = operators.is_changing = False
        await deferLater(reactor, QUIET_S)
    finally:
        deployment.stop()
        reactor.removeSystemEventTrigger(ending)
        # The next run listens on the same addresses.
        await deferLater(reactor, END_S)
    (logs / "faults.txt").write_text("\n".join(schedule.notes) + "\n")
    found = broken(callers.asked, deployment.runs) + deployment.own_exits()
    bound = bound_in_time(callers.asked, deployment.disruptions)
    found += late_rules(callers.asked, deployment.disruptions)
    found += older_after_newer(callers.asked)
    asked = [one for one in callers.asked if one.asked_s < well_s + QUIET_S]
    found += unserved(asked, from_s=well_s)
    served = sum(one.status == 200 for one in callers.asked)
    print(
        f"seed {seed}: {len(schedule.notes)} faults and changes,"
        f" {len(operators.rules)} rules, {len(bound)} requests bound to a version,"
        f" {served} of {len(callers.asked)} served,"
        f" {len(deployment.runs)} runs, {len(found)} broken",
        flush=True,
    )
    return found


async def _play_all(plays: list[Play], net: int, faults_s: float) -> int:
    logs = Path(mkdtemp(prefix="soak-logs-"))
    failed: list[int] = []
    for play in plays:
        found = await _play(play, net, faults_s, logs / str(play.seed))
        if found:
            failed.append(play.seed)
            print("\n".join(f"  {line}" for line in found[:10]), flush=True)
    print(f"{len(plays)} seeds, broken: {failed or 'none'}; logs in {logs}")
    return len(failed)


@app.default
def run(
    *,
    first: int = 0,
    seeds: int = 1,
    failed: bool = False,
    rules_grow: bool = True,
    faults_s: float = 15.0,
    net: int = FIRST_NET,
) -> None:
    """Play seeds, and exit with 1 if a promise was broken.

    Parameters
    ----------
    first
        The first seed; fresh ones from the clock if 0.
    seeds
        How many, one after the other.
    failed
        Play the seeds that broke something once instead.
    rules_grow
        Let the list of rules grow to thousands, and restart all hosts at once.
    faults_s
        For how long faults are injected.
    net
        Programs listen below 127.NET, so that several runs don't meet.

    """
    use_monotonic_time(reactor)
    _end_with_the_terminal()
    first = first or int(time.time()) % 1_000_000
    chosen = [
        Play(seed=seed, rules_grow=rules_grow) for seed in range(first, first + seeds)
    ]
    if failed:
        chosen = list(FAILED)
    codes: list[int] = []
    played = Deferred.fromCoroutine(_play_all(chosen, net, faults_s))
    played.addCallbacks(codes.append, _fail)
    played.addBoth(lambda _: reactor.stop())
    reactor.run()
    sys.exit(1 if not codes or codes[0] else 0)


def _end_with_the_terminal() -> None:
    """Stop on SIGHUP, which ends a soak but not its hosts: they reload on it."""
    if signal.getsignal(signal.SIGHUP) is signal.SIG_DFL:
        signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reactor.stop))


def _fail(failure: Any) -> None:
    print(failure.getTraceback(), file=sys.stderr)


if __name__ == "__main__":
    app()
