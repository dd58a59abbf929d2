"""An estimate of how busy a server is, from the answers to short requests.

Load pattern: twelve hosts send long jobs to the owner of a key, without information
about each other's jobs. No host can count all of them, but a slot that runs a long job
is not available to short requests, so the answers to those become slow.
"""

from dataclasses import dataclass
from typing import final

# In medians. Two of three answers are quicker while no request waits inside the server,
# and hardly any once long jobs hold most slots.
QUICK_RATIO = 2.0
# A single quick answer is due to chance in half of the cases. Three consecutive ones
# were too rare, and uploads waited 1.5 times as long.
QUICK_ANSWERS = 2
# A quick answer is evidence for about three service times; after that another host may
# have sent a long job.
MAX_EVIDENCE_AGE_S = 0.05
# Without short answers for this long, no short request would be delayed by a long job.
IDLE_S = 1.0


@final
@dataclass(kw_only=True, slots=True, eq=False)
class ShortAnswers:
    """The latest answers of one server to short requests.

    ``last_sent_s`` is when the latest answered request was sent. A request that was
    sent before it and has no answer is being run; one sent after it may be waiting.

    >>> answers = ShortAnswers()
    >>> answers.allow_long_job(0.0)
    True
    >>> answers.record(5.0, 9.9, 10.0)
    >>> answers.allow_long_job(10.0), answers.allow_long_job(12.0)
    (False, True)
    >>> answers.record(0.9, 11.98, 12.0)
    >>> answers.record(1.1, 12.08, 12.1)
    >>> answers.allow_long_job(12.12), answers.allow_long_job(12.2)
    (True, False)
    """

    last_answer_s: float = float("-inf")
    last_sent_s: float = float("-inf")
    consecutive_quick: int = 0

    def record(self, ratio: float, sent_s: float, now_s: float) -> None:
        """Record an answer that took ``ratio`` times the median."""
        self.last_answer_s = now_s
        self.last_sent_s = max(self.last_sent_s, sent_s)
        self.consecutive_quick = (
            self.consecutive_quick + 1 if ratio <= QUICK_RATIO else 0
        )

    def allow_long_job(self, now_s: float) -> bool:
        """Whether the answers to short requests indicate a free slot for a long job."""
        age_s = now_s - self.last_answer_s
        if age_s > IDLE_S:
            return True
        return self.consecutive_quick >= QUICK_ANSWERS and age_s <= MAX_EVIDENCE_AGE_S
