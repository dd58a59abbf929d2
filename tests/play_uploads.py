"""Plays uploads by hand: ``python -m tests.play_uploads --first-seed 1 --seeds 50``."""

import os
import sys

import cyclopts

from tests.builders_upload_play import Way, play_uploads
from tests.builders_uploads import Dialect

COMBINATIONS = [(dialect, way) for way in Way for dialect in Dialect]

app = cyclopts.App(help="Play uploads under all kinds of trouble.")


@app.default
def play(
    *,
    first_seed: int = 1,
    seeds: int = 1,
    duration_s: float = 5.0,
    dialect: Dialect | None = None,
    way: Way | None = None,
) -> None:
    """Play seeds; dialects and ways take turns unless they are named."""
    failed = []
    for seed in range(first_seed, first_seed + seeds):
        drawn_dialect, drawn_way = COMBINATIONS[seed % len(COMBINATIONS)]
        its_dialect, its_way = dialect or drawn_dialect, way or drawn_way
        played = play_uploads(
            seed=seed, duration_s=duration_s, dialect=its_dialect, way=its_way
        )
        print(f"seed {seed} {its_dialect} {its_way}: {played}", flush=True)
        for kind, cases in played.uploads.faults().items():
            failed.append(seed)
            for case in cases:
                print(f"    {kind}: {case}", flush=True)
    print(f"{seeds} seeds, failed: {sorted(set(failed)) or 'none'}", flush=True)
    sys.stdout.flush()
    # The reactor's thread and those of servers that still read would delay the end.
    os._exit(bool(failed))


if __name__ == "__main__":
    app()
