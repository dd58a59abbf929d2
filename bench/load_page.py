"""Make the tables of docs/LOAD.md from the recorded rows.

``python -m bench.load_page`` replaces only the text between the two markers. A test
checks that the page and the recorded rows agree.
"""

import json
from pathlib import Path
from typing import Any

from bench.load import RESULTS
from bench.load_measures import NO_ANSWER_MS

PAGE = Path(__file__).parent.parent / "docs" / "LOAD.md"
BEGIN = "<!-- begin: made by python -m bench.load_page -->"
END = "<!-- end -->"
COLUMNS = (
    "Scenario",
    "Router",
    "Good /s",
    "Slots busy",
    "Others p99 ms",
    "Others refused",
    "Refusals p99 ms",
    "Caller unserved s",
    "Key unserved s",
    "Gave up",
    "Wrong runs",
    "Runs per request",
    "Normal after s",
)
CLASS_COLUMNS = (
    "Scenario",
    "Router",
    "Class",
    "Good /s",
    "Offered /s",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "p99 before ms",
    "Refused",
    "Failed",
)


def make_tables(rows: list[dict[str, Any]]) -> str:
    """Return both tables in Markdown."""
    totals = [_total_row(row) for row in rows]
    classes = [
        _class_row(row, name, figures)
        for row in rows
        for name, figures in row["classes"].items()
    ]
    return "\n".join(
        [
            f"Seed {rows[0]['seed']}. All callers together:",
            "",
            *_table(COLUMNS, totals),
            "",
            "By class:",
            "",
            *_table(CLASS_COLUMNS, classes),
        ]
    )


def put_tables(page: str, tables: str) -> str:
    r"""Return the page with its tables replaced.

    >>> put_tables(f"a\n{BEGIN}\nold\n{END}\nb", "new").splitlines()[2]
    'new'
    """
    head, rest = page.split(BEGIN)
    _, tail = rest.split(END)
    return f"{head}{BEGIN}\n{tables}\n{END}{tail}"


def _total_row(row: dict[str, Any]) -> list[str]:
    normal = row["normal_after_s"]
    return [
        row["scenario"],
        row["router"],
        f"{row['goodput_per_s']:.0f}",
        f"{row['slots_busy_share'] * 100:.1f} %",
        _ms(row["others_p99_ms"]),
        _share(row["others_refused_share"]),
        f"{row['refusals_p99_ms']:.1f}",
        f"{row['unserved_caller_s']:.1f}",
        f"{row['unserved_key_s']:.1f}",
        _share(row["gave_up_share"]),
        str(row["wrong_runs"]),
        f"{row['runs_per_request']:.2f}",
        "not" if normal is None else f"{normal:.0f}",
    ]


def _class_row(row: dict[str, Any], name: str, figures: dict[str, Any]) -> list[str]:
    return [
        row["scenario"],
        row["router"],
        name,
        f"{figures['goodput_per_s']:.0f}",
        f"{figures['offered_per_s']:.0f}",
        _ms(figures["p50_ms"]),
        _ms(figures["p99_ms"]),
        _ms(figures["p999_ms"]),
        _ms(figures["before_p99_ms"]),
        _share(figures["refused_share"]),
        _share(figures["failed_share"]),
    ]


def _ms(value: float) -> str:
    return "no answer" if value >= NO_ANSWER_MS else f"{value:.0f}"


def _share(value: float) -> str:
    return f"{value * 100:.2f} %"


def _table(columns: tuple[str, ...], rows: list[list[str]]) -> list[str]:
    return [
        "| " + " | ".join(columns) + " |",
        "|" + "---|" * len(columns),
        *("| " + " | ".join(row) + " |" for row in rows),
    ]


def main() -> int:
    """Replace the tables of the page."""
    tables = make_tables(json.loads(RESULTS.read_text()))
    PAGE.write_text(put_tables(PAGE.read_text(), tables))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
