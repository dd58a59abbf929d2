"""Spans by what names them, and moves that are done."""

from collections.abc import Iterable

from ._table import KeyTable, Span

SpanKey = tuple[str, int, int, int]
"""A span by its service, both ends and its token."""


def key_of(service: str, span: Span) -> SpanKey:
    """Return what names a span as long as its holder has it."""
    return service, span.first, span.last, span.token


def without_finished_moves(
    table: KeyTable, moved: Iterable[SpanKey]
) -> KeyTable | None:
    """Return the table without the former holders of spans that have moved.

    None where nothing changes.
    """
    finished = set(moved)
    spans = [
        Span(first=one.first, last=one.last, holder=one.holder, token=one.token)
        if one.former_holders and key_of(table.service, one) in finished
        else one
        for one in table.spans
    ]
    if tuple(spans) == table.spans:
        return None
    return KeyTable(
        service=table.service, highest_token=table.highest_token, spans=tuple(spans)
    )
