"""Mistakes that are detected by comparing several parts of the settings."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Mistake:
    """The value found at a location in the settings, and the expected value."""

    location: tuple[str | int, ...]
    found: str
    expected: str

    def __str__(self) -> str:
        return f"found {self.found}; expected {self.expected}"


@final
class MistakesError(ValueError):
    """Reports several mistakes at once, so that they can be corrected together."""

    def __init__(self, mistakes: Sequence[Mistake]) -> None:
        super().__init__(
            "; ".join(
                f"{'.'.join(map(str, mistake.location))}: {mistake}"
                for mistake in mistakes
            )
        )
        self.mistakes = tuple(mistakes)


def find_duplicates(
    names: Iterable[tuple[tuple[str | int, ...], str]], noun: str
) -> Iterator[Mistake]:
    """Yield a mistake for each name that was used before at another location."""
    first_locations: dict[str, tuple[str | int, ...]] = {}
    for location, name in names:
        first = first_locations.setdefault(name, location)
        if first != location:
            yield Mistake(
                location=location,
                found=f"{noun} {name!r} again",
                expected=f"another than at {'.'.join(map(str, first))}",
            )
