"""The burn report's records as tables of a page."""

from collections.abc import Iterable, Sequence
from html import escape

from ._burn import BurnReport
from ._burn_text import span

Cell = str | tuple[str, bool]
"""A number, or a number and whether it is bad; the first cell of a row is its name."""


def burn_tables(report: BurnReport) -> list[str]:
    """Return the tables that have rows."""
    tables = [
        _table(
            "Classes and windows",
            ["class", "window", "answers", "bad", "burn rate", "budget spent"],
            [
                [
                    one.request_class,
                    span(one.window_s),
                    str(one.answers),
                    str(one.bad),
                    (f"{one.burn_rate:.2f}", one.burn_rate >= 1),
                    f"{one.budget_spent:.2%}",
                ]
                for one in report.classes
                if one.answers
            ],
        ),
        _table(
            "What the bad answers of the last hour went through",
            ["class", "", "bad", "of its answers", "share of bad"],
            [
                [
                    one.request_class,
                    f"{one.kind} {one.name}",
                    str(one.bad),
                    str(one.answers),
                    f"{one.share_of_bad:.0%}",
                ]
                for one in report.burners
            ],
        ),
        _table(
            "Unavailable time of shards",
            ["service", "longest", "allowed", "shard-seconds"],
            [
                [
                    one.service,
                    (f"{one.longest_s:.2f} s", not one.within),
                    f"{one.allowed_s:g} s",
                    f"{one.shard_s:.2f}",
                ]
                for one in report.unavailable
            ],
        ),
    ]
    return [one for one in tables if one]


def _table(caption: str, headings: Sequence[str], rows: list[list[Cell]]) -> str:
    if not rows:
        return ""
    head = "".join(f"<th>{escape(one)}</th>" for one in headings)
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
    kind = "number bad" if is_bad else "number" if text[:1].isdigit() else ""
    return f'<td class="{kind}">{escape(text)}</td>'
