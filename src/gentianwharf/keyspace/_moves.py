"""Identity of spans, and removal of finished moves from a table."""

from collections.abc import Iterable

from ._table import KeyTable, Span

SpanKey = tuple[str, int, int, int]
"""Identifies a span by its service, both ends and its token."""


def key_of(service: str, span: Span) -> SpanKey:
    """Return the key that identifies a span while it has the same holder."""
    return service, span.first, span.last, span.token


def without_finished_moves(
    table: KeyTable, finished: Iterable[SpanKey]
) -> KeyTable | None:
    """Return the table without the former holders of spans whose move is finished.

    None if nothing changes.
    """
    finished_keys = set(finished)
    spans = [
        Span(first=span.first, last=span.last, holder=span.holder, token=span.token)
        if span.former_holders and key_of(table.service, span) in finished_keys
        else span
        for span in table.spans
    ]
    if tuple(spans) == table.spans:
        return None
    return KeyTable(
        service=table.service, highest_token=table.highest_token, spans=tuple(spans)
    )
