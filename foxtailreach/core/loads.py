"""Load of the pools as estimated by an entry host, and choice of a pool."""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable
from dataclasses import dataclass

from foxtailreach.core.catalog import Pool
from foxtailreach.core.messages import PoolLoad
from foxtailreach.core.units import MILLISECOND_US

# Delay of a handoff within a failure domain, and to another one.
LOCAL_HANDOFF_US = 300
REMOTE_HANDOFF_US = 3 * MILLISECOND_US
DEFAULT_SERVICE_TIME_US = 20 * MILLISECOND_US
# Free slots are trusted only if they were reported within this time.
MAX_FRESH_AGE_US = 50 * MILLISECOND_US
# A report older than this is replaced by the assumption that the pool is idle
# and has one slot per target.
MAX_LOAD_AGE_US = 2_000 * MILLISECOND_US
# Weight of the squared utilization in the estimated queueing delay.
UTILIZATION_COST = 0.25
MAX_REPORTS = 2
MAX_CANDIDATES = 8


@dataclass(slots=True)
class PoolEstimate:
    """Last reported load of a pool and the requests sent to it since.

    `is_assumed` marks an estimate made without any report.
    """

    slots: int
    busy: int
    queued: int
    service_us: int
    observed_us: int
    sent_since_report: int = 0
    is_assumed: bool = False

    def backlog(self, now_us: int) -> float:
        """Estimate the running and queued requests now."""
        elapsed_us = now_us - self.observed_us
        served = self.slots * elapsed_us / max(1, self.service_us)
        return max(0, self.busy + self.queued - served) + self.sent_since_report

    def wait_us(self, now_us: int) -> float:
        """Estimate the queueing delay of one more request, in microseconds.

        For a pool without slots this is `MAX_LOAD_AGE_US`.
        """
        if self.slots <= 0:
            return float(MAX_LOAD_AGE_US)
        backlog = self.backlog(now_us)
        excess = max(0, backlog + 1 - self.slots)
        utilization = min(1, backlog / self.slots)
        cost = excess / self.slots + UTILIZATION_COST * utilization**2
        return cost * self.service_us


class LoadView:
    """Loads of pools, learned from handoffs and their results."""

    __slots__ = ('_domain', '_estimates', '_rng')

    def __init__(self, domain: str, rng: random.Random) -> None:
        """Create an empty view for a host in `domain`."""
        self._domain = domain
        self._rng = rng
        self._estimates: dict[str, PoolEstimate] = {}

    def observe(self, load: PoolLoad, now_us: int) -> None:
        """Store a report unless a newer one is known."""
        observed_us = now_us - load.age_us
        known = self._estimates.get(load.pool_id)
        is_known = known is not None and not known.is_assumed
        if known is not None and is_known and known.observed_us > observed_us:
            return
        self._estimates[load.pool_id] = PoolEstimate(
            slots=load.slots,
            busy=load.busy,
            queued=load.queued,
            service_us=load.service_us,
            observed_us=observed_us,
        )

    def record_sent(self, pool_id: str) -> None:
        """Count a request that was sent after the last report."""
        estimate = self._estimates.get(pool_id)
        if estimate is not None:
            estimate.sent_since_report += 1

    def choose(
        self,
        pools: Iterable[Pool],
        excluded: Iterable[str],
        now_us: int,
    ) -> Pool | None:
        """Return the pool with the least expected delay.

        Compare a random sample of up to `MAX_CANDIDATES` pools.
        """
        candidates = [pool for pool in pools if pool.pool_id not in excluded]
        if not candidates:
            return None
        count = min(len(candidates), MAX_CANDIDATES)
        candidates = self._rng.sample(candidates, count)
        return min(candidates, key=lambda pool: self.cost_us(pool, now_us))

    def cost_us(self, pool: Pool, now_us: int) -> float:
        """Estimate the delay of one more request, including the handoff."""
        handoff_us = LOCAL_HANDOFF_US
        if pool.domain != self._domain:
            handoff_us = REMOTE_HANDOFF_US
        return handoff_us + self._estimate(pool, now_us).wait_us(now_us)

    def most_free_pool(
        self,
        pools: Iterable[Pool],
        excluded: str,
        now_us: int,
    ) -> Pool | None:
        """Return the pool with the most free slots, by fresh reports only.

        None if no pool other than `excluded` has a whole free slot.
        """
        best: Pool | None = None
        most_free = 1.0
        for pool in pools:
            free = self._fresh_free_slots(pool.pool_id, now_us)
            if pool.pool_id != excluded and free >= most_free:
                best, most_free = pool, free
        return best

    def reports(
        self,
        pools: Iterable[Pool],
        now_us: int,
    ) -> tuple[PoolLoad, ...]:
        """Return the loads of the pools with the most free slots.

        They are attached to a handoff. Only fresh reports count, and at most
        `MAX_REPORTS` are returned.
        """
        reports = [
            _report(pool.pool_id, self._estimates[pool.pool_id], now_us)
            for pool in pools
            if self._fresh_free_slots(pool.pool_id, now_us) > 0
        ]
        return tuple(heapq.nlargest(MAX_REPORTS, reports, key=_free_slots))

    def _fresh_free_slots(self, pool_id: str, now_us: int) -> float:
        """Return the free slots by a fresh report; 0 if there is none."""
        estimate = self._estimates.get(pool_id)
        if estimate is None or estimate.is_assumed:
            return 0
        if now_us - estimate.observed_us > MAX_FRESH_AGE_US:
            return 0
        return estimate.slots - estimate.backlog(now_us)

    def _estimate(self, pool: Pool, now_us: int) -> PoolEstimate:
        known = self._estimates.get(pool.pool_id)
        if known is not None and now_us - known.observed_us < MAX_LOAD_AGE_US:
            return known
        assumed = PoolEstimate(
            slots=len(pool.targets),
            busy=0,
            queued=0,
            service_us=DEFAULT_SERVICE_TIME_US,
            observed_us=now_us,
            is_assumed=True,
        )
        self._estimates[pool.pool_id] = assumed
        return assumed


def _free_slots(load: PoolLoad) -> int:
    return load.slots - load.busy - load.queued


def _report(
    pool_id: str,
    estimate: PoolEstimate,
    now_us: int,
) -> PoolLoad:
    return PoolLoad(
        pool_id=pool_id,
        slots=estimate.slots,
        busy=estimate.busy,
        queued=estimate.queued,
        service_us=estimate.service_us,
        age_us=now_us - estimate.observed_us,
    )
