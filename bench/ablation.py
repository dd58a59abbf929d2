"""Disable one mechanism at a time: ``python -m bench.ablation [NAME ...]``.

Prints one JSON line for each scenario and mechanism: the figures with all mechanisms
enabled, and with this one disabled. The purpose of a mechanism that changes no figure
in any scenario should be reviewed.
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
"""One scenario for each kind of load that a mechanism handles."""

FIGURES = ("goodput_per_s", "others_p99_ms", "others_refused_share")


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Replacement:
    """An attribute of a class or module, and the value that replaces it."""

    owner: Any
    name: str
    value: Any


def _nothing(*args: object, **kwargs: object) -> None:
    """Do nothing."""


def _returning(value: object) -> Callable[..., object]:
    return lambda *args, **kwargs: value


def _set_to_maximum(limit: AdaptiveLimit, *args: object, **kwargs: object) -> None:
    limit.value = limit.maximum


MECHANISMS: Mapping[str, tuple[Replacement, ...]] = {
    "adaptive limit": (
        Replacement(owner=AdaptiveLimit, name="_adapt", value=_set_to_maximum),
        Replacement(owner=AdaptiveLimit, name="record_shed", value=_set_to_maximum),
        Replacement(owner=AdaptiveLimit, name="record_queue", value=_set_to_maximum),
    ),
    "second sends": (
        Replacement(owner=Gate, name="_send_hedges", value=_returning([])),
    ),
    "probes of suspects": (
        Replacement(owner=ServerState, name="accepts_probe", value=_returning(False)),
    ),
    "slow servers set apart": (
        Replacement(owner=ServerState, name="is_too_slow", value=_returning(False)),
    ),
    "cold starts": (Replacement(owner=_server_state, name="RAMP_UP_S", value=1e-6),),
    "places to wait": (
        Replacement(owner=FairQueue, name="can_enqueue", value=_returning(False)),
    ),
    "fair rounds": (
        Replacement(owner=FairQueue, name="round_of", value=_returning(1)),
    ),
    "pacing at an owner": (
        Replacement(owner=Pacer, name="may_start", value=_returning(True)),
    ),
    "own failure domain first": (
        Replacement(owner=_choose, name="OTHER_DOMAIN_COST", value=0.0),
    ),
    "retry budget": (
        Replacement(owner=RetryBudget, name="take", value=_returning(True)),
    ),
}


@contextmanager
def without(mechanism: str | None) -> Iterator[None]:
    """Disable a mechanism in this context; None leaves all enabled."""
    with ExitStack() as stack:
        for replacement in MECHANISMS[mechanism] if mechanism is not None else ():
            stack.enter_context(
                patch.object(replacement.owner, replacement.name, replacement.value)
            )
        yield


def trial(name: str, mechanism: str | None, seed: int) -> dict[str, Any]:
    """Run one scenario without a mechanism and return its figures."""
    with without(mechanism):
        return run(name, "gentianwharf", seed)


def main() -> int:
    """Run the scenarios that the command line names."""
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
        futures = [pool.submit(trial, *arguments, options.seed) for arguments in plan]
        rows = [future.result() for future in futures]
    results = dict(zip(plan, rows, strict=True))
    for name, mechanism in plan:
        if mechanism is not None:
            line = {"scenario": name, "without": mechanism, "seed": options.seed}
            for figure in FIGURES:
                line[figure] = results[name, None][figure]
                line[f"{figure}_without"] = results[name, mechanism][figure]
            print(json.dumps(line))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
