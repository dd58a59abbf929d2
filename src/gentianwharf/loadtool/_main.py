"""The command ``gentianwharf-load``."""

import sys
from random import Random
from typing import Annotated, Any, Literal

from cyclopts import App, Parameter
from twisted.internet.defer import Deferred
from twisted.internet.task import react

from gentianwharf.errors import InputError

from ._judge import Verdict
from ._mix import MIXES, Mix
from ._plan import plan
from ._report import LoadReport, make_report
from ._runner import LoadRun
from ._sender import AgentSender
from ._target import Bounds, Target

EXIT_DONE = 0
EXIT_VIOLATIONS = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3

app = App(
    name="gentianwharf-load",
    help="Send open-loop load to a router on a loopback address and check each answer.",
    help_epilogue=(
        "Exit codes: 0 done, 1 an answer was another request's or something ran"
        " twice, 2 usage, 3 nothing was reached."
    ),
)


@app.default
def load(
    *,
    target: str = "127.0.0.1:8080",
    mix: Literal["tunis", "brazos-bend"] = "tunis",
    rate_per_s: float = 200.0,
    duration_s: float = 10.0,
    connections: int = 64,
    seed: int = 1,
    json: Annotated[bool, Parameter(negative="")] = False,
) -> None:
    """Send load and report what callers received.

    Parameters
    ----------
    target
        IP:PORT of the router; loopback only.
    mix
        The deployment whose requests are sent.
    rate_per_s
        Requests a second, whatever the answers do.
    duration_s
        For how many seconds requests are due.
    connections
        Most requests in flight; others wait, and their wait counts.
    seed
        Seed of arrivals, kinds and keys.
    json
        Print one JSON object, with encoded histograms.

    """
    try:
        to = Target.parse(target)
        bounds = Bounds(
            rate_per_s=rate_per_s, duration_s=duration_s, connections=connections
        )
    except InputError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)

    async def run_and_print(reactor: Any) -> None:
        report = await run_load(
            reactor, target=to, mix=MIXES[mix], bounds=bounds, seed=seed
        )
        print(report.as_json() if json else report.as_text())
        sys.exit(exit_code(report))

    react(lambda reactor: Deferred.fromCoroutine(run_and_print(reactor)))


async def run_load(
    reactor: Any, *, target: Target, mix: Mix, bounds: Bounds, seed: int
) -> LoadReport:
    """Send one run's load and return its report."""
    sender = AgentSender(
        reactor=reactor, target=target, seed=seed, connections=bounds.connections
    )
    run = LoadRun(
        clock=reactor,
        sender=sender,
        planned=plan(
            mix,
            rate_per_s=bounds.rate_per_s,
            duration_s=bounds.duration_s,
            random=Random(seed),
        ),
        connections=bounds.connections,
    )
    tally = await run.run()
    await sender.close()
    return make_report(tally, mix=mix.name, seed=seed, offered_per_s=bounds.rate_per_s)


def exit_code(report: LoadReport) -> int:
    """Return the exit code that a report stands for."""
    if report.violations:
        return EXIT_VIOLATIONS
    verdicts = {name for counts in report.verdicts.values() for name in counts}
    if verdicts <= {Verdict.NOT_CONNECTED}:
        return EXIT_UNREACHABLE
    return EXIT_DONE


def main() -> None:
    """Run the command."""
    app()
