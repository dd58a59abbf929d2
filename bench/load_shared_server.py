"""A backend server that runs all it has at once: processor sharing.

With more requests than slots each of them gets slower, the long and the short alike;
nothing waits inside in order.
"""

from heapq import heappop, heappush
from itertools import count
from typing import Any, final

from bench.load_fakes import FakeServer, Job
from gentianwharf.load import OutcomeKind


@final
class SharedServer(FakeServer):
    """Runs up to its slots at full speed, and more than that slower each.

    All that run are equally fast, so one reading tells how far each is: the work that
    a job would have done since the server began. A job ends when the reading has grown
    by its own work.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._reading_s = 0.0
        self._read_s = 0.0
        self._ends: list[tuple[float, int, Job]] = []
        self._sequence = count()
        self._plan = 0
        self._most = self.server.slots + self._most_waiting

    def receive(self, job: Job) -> None:
        """Run a request beside the others, or shed it."""
        if self.lost or job.gone:
            return
        if self._running >= self._most:
            job.host.answer_later(self, job, OutcomeKind.SHED)
            return
        self._advance()
        self._running += 1
        job.running = True
        job.request.runs += 1
        end_s = self._reading_s + job.request.work_s
        heappush(self._ends, (end_s, next(self._sequence), job))
        self._plan_end()

    def cancel(self, job: Job) -> None:
        """Stop a request that its host gave up."""
        if job.running:
            self._advance()
            job.running = False
            self._running -= 1
            self._plan_end()

    def _speed(self) -> float:
        share = min(1.0, self.server.slots / max(1, self._running))
        return share / self._factor()

    def _advance(self) -> None:
        now_s = self._clock.now_s
        self._reading_s += (now_s - self._read_s) * self._speed()
        self._read_s = now_s

    def _plan_end(self) -> None:
        while self._ends and not self._ends[0][2].running:
            heappop(self._ends)
        self._plan += 1
        if self._ends:
            left_s = max(0.0, self._ends[0][0] - self._reading_s) / self._speed()
            self._clock.call_at(self._clock.now_s + left_s, self._end_first, self._plan)

    def _end_first(self, plan: int) -> None:
        if plan != self._plan or self.lost:
            return
        self._advance()
        _, _, job = heappop(self._ends)
        job.running = False
        self._running -= 1
        if not job.gone:
            job.host.answer_later(self, job, OutcomeKind.OK)
        self._plan_end()
