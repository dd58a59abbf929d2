"""One move of one shard, as a state machine.

Only the store's word outlives the control holder: another one builds the machine
again from the table's entry and repeats the steps, each of which is idempotent
under the entry's next token.
"""

from dataclasses import dataclass, field
from typing import Protocol, final

from automat import TypeMachineBuilder

from ._announce import Announcement
from ._table import Entry


class MoveInputs(Protocol):
    """What can happen to a move."""

    def holders_cleared(self) -> None:
        """Go on: every server that might hold the shard released it or lapsed."""

    def target_accepted(self) -> None:
        """Go on: the target took the grant."""

    def confirmed(self) -> None:
        """End: the store took the target as owner."""

    def step(self) -> str:
        """Return the step that the move waits for."""


@final
@dataclass(kw_only=True, slots=True)
class Move:
    """The volatile part of a move: what is known of each holder.

    ``longest_deadline_s`` is the end of the longest deadline that may have been sent to
    the lost owner beyond its senders' rights, as far as witnesses were asked.
    """

    service: str
    shard: int
    chunk: int
    revision: int
    entry: Entry
    started_s: float
    cleared: set[str] = field(default_factory=set)
    announcements: dict[str, Announcement] = field(default_factory=dict)
    grant_tried_s: float = float("-inf")
    longest_deadline_s: float = float("inf")

    def uncleared(self) -> list[str]:
        """Return the servers that may still hold the shard."""
        return [one for one in self.entry.holders if one not in self.cleared]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class MoveState:
    """A move under way, as the control holder sees it."""

    service: str
    shard: int
    owner: str
    target: str
    token: int
    step: str
    waits_for: tuple[str, ...]
    age_s: float


def _build() -> TypeMachineBuilder[MoveInputs, Move]:
    builder = TypeMachineBuilder(MoveInputs, Move)
    clearing = builder.state("clearing")
    granting = builder.state("granting")
    confirming = builder.state("confirming")
    done = builder.state("done")
    clearing.upon(MoveInputs.holders_cleared).to(granting).returns(None)
    granting.upon(MoveInputs.target_accepted).to(confirming).returns(None)
    confirming.upon(MoveInputs.confirmed).to(done).returns(None)
    for state in (clearing, granting, confirming, done):
        state.upon(MoveInputs.step).loop().returns(state.name)
    return builder


build_move_machine = _build().build()
"""From a ``Move`` to its machine, in the step ``clearing``."""
