"""What all faults of the search of ``keyspace`` are drawn with."""

from typing import Protocol

from tests.builders_keyspace_search_world import SearchWorld


class Kind(Protocol):
    """Begins one fault, which ends by itself."""

    @property
    def __name__(self) -> str:
        """The name that the trace states."""

    def __call__(self) -> None:
        """Begin the fault."""


class Draws:
    """Faults of one part of a world."""

    def __init__(self, world: SearchWorld) -> None:
        self.world = world
        self.rng = world.rng
        self.clock = world.clock
        self.store = world.store
        self.fleet = world.fleet
        self.network = world.network

    def kinds(self) -> list[Kind]:
        """Return all kinds, some of them more than once."""
        raise NotImplementedError
