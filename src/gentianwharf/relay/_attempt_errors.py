"""How an attempt may end without a response."""

from typing import final

from ._ports import Outcome
from ._problem import Problem


class AttemptError(Exception):
    """An attempt that brought no response; ``problem`` is sent to the caller.

    ``retry_after_s`` is the delay that a server that shed the request asked for, None
    if it named no delay.
    """

    def __init__(
        self, *, outcome: Outcome, problem: Problem, retry_after_s: float | None = None
    ) -> None:
        super().__init__(problem.title)
        self.outcome = outcome
        self.problem = problem
        self.retry_after_s = retry_after_s


@final
class NotRunError(AttemptError):
    """The request provably did not run; another attempt may follow."""


@final
class LostError(AttemptError):
    """The request may have run; another attempt may follow if it is repeatable."""


@final
class NotPermittedError(AttemptError):
    """The request was not written, since the retry budget was used up meanwhile."""


@final
class FinalError(AttemptError):
    """The request must not be sent again, since the outcome would be the same."""
