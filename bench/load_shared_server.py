"""A backend server that runs all its requests at once, by processor sharing.

With more requests than slots, all of them become slower, long and short ones alike.
There is no queue.
"""

from heapq import heappop, heappush
from itertools import count
from typing import Any, final

from bench.load_fakes import FakeServer, Job
from gentianwharf.load import OutcomeKind


@final
class SharedServer(FakeServer):
    """Runs as many jobs as slots at full speed, and more than that at a lower one.

    All running jobs have the same speed. The progress of each is therefore given by
    one counter: the work that a job would have completed since the server started. A
    job ends when the counter has increased by the job's own work.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._progress_s = 0.0
        self._updated_s = 0.0
        self._ends: list[tuple[float, int, Job]] = []
        self._sequence = count()
        self._schedule_number = 0
        self._max_running = self.server.slots + self._max_waiting

    def receive(self, job: Job) -> None:
        """Run a request concurrently with the others, or shed it."""
        if self.lost or job.closed:
            return
        if self._running >= self._max_running:
            job.host.answer_later(self, job, OutcomeKind.SHED)
            return
        self._advance()
        self._running += 1
        job.running = True
        job.request.runs += 1
        end_s = self._progress_s + job.request.work_s
        heappush(self._ends, (end_s, next(self._sequence), job))
        self._schedule_end()

    def cancel(self, job: Job) -> None:
        """Stop a request that its host cancelled."""
        if job.running:
            self._advance()
            job.running = False
            self._running -= 1
            self._schedule_end()

    def _speed(self) -> float:
        share = min(1.0, self.server.slots / max(1, self._running))
        return share / self._factor()

    def _advance(self) -> None:
        now_s = self._clock.now_s
        self._progress_s += (now_s - self._updated_s) * self._speed()
        self._updated_s = now_s

    def _schedule_end(self) -> None:
        while self._ends and not self._ends[0][2].running:
            heappop(self._ends)
        self._schedule_number += 1
        if self._ends:
            remaining_s = max(0.0, self._ends[0][0] - self._progress_s) / self._speed()
            self._clock.call_at(
                self._clock.now_s + remaining_s, self._end_first, self._schedule_number
            )

    def _end_first(self, schedule_number: int) -> None:
        if schedule_number != self._schedule_number or self.lost:
            return
        self._advance()
        _, _, job = heappop(self._ends)
        job.running = False
        self._running -= 1
        if not job.closed:
            job.host.answer_later(self, job, OutcomeKind.OK)
        self._schedule_end()
