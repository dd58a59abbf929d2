"""Texts that count how often they are compared, to bound work without a clock."""

from collections import Counter
from typing import Any

MAX_GROWTH = 2.5
"""Of the work for twice as many: twice, and a little for sorting."""


class CountedText(str):
    """Counts its comparisons with other texts; ``comparisons`` is of all such texts."""

    __slots__ = ()
    comparisons: Counter[str] = Counter()

    def startswith(self, *args: Any) -> bool:
        """Count, and compare."""
        self.comparisons["startswith"] += 1
        return super().startswith(*args)

    def __eq__(self, other: object) -> bool:
        self.comparisons["equal"] += 1
        return super().__eq__(other)

    __hash__ = str.__hash__
