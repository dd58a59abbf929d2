"""Strings that count their comparisons, to test bounds on work without a clock."""

from collections import Counter
from typing import Any

MAX_GROWTH = 2.5
"""Allowed growth of the work when the input doubles: a factor of two, and a little
for sorting."""


class CountedText(str):
    """A string that counts comparisons; ``comparisons`` is shared by all instances."""

    __slots__ = ()
    comparisons: Counter[str] = Counter()

    def startswith(self, *args: Any) -> bool:
        """Count the comparison and compare."""
        self.comparisons["startswith"] += 1
        return super().startswith(*args)

    def __eq__(self, other: object) -> bool:
        self.comparisons["equal"] += 1
        return super().__eq__(other)

    __hash__ = str.__hash__
