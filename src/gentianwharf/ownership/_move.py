"""One move of one shard, as a state machine.

Only the state in the store outlives the control holder. The next holder rebuilds the
machine from the table's entry and repeats the steps, each of which is idempotent under
the entry's next token.
"""

from dataclasses import dataclass, field
from typing import Protocol, final

from automat import TypeMachineBuilder

from ._announce import Announcement
from ._table import Entry


class MoveInputs(Protocol):
    """Inputs of the state machine of a move."""

    def holders_cleared(self) -> None:
        """Continue: every server that may hold the shard has released it or lapsed."""

    def target_accepted(self) -> None:
        """Continue: the target has accepted the grant."""

    def confirmed(self) -> None:
        """End: the store has committed the target as owner."""

    def step(self) -> str:
        """Return the current step of the move."""


@final
@dataclass(kw_only=True, slots=True)
class Move:
    """The part of a move that is kept in memory: the state of each holder.

    ``longest_deadline_s`` is the end of the longest deadline beyond its sender's right
    that may have been sent to the lost owner, as far as witnesses have answered.
    """

    service: str
    shard: int
    chunk: int
    revision: int
    entry: Entry
    started_s: float
    cleared: set[str] = field(default_factory=set)
    announcements: dict[str, Announcement] = field(default_factory=dict)
    last_grant_attempt_s: float = float("-inf")
    longest_deadline_s: float = float("inf")

    def uncleared(self) -> list[str]:
        """Return the servers that may still hold the shard."""
        return [holder for holder in self.entry.holders if holder not in self.cleared]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class MoveState:
    """A move in progress, as the control holder sees it."""

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
"""Builds the state machine of a ``Move``, in the step ``clearing``."""
