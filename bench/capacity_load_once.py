"""A part of a run of the load tool: ``... PART IP:PORT RATE SECONDS SERVICE...``."""

import sys
from dataclasses import replace
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import react

from gentianwharf.loadtool import TUNIS, Bounds, Mix, Part, Target, run_load

CONNECTIONS = 64
SEED = 1
# The deployment that the tests start has these two services of Tunis.
SHARES = {"calendrier": 0.85, "inscription": 0.15}


def mix(services: list[str]) -> Mix:
    """Return the mix of Tunis for some of its services."""
    kinds = tuple(
        replace(kind, share=SHARES[kind.service])
        for kind in TUNIS.kinds
        if kind.service in services
    )
    return replace(TUNIS, kinds=kinds)


async def _run(reactor: Any) -> None:
    part, target, rate, seconds, *services = sys.argv[1:]
    bounds = Bounds(
        rate_per_s=float(rate), duration_s=float(seconds), connections=CONNECTIONS
    )
    report = await run_load(
        reactor,
        target=Target.parse(target),
        mix=mix(services),
        bounds=bounds,
        seed=SEED,
        part=Part.parse(part),
    )
    print(report.as_json())


if __name__ == "__main__":
    react(lambda reactor: Deferred.fromCoroutine(_run(reactor)))
