"""The records of the burn report as HTML tables."""

from collections.abc import Iterable, Sequence
from html import escape

from ._burn import BurnReport
from ._burn_text import format_duration

Cell = str | tuple[str, bool]
"""The text of a cell, or the text and whether to highlight it as bad. The first cell
of a row is its name."""


def burn_tables(report: BurnReport) -> list[str]:
    """Return the HTML of the tables that have rows."""
    tables = [
        _table(
            "Classes and windows",
            ["class", "window", "answers", "bad", "burn rate", "budget spent"],
            [
                [
                    burn.request_class,
                    format_duration(burn.window_s),
                    str(burn.answers),
                    str(burn.bad),
                    (f"{burn.burn_rate:.2f}", burn.burn_rate >= 1),
                    f"{burn.budget_spent:.2%}",
                ]
                for burn in report.classes
                if burn.answers
            ],
        ),
        _table(
            "What the bad answers of the last hour went through",
            ["class", "", "bad", "of its answers", "share of bad"],
            [
                [
                    burner.request_class,
                    f"{burner.kind} {burner.name}",
                    str(burner.bad),
                    str(burner.answers),
                    f"{burner.share_of_bad:.0%}",
                ]
                for burner in report.burners
            ],
        ),
        _table(
            "Unavailable time of shards",
            ["service", "longest", "allowed", "shard-seconds"],
            [
                [
                    unavailable.service,
                    (f"{unavailable.longest_s:.2f} s", not unavailable.within),
                    f"{unavailable.allowed_s:g} s",
                    f"{unavailable.shard_s:.2f}",
                ]
                for unavailable in report.unavailable
            ],
        ),
    ]
    return [table for table in tables if table]


def _table(caption: str, headings: Sequence[str], rows: list[list[Cell]]) -> str:
    if not rows:
        return ""
    head = "".join(f"<th>{escape(heading)}</th>" for heading in headings)
    return "\n".join(
        [
            f"<table><caption>{escape(caption)}</caption>",
            f"<tr>{head}</tr>",
            *_rows(rows),
            "</table>",
        ]
    )


def _rows(rows: Iterable[list[Cell]]) -> Iterable[str]:
    for name, *cells in rows:
        yield f"<tr><td>{escape(str(name))}</td>{''.join(map(_cell, cells))}</tr>"


def _cell(cell: Cell) -> str:
    text, is_bad = cell if isinstance(cell, tuple) else (cell, False)
    css_class = "number bad" if is_bad else "number" if text[:1].isdigit() else ""
    return f'<td class="{css_class}">{escape(text)}</td>'
