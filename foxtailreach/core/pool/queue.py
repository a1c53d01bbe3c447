"""Start-time fair queue over customers, bounded in age."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from dataclasses import dataclass, field

from foxtailreach.core.messages import Handoff


@dataclass(slots=True, eq=False)
class Job:
    """A handed-off request on its way through a pool."""

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
    served first. Removal is lazy, so every operation is O(log n).
    """

    __slots__ = (
        '_counts',
        '_expiries',
        '_finish',
        '_heap',
        '_order',
        '_virtual',
        '_weights',
    )

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[float, int, Job]] = []
        self._expiries: list[tuple[int, int, Job]] = []
        self._order = itertools.count()
        self._finish: dict[str, float] = {}
        self._counts: Counter[str] = Counter()
        self._weights: dict[str, int] = {}
        self._virtual = 0.0

    def __len__(self) -> int:
        """Count the queued jobs."""
        return self._counts.total()

    def push(self, job: Job) -> None:
        """Queue a job behind its customer's earlier jobs."""
        customer = job.handoff.customer
        start = max(self._virtual, self._finish.get(customer, 0))
        self._finish[customer] = start + 1 / job.handoff.weight
        self._insert(start, job)

    def push_front(self, job: Job) -> None:
        """Queue a job ahead of all others, for a retry."""
        self._insert(self._virtual, job)

    def put_back(self, job: Job) -> None:
        """Return a popped job, whose expiry is still on record."""
        self._enter(self._virtual, job)

    def pop(self) -> Job | None:
        """Remove and return the next job."""
        while self._heap:
            start, _, job = heapq.heappop(self._heap)
            if job.is_queued:
                self._virtual = max(self._virtual, start)
                self._forget(job)
                return job
        self._finish.clear()
        self._virtual = 0
        return None

    def remove(self, job: Job) -> None:
        """Drop a job, for example when its caller is gone."""
        if job.is_queued:
            self._forget(job)

    def pop_expired(self, now_us: int) -> list[Job]:
        """Remove all jobs whose time in the queue is over."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now_us:
            _, _, job = heapq.heappop(self._expiries)
            if job.is_queued and job.expires_us <= now_us:
                self._forget(job)
                expired.append(job)
        return expired

    def share_ahead(self, customer: str, weight: int) -> float:
        """Estimate how many jobs are served before a new one.

        The customer's own jobs count once, each with its share of the
        other customers' jobs that are served in between.
        """
        own = self._counts[customer]
        ahead = 0.0
        for other, count in self._counts.items():
            turns = (own + 1) * self._weights[other] / weight
            ahead += own if other == customer else min(count, turns)
        return ahead

    def _insert(self, start: float, job: Job) -> None:
        order = self._enter(start, job)
        heapq.heappush(self._expiries, (job.expires_us, order, job))

    def _enter(self, start: float, job: Job) -> int:
        customer = job.handoff.customer
        job.is_queued = True
        self._counts[customer] += 1
        self._weights[customer] = job.handoff.weight
        order = next(self._order)
        heapq.heappush(self._heap, (start, order, job))
        return order

    def _forget(self, job: Job) -> None:
        customer = job.handoff.customer
        job.is_queued = False
        self._counts[customer] -= 1
        if not self._counts[customer]:
            del self._counts[customer]
            del self._weights[customer]
