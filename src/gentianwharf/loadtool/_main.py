"""The command ``gentianwharf-load``."""

import sys
from pathlib import Path
from random import Random
from typing import Annotated, Any, Literal

from cyclopts import App, Parameter
from twisted.internet.defer import Deferred
from twisted.internet.task import react

from gentianwharf.collector import freeze_objects
from gentianwharf.errors import InputError

from ._check_response import Verdict
from ._merge import merge_reports, read_report
from ._mix import MIXES, Mix
from ._plan import Part, plan
from ._report import LoadReport, make_report
from ._runner import LoadRun
from ._sender import HttpSender
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
    part: str = "1/1",
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
    part
        NUMBER/COUNT: send this part of the plan only, so that COUNT processes send
        all of it; `gentianwharf-load merge` adds their reports.
    json
        Print one JSON object, with encoded histograms.

    """
    try:
        target_address, plan_part = Target.parse(target), Part.parse(part)
        bounds = Bounds(
            rate_per_s=rate_per_s, duration_s=duration_s, connections=connections
        )
    except InputError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)

    async def run_and_print(reactor: Any) -> None:
        report = await run_load(
            reactor,
            target=target_address,
            mix=MIXES[mix],
            bounds=bounds,
            seed=seed,
            part=plan_part,
        )
        print(report.as_json() if json else report.as_text())
        sys.exit(exit_code(report))

    react(lambda reactor: Deferred.fromCoroutine(run_and_print(reactor)))


@app.command
def merge(*files: Path, json: Annotated[bool, Parameter(negative="")] = False) -> None:
    """Add up the reports of the parts of a run.

    Parameters
    ----------
    files
        Reports that were written with --json.
    json
        Print one JSON object, with encoded histograms.

    """
    try:
        if not files:
            raise InputError("expected files", step="merge reports", peer="reports")
        report = merge_reports([read_report(path) for path in files])
    except InputError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    print(report.as_json() if json else report.as_text())
    sys.exit(exit_code(report))


async def run_load(
    reactor: Any,
    *,
    target: Target,
    mix: Mix,
    bounds: Bounds,
    seed: int,
    part: Part | None = None,
) -> LoadReport:
    """Send the load of one run, or of a part of its plan, and return the report."""
    part = part or Part()
    # A garbage collection pause of this tool would be measured as router latency.
    freeze_objects()
    sender = HttpSender(
        reactor=reactor, target=target, seed=seed, connections=bounds.connections
    )
    run = LoadRun(
        clock=reactor,
        sender=sender,
        planned=part.select(
            plan(
                mix,
                rate_per_s=bounds.rate_per_s,
                duration_s=bounds.duration_s,
                random=Random(seed),
            )
        ),
        connections=bounds.connections,
    )
    tally = await run.run()
    sender.close()
    return make_report(
        tally,
        mix=mix.name,
        seed=seed,
        offered_per_s=bounds.rate_per_s / part.count,
        part=part,
    )


def exit_code(report: LoadReport) -> int:
    """Return the exit code for a report."""
    if report.violations:
        return EXIT_VIOLATIONS
    verdicts = {name for counts in report.verdicts.values() for name in counts}
    if verdicts <= {Verdict.NOT_CONNECTED}:
        return EXIT_UNREACHABLE
    return EXIT_DONE


def main() -> None:
    """Run the command line interface."""
    app()
