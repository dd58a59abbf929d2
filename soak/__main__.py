"""Run the soak: ``python -m soak --first 1 --seeds 50``."""

import sys
import time
from pathlib import Path
from random import Random
from tempfile import mkdtemp
from typing import Any

from cyclopts import App
from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from gentianwharf.lifecycle import use_monotonic_time

from ._callers import Callers
from ._checks import broken, unserved
from ._deployment import Deployment
from ._faults import Faults

START_S = 5.0
"""Processes import for a second, servers settle for another, on a busy machine more."""

RECOVER_S = 12.0
"""From the end of all faults: below the 15 s that the platform's operators allow."""

QUIET_S = 3.0
END_S = 1.0
PER_S = 60.0
FIRST_NET = 100

FAILED_SEEDS = (4, 5, 9, 22, 27)
"""Seeds that broke something once, with 15 s of faults: docs/SOAK.md has the causes."""

app = App(name="soak", help="Run the real programs under random faults.")
reactor: Any = installed_reactor


async def _play(seed: int, net: int, faults_s: float, logs: Path) -> list[str]:
    logs.mkdir(parents=True)
    deployment = Deployment(reactor=reactor, net=net, rng=Random(seed), logs=logs)
    callers = Callers(
        reactor=reactor, rng=Random(seed + 1), addresses=deployment.addresses()
    )
    faults = Faults(deployment=deployment, rng=Random(seed))
    # Also where somebody ends the soak: its processes must not outlive it.
    ending = reactor.addSystemEventTrigger("before", "shutdown", deployment.stop)
    try:
        deployment.start()
        await deferLater(reactor, START_S)
        callers.start(PER_S)
        faults.start()
        await deferLater(reactor, faults_s)
        faults.stop()
        await deferLater(reactor, RECOVER_S)
        well_s = reactor.seconds()
        await deferLater(reactor, QUIET_S)
        callers.is_asking = False
        await deferLater(reactor, QUIET_S)
    finally:
        deployment.stop()
        reactor.removeSystemEventTrigger(ending)
        # The next run listens on the same addresses.
        await deferLater(reactor, END_S)
    (logs / "faults.txt").write_text("\n".join(faults.injected) + "\n")
    found = broken(callers.asked, deployment.runs) + deployment.own_exits()
    asked = [one for one in callers.asked if one.asked_s < well_s + QUIET_S]
    found += unserved(asked, from_s=well_s)
    served = sum(one.status == 200 for one in callers.asked)
    print(
        f"seed {seed}: {len(faults.injected)} faults,"
        f" {served} of {len(callers.asked)} served,"
        f" {len(deployment.runs)} runs, {len(found)} broken",
        flush=True,
    )
    return found


async def _play_all(seeds: list[int], net: int, faults_s: float) -> int:
    logs = Path(mkdtemp(prefix="soak-logs-"))
    failed: list[int] = []
    for seed in seeds:
        found = await _play(seed, net, faults_s, logs / str(seed))
        if found:
            failed.append(seed)
            print("\n".join(f"  {line}" for line in found[:10]), flush=True)
    print(f"{len(seeds)} seeds, broken: {failed or 'none'}; logs in {logs}")
    return len(failed)


@app.default
def run(
    *,
    first: int = 0,
    seeds: int = 1,
    failed: bool = False,
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
    faults_s
        For how long faults are injected.
    net
        Programs listen below 127.NET, so that several runs don't meet.

    """
    use_monotonic_time(reactor)
    first = first or int(time.time()) % 1_000_000
    chosen = list(FAILED_SEEDS) if failed else list(range(first, first + seeds))
    codes: list[int] = []
    played = Deferred.fromCoroutine(_play_all(chosen, net, faults_s))
    played.addCallbacks(codes.append, _fail)
    played.addBoth(lambda _: reactor.stop())
    reactor.run()
    sys.exit(1 if not codes or codes[0] else 0)


def _fail(failure: Any) -> None:
    print(failure.getTraceback(), file=sys.stderr)


if __name__ == "__main__":
    app()
