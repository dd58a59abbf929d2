"""Measure the decisions under load: ``python -m bench.load [--jobs N] [NAME ...]``.

Prints one JSON line per run. ``--record`` writes the rows of all runs to
``bench/results/load.json``, from which ``python -m bench.load_page`` makes the tables
of ``docs/LOAD.md``.
"""

import argparse
import json
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from bench.load_measures import measure
from bench.load_scenarios import SCENARIO_NAMES, scenario
from bench.load_trial import ROUTERS, Trial

RESULTS = Path(__file__).parent / "results" / "load.json"
SEED = 20261202


def run(name: str, router: str, seed: int) -> dict[str, Any]:
    """Run one scenario against one router and return its row."""
    selected = scenario(name)
    trial = Trial(scenario=selected, make_router=ROUTERS[router], seed=seed)
    trial.run()
    return measure(selected, router, seed, trial.requests).to_json()


def main() -> int:
    """Run the scenarios that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--router", action="append", choices=sorted(ROUTERS))
    parser.add_argument("--record", action="store_true")
    options = parser.parse_args()
    plan = [
        (name, router)
        for name in options.names or SCENARIO_NAMES
        for router in options.router or ROUTERS
    ]
    with ProcessPoolExecutor(max_workers=options.jobs) as pool:
        futures = [
            pool.submit(run, name, router, options.seed) for name, router in plan
        ]
        rows = [future.result() for future in futures]
    for row in rows:
        print(json.dumps(row))
    if options.record:
        record(rows)
    return 0


def record(rows: list[dict[str, Any]]) -> None:
    """Replace the recorded rows of the same scenarios and routers by these."""
    recorded = json.loads(RESULTS.read_text()) if RESULTS.exists() else []
    merged = {(row["scenario"], row["router"]): row for row in [*recorded, *rows]}
    order = [(name, router) for name in SCENARIO_NAMES for router in ROUTERS]
    ordered = [merged[row_key] for row_key in order if row_key in merged]
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(ordered, indent=1) + "\n")


if __name__ == "__main__":
    raise SystemExit(main())
