"""Mistakes that only show when parts of the settings are seen together."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Mistake:
    """What was found at a place of the settings, and what was expected there."""

    location: tuple[str | int, ...]
    found: str
    expected: str

    def __str__(self) -> str:
        return f"found {self.found}; expected {self.expected}"


@final
class MistakesError(ValueError):
    """Several mistakes at once, so that a person mends them in one go."""

    def __init__(self, mistakes: Sequence[Mistake]) -> None:
        super().__init__(
            "; ".join(f"{'.'.join(map(str, one.location))}: {one}" for one in mistakes)
        )
        self.mistakes = tuple(mistakes)


def repeated(
    names: Iterable[tuple[tuple[str | int, ...], str]], what: str
) -> Iterator[Mistake]:
    """Return a mistake for each name that stood before at another place."""
    first: dict[str, tuple[str | int, ...]] = {}
    for location, name in names:
        before = first.setdefault(name, location)
        if before != location:
            yield Mistake(
                location=location,
                found=f"{what} {name!r} again",
                expected=f"another than at {'.'.join(map(str, before))}",
            )
