"""The queued jobs of a pool, with a separate queue per duration class."""

from __future__ import annotations

from collections.abc import Iterator

from foxtailreach.core.pool.queue import FairQueue, Job

SHORT = 'short'
LONG = 'long'


class Backlog:
    """One fair queue for each duration class.

    A long job gets a slot when no other long job runs, or when no short job
    waits; otherwise short jobs go first.
    """

    __slots__ = ('_queues', '_running_long_jobs')

    def __init__(self) -> None:
        """Start empty."""
        self._queues = {SHORT: FairQueue(), LONG: FairQueue()}
        self._running_long_jobs = 0

    def __len__(self) -> int:
        """Count the queued jobs."""
        return sum(map(len, self._queues.values()))

    def push(self, job: Job) -> None:
        """Queue a job behind its customer's earlier jobs."""
        self._queue(job).push(job)

    def push_front(self, job: Job) -> None:
        """Queue a job for a retry; see `FairQueue.push_front`."""
        self._queue(job).push_front(job)

    def put_back(self, job: Job) -> None:
        """Queue a popped job again; see `FairQueue.put_back`."""
        self._queue(job).put_back(job)

    def remove(self, job: Job) -> None:
        """Remove a job, for example when its caller has disconnected."""
        self._queue(job).remove(job)

    def pop(self) -> Job | None:
        """Remove and return the next job."""
        short, long = self._queues[SHORT], self._queues[LONG]
        if not len(long):
            return short.pop()
        if not len(short) or not self._running_long_jobs:
            return long.pop()
        return short.pop()

    def pop_expired(self, now_us: int) -> Iterator[Job]:
        """Remove and yield all jobs whose time in the queue is over."""
        for queue in self._queues.values():
            yield from queue.pop_expired(now_us)

    def drain(self) -> Iterator[Job]:
        """Remove and yield all jobs."""
        for queue in self._queues.values():
            yield from iter(queue.pop, None)

    def estimate_jobs_ahead(self, customer: str, weight: int) -> float:
        """Estimate how many jobs are served before a new one."""
        return sum(
            queue.estimate_jobs_ahead(customer, weight)
            for queue in self._queues.values()
        )

    def record_start(self, job: Job) -> None:
        """Count a job that began to run, if it is long."""
        self._running_long_jobs += job.handoff.duration == LONG

    def record_end(self, job: Job) -> None:
        """Stop counting a job that ended, if it is long."""
        self._running_long_jobs -= job.handoff.duration == LONG

    def _queue(self, job: Job) -> FairQueue:
        return self._queues[job.handoff.duration]
