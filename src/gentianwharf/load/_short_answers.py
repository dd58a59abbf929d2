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
FRESH_S = 0.05
# Without short requests for so long there is nobody whom a long job would keep waiting.
QUIET_S = 1.0


@final
@dataclass(kw_only=True, slots=True, eq=False)
class ShortAnswers:
    """The latest answers of short requests of one server.

    ``sent_s`` is when the latest of the requests that were answered was sent: one sent
    before it and not answered is at work, one sent after it may be waiting.

    >>> answers = ShortAnswers()
    >>> answers.leave_room(0.0)
    True
    >>> answers.note(5.0, 9.9, 10.0)
    >>> answers.leave_room(10.0), answers.leave_room(12.0)
    (False, True)
    >>> answers.note(0.9, 11.98, 12.0)
    >>> answers.note(1.1, 12.08, 12.1)
    >>> answers.leave_room(12.12), answers.leave_room(12.2)
    (True, False)
    """

    answered_s: float = float("-inf")
    sent_s: float = float("-inf")
    quick_in_a_row: int = 0

    def note(self, ratio: float, sent_s: float, now_s: float) -> None:
        """Note an answer that took ``ratio`` times the median."""
        self.answered_s = now_s
        self.sent_s = max(self.sent_s, sent_s)
        self.quick_in_a_row = self.quick_in_a_row + 1 if ratio <= QUICK_RATIO else 0

    def leave_room(self, now_s: float) -> bool:
        """Whether a long job may be added, as far as short requests can tell."""
        age_s = now_s - self.answered_s
        if age_s > QUIET_S:
            return True
        return self.quick_in_a_row >= QUICK_ANSWERS and age_s <= FRESH_S
