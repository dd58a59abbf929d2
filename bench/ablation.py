"""Switch one mechanism off at a time: ``python -m bench.ablation [NAME ...]``.

Prints a JSON line for each load pattern and mechanism: what callers receive with all
mechanisms, and without that one. What changes nothing anywhere is to be asked for its
reason.
"""

import argparse
import json
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import Any, final
from unittest.mock import patch

from bench.load import SEED, run
from gentianwharf.load import _choose, _server_state
from gentianwharf.load._budget import RetryBudget
from gentianwharf.load._fair_queue import FairQueue
from gentianwharf.load._gate import Gate
from gentianwharf.load._limit import AdaptiveLimit
from gentianwharf.load._pacer import Pacer
from gentianwharf.load._server_state import ServerState

SCENARIOS = (
    "normal",
    "burst-5x",
    "overload-3x",
    "hot-caller-20x",
    "server-10x-slow",
    "server-frozen",
    "cold-start",
    "hot-key",
)
"""One for each load pattern that a mechanism answers."""

FIGURES = ("goodput_per_s", "others_p99_ms", "others_refused_share")


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Off:
    """One attribute of a class or module, and what stands in its place."""

    owner: Any
    name: str
    instead: Any


def _nothing(*args: object, **kwargs: object) -> None:
    """Do nothing."""


def _always(value: object) -> Callable[..., object]:
    return lambda *args, **kwargs: value


def _at_most(limit: AdaptiveLimit, *args: object, **kwargs: object) -> None:
    limit.value = limit.maximum


MECHANISMS: Mapping[str, tuple[Off, ...]] = {
    "adaptive limit": (
        Off(owner=AdaptiveLimit, name="_adapt", instead=_at_most),
        Off(owner=AdaptiveLimit, name="record_shed", instead=_at_most),
        Off(owner=AdaptiveLimit, name="record_queue", instead=_at_most),
    ),
    "second sends": (Off(owner=Gate, name="_send_hedges", instead=_always([])),),
    "probes of suspects": (
        Off(owner=ServerState, name="accepts_probe", instead=_always(False)),
    ),
    "slow servers set apart": (
        Off(owner=ServerState, name="is_too_slow", instead=_always(False)),
    ),
    "cold starts": (Off(owner=_server_state, name="RAMP_UP_S", instead=1e-6),),
    "places to wait": (
        Off(owner=FairQueue, name="can_enqueue", instead=_always(False)),
    ),
    "fair rounds": (Off(owner=FairQueue, name="round_of", instead=_always(1)),),
    "pacing at an owner": (Off(owner=Pacer, name="may_start", instead=_always(True)),),
    "own failure domain first": (
        Off(owner=_choose, name="OTHER_DOMAIN_COST", instead=0.0),
    ),
    "retry budget": (Off(owner=RetryBudget, name="take", instead=_always(True)),),
}


@contextmanager
def without(mechanism: str | None) -> Iterator[None]:
    """Switch a mechanism off; None leaves all on."""
    with ExitStack() as stack:
        for off in MECHANISMS[mechanism] if mechanism is not None else ():
            stack.enter_context(patch.object(off.owner, off.name, off.instead))
        yield


def trial(name: str, mechanism: str | None, seed: int) -> dict[str, Any]:
    """Run one load pattern without a mechanism."""
    with without(mechanism):
        return run(name, "gentianwharf", seed)


def main() -> int:
    """Run what the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--seed", type=int, default=SEED)
    options = parser.parse_args()
    plan = [
        (name, mechanism)
        for name in options.names or SCENARIOS
        for mechanism in (None, *MECHANISMS)
    ]
    with ProcessPoolExecutor(max_workers=options.jobs) as pool:
        runs = [pool.submit(trial, *one, options.seed) for one in plan]
        rows = [one.result() for one in runs]
    found = dict(zip(plan, rows, strict=True))
    for name, mechanism in plan:
        if mechanism is not None:
            line = {"scenario": name, "without": mechanism, "seed": options.seed}
            for figure in FIGURES:
                line[figure] = found[name, None][figure]
                line[f"{figure}_without"] = found[name, mechanism][figure]
            print(json.dumps(line))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
