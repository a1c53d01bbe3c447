"""Start-time fair queue over customers, with an expiry for each job."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from dataclasses import dataclass, field

from foxtailreach.core.messages import Handoff


@dataclass(slots=True, eq=False)
class Job:
    """A handed-off request that is queued or running in a pool."""

    handoff: Handoff
    enqueued_us: int
    deadline_us: int
    expires_us: int
    retries_left: int
    excluded: set[str] = field(default_factory=set)
    is_queued: bool = False
    may_have_run: bool = False

    @property
    def request_id(self) -> str:
        """Identifier of the caller's request."""
        return self.handoff.head.request_id


class FairQueue:
    """Serves customers in proportion to their weights.

    Each job gets a virtual start time; the job with the earliest one is
    served first. A removed job stays in the heaps until it reaches the top,
    so every operation is O(log n).
    """

    __slots__ = (
        '_expiry_heap',
        '_finish_times',
        '_heap',
        '_job_counts',
        '_sequence',
        '_virtual_time',
        '_weights',
    )

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[float, int, Job]] = []
        self._expiry_heap: list[tuple[int, int, Job]] = []
        self._sequence = itertools.count()
        self._finish_times: dict[str, float] = {}
        self._job_counts: Counter[str] = Counter()
        self._weights: dict[str, int] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        """Count the queued jobs."""
        return self._job_counts.total()

    def push(self, job: Job) -> None:
        """Queue a job behind its customer's earlier jobs."""
        customer = job.handoff.customer
        start = max(self._virtual_time, self._finish_times.get(customer, 0))
        self._finish_times[customer] = start + 1 / job.handoff.weight
        self._add_with_expiry(start, job)

    def push_front(self, job: Job) -> None:
        """Queue a job for a retry; no job has an earlier virtual start."""
        self._add_with_expiry(self._virtual_time, job)

    def put_back(self, job: Job) -> None:
        """Queue a popped job again; no job has an earlier virtual start.

        Its entry in the expiry heap is still there.
        """
        self._add(self._virtual_time, job)

    def pop(self) -> Job | None:
        """Remove and return the next job."""
        while self._heap:
            start, _, job = heapq.heappop(self._heap)
            if job.is_queued:
                self._virtual_time = max(self._virtual_time, start)
                self._mark_removed(job)
                return job
        self._finish_times.clear()
        self._virtual_time = 0
        return None

    def remove(self, job: Job) -> None:
        """Remove a job, for example when its caller has disconnected."""
        if job.is_queued:
            self._mark_removed(job)

    def pop_expired(self, now_us: int) -> list[Job]:
        """Remove and return all jobs whose time in the queue is over."""
        expired = []
        while self._expiry_heap and self._expiry_heap[0][0] <= now_us:
            _, _, job = heapq.heappop(self._expiry_heap)
            if job.is_queued and job.expires_us <= now_us:
                self._mark_removed(job)
                expired.append(job)
        return expired

    def estimate_jobs_ahead(self, customer: str, weight: int) -> float:
        """Estimate how many jobs are served before a new one.

        The customer's own jobs count in full; those of another customer
        only as far as its weight lets them be served in the meantime.
        """
        own = self._job_counts[customer]
        ahead = 0.0
        for other, count in self._job_counts.items():
            turns = (own + 1) * self._weights[other] / weight
            ahead += own if other == customer else min(count, turns)
        return ahead

    def _add_with_expiry(self, start: float, job: Job) -> None:
        sequence = self._add(start, job)
        heapq.heappush(self._expiry_heap, (job.expires_us, sequence, job))

    def _add(self, start: float, job: Job) -> int:
        customer = job.handoff.customer
        job.is_queued = True
        self._job_counts[customer] += 1
        self._weights[customer] = job.handoff.weight
        sequence = next(self._sequence)
        heapq.heappush(self._heap, (start, sequence, job))
        return sequence

    def _mark_removed(self, job: Job) -> None:
        customer = job.handoff.customer
        job.is_queued = False
        self._job_counts[customer] -= 1
        if not self._job_counts[customer]:
            del self._job_counts[customer]
            del self._weights[customer]
