"""How often one request may be tried."""

from typing import final

from ._attempt_errors import AttemptError, LostError, NotRunError

# Attempts of a repeatable request that may have run, if its rule sets no limit. Three
# attempts reach a working server after two failures.
DEFAULT_MAX_RUNS = 3
# A retry requires proof that the previous try did not run, or a repeatable request.
# Three tries reach a working server if one is down and one sheds the request.
MAX_TRIES = 3
# Not counted in MAX_TRIES: while a key moves, its former owner refuses the request, and
# so does the new owner until it has its grant.
MAX_MISDIRECTED = 4


@final
class Tries:
    """Counts the tries of a request, and those of them that may have run."""

    def __init__(self, *, max_runs: int | None) -> None:
        self.count = 0
        self.max_runs = max_runs or DEFAULT_MAX_RUNS
        self.runs = 0
        self.misdirected = 0

    def record_failure(self, *, lost_attempts: int, is_misdirected: bool) -> None:
        """Record a failed try.

        ``lost_attempts`` of it may have run. It was misdirected if the server no longer
        owned the request's key.
        """
        self.runs += lost_attempts
        self.misdirected += is_misdirected

    def may_retry(self, error: AttemptError, *, repeatable: bool) -> bool:
        """Return whether a request may be tried again after ``error``."""
        if self.misdirected > MAX_MISDIRECTED or self.runs >= self.max_runs:
            return False
        if self.count - self.misdirected >= MAX_TRIES:
            return False
        is_lost = isinstance(error, LostError)
        return isinstance(error, NotRunError) or (is_lost and repeatable)

    def may_hedge(self, runs_of_try: int) -> bool:
        """Return whether a request in flight may be sent once more.

        ``runs_of_try`` attempts of the present try are in flight or may have run.
        """
        return self.runs + runs_of_try < self.max_runs
