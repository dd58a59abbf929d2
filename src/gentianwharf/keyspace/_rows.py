"""The spans of all tables that the grant manager carries out."""

from collections.abc import Iterator, Sequence
from math import inf
from typing import final

from ._moves import SpanKey, key_of
from ._states import Row
from ._table import Holder, KeyTable, Span


@final
class Rows:
    """One row per span of the newest table of each service."""

    def __init__(self) -> None:
        self._rows: dict[SpanKey, Row] = {}

    def __iter__(self) -> Iterator[Row]:
        return iter(list(self._rows.values()))

    def __len__(self) -> int:
        return len(self._rows)

    def has_service(self, service: str) -> bool:
        """Whether a table of the service has been applied."""
        return any(row.service == service for row in self._rows.values())

    def clear(self) -> None:
        """Remove all rows; orders in flight for them have no further effect."""
        for row in self._rows.values():
            row.is_obsolete = True
        self._rows.clear()

    def follow(self, table: KeyTable, *, release_due_s: float) -> list[Row]:
        """Apply a table; return the rows of spans that are new or have a new holder.

        ``release_due_s`` is when these may be released, unless it is the first table of
        the service: other hosts know its moves, which a former leader began.
        """
        service = table.service
        wanted = {key_of(service, span): span for span in table.spans}
        if not self.has_service(service):
            release_due_s = 0.0
        for key, row in list(self._rows.items()):
            if row.service == service and key not in wanted:
                row.is_obsolete = True
                del self._rows[key]
        begun: list[Row] = []
        for key, span in wanted.items():
            known = self._rows.get(key)
            if known is not None and known.span.holder == span.holder:
                known.span = span
                continue
            row = self._rows[key] = Row(
                service=service,
                span=span,
                former_holders=list(span.former_holders),
                release_due_s=release_due_s,
            )
            begun.append(row)
        return begun

    def due(self, now_s: float) -> Sequence[Row]:
        """Return the rows that are due, the one that has waited longest first."""
        due = [row for row in self._rows.values() if now_s >= row.due_s]
        return sorted(due, key=lambda row: row.due_s)

    def announce(self, service: str, token: int, now_s: float) -> Sequence[Row]:
        """Make the releases of a service up to a token due; return their rows."""
        announced = [
            row
            for row in self._rows.values()
            if row.service == service
            and row.span.token <= token
            and row.release_due_s > now_s
        ]
        for row in announced:
            row.release_due_s = now_s
        return announced

    def hasten_renewal(self, holder: Holder) -> None:
        """Make a renewal of a holder's grants due: it shows whether it answers."""
        for row in self._rows.values():
            if row.span.holder == holder and row.granted and row.is_idle:
                row.due_s = -inf
                return

    def hasten_renewals(self) -> None:
        """Make the renewals of all granted spans due."""
        for row in self._rows.values():
            if row.granted and row.is_idle:
                row.due_s = -inf

    def finished_moves(self, service: str) -> frozenset[SpanKey]:
        """Return the spans that are granted and have no former holders left."""
        return frozenset(
            key
            for key, row in self._rows.items()
            if row.service == service and row.granted and not row.former_holders
        )

    def granted_moves(self) -> Sequence[tuple[str, Span]]:
        """Return the finished moves that the tables still list, by service."""
        return [
            (row.service, row.span)
            for row in self._rows.values()
            if row.granted and row.span.former_holders
        ]
