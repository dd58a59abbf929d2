"""What the answers of short requests say of how busy a server is just now.

Load pattern: long jobs at the owner of a key, sent by twelve hosts that do not know of
each other's. Nobody counts them all, but a slot that a long job took is missing for
the short requests, and they show it: their answers become slow.
"""

from dataclasses import dataclass
from typing import final

# An answer of twice the median: two of three are quicker while nothing waits inside the
# server, and hardly any once most slots are taken by long jobs.
QUICK_RATIO = 2.0
# One quick answer is luck in half of the cases; three in a row came too seldom, and
# uploads waited half as long again.
QUICK_ANSWERS = 2
# As evidence a quick answer is old after some three service times: another host may
# have sent a long job meanwhile.
MAX_EVIDENCE_AGE_S = 0.05
# Without short requests for so long there is nobody whom a long job would keep waiting.
IDLE_S = 1.0


@final
@dataclass(kw_only=True, slots=True, eq=False)
class ShortAnswers:
    """The latest answers of short requests of one server.

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
        """Note an answer that took ``ratio`` times the median."""
        self.last_answer_s = now_s
        self.last_sent_s = max(self.last_sent_s, sent_s)
        self.consecutive_quick = (
            self.consecutive_quick + 1 if ratio <= QUICK_RATIO else 0
        )

    def allow_long_job(self, now_s: float) -> bool:
        """Whether a long job may be added, as far as short requests can tell."""
        age_s = now_s - self.last_answer_s
        if age_s > IDLE_S:
            return True
        return self.consecutive_quick >= QUICK_ANSWERS and age_s <= MAX_EVIDENCE_AGE_S
