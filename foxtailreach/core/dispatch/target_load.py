"""Requests at one target: their remaining work, and what long ones tell.

Load pattern: 3% of the requests take 7 times the mean, and a target that hangs
serves nothing that is sent to it. So a long request is judged by what the
target has served in time of the requests that were sent later.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from foxtailreach.core.dispatch.request_costs import TAIL_SHARE, CostEstimate
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

# A request that runs for this many mean service times is overdue.
OVERDUE_FACTOR = 4
MIN_OVERDUE_US = 900 * MILLISECOND_US
# An answer is slow if it takes this many mean service times.
SLOW_FACTOR = 4
# A request that timed out is long if it ran for this many mean service times;
# route timeouts are 3.8 to 7.5 means. A shorter time says nothing of its cost.
LONG_TIMEOUT_FACTOR = 2.5
# A running request is late after this many mean service times. About 0.07 of
# the requests are late at a healthy target.
LATE_FACTOR = 2
LATE_SHARE = 0.07
# Share of its requests that a failing target does not serve.
FAILING_SHARE = 0.85
# Log likelihood ratio from which on a target counts as failing. A single long
# request reaches it alone at a tail share of 0.02 to 0.11, and does not once a
# later one was served in time; two at once reach it up to two later ones.
FAILING_EVIDENCE = 2.0
# What a request that was served in time speaks for, at the tail share of 0.02.
SERVED_EVIDENCE = math.log((1 - TAIL_SHARE) / (1 - FAILING_SHARE))
# What a late request that was sent after a long one speaks for.
LATE_EVIDENCE = math.log(FAILING_SHARE / LATE_SHARE)
# Long requests that ended this long ago no longer count: failure periods last
# 2.7 s on average.
LONG_MEMORY_US = 3 * SECOND_US
# A target with 6 slots serves about this many during the longest request.
SERVED_MEMORY = 24
LONG_MEMORY = 12
# A target counts as of usual speed within this factor: the estimate of its
# slowness has a standard error of 0.14.
USUAL_SLOWNESS = 0.3

Holder = tuple[str, int]


class LongRequest(NamedTuple):
    """A request that took several times the mean or timed out."""

    sent_us: int
    ended_us: int
    request_class: int
    body_bytes: int
    tail_share: float


class RunningRequest(NamedTuple):
    """A request with a slot, and what it is expected to cost."""

    granted_us: int
    estimate: CostEstimate

    def remaining_us(self, now_us: int) -> int:
        """Return the expected time until it ends.

        A request that runs longer than estimated takes about its deviation
        more, and one that runs for several times the mean as long again.
        """
        run_us = now_us - self.granted_us
        left_us = self.estimate.mean_us - run_us
        if run_us > LATE_FACTOR * self.estimate.mean_us:
            return run_us
        return max(left_us, self.estimate.deviation_us)


class TargetLoad:
    """Running requests of a target, and its recent outcomes by send time."""

    __slots__ = ('_long', '_running', '_served_sent_us', '_unconfirmed')

    def __init__(self) -> None:
        """Create a load without requests."""
        self._running: dict[Holder, RunningRequest] = {}
        self._served_sent_us: deque[int] = deque(maxlen=SERVED_MEMORY)
        self._long: deque[LongRequest] = deque(maxlen=LONG_MEMORY)
        # Long requests that look usual, until the target serves another one.
        self._unconfirmed: list[LongRequest] = []

    def clear(self) -> None:
        """Discard what belongs to an earlier process of the target."""
        self._running.clear()
        self._served_sent_us.clear()
        self._long.clear()
        self._unconfirmed.clear()

    def add(self, holder: Holder, estimate: CostEstimate, now_us: int) -> None:
        """Set the estimate of a request that gets a slot."""
        self._running[holder] = RunningRequest(now_us, estimate)

    def remove(self, holder: Holder) -> None:
        """Forget a request that has ended."""
        self._running.pop(holder, None)

    def remaining_us(self, now_us: int) -> int:
        """Return the expected remaining work of the running requests."""
        return sum(
            running.remaining_us(now_us) for running in self._running.values()
        )

    def record_served(self, sent_us: int) -> list[LongRequest]:
        """Record an answer in time.

        Return the long requests, sent before, that it shows to be usual ones.
        """
        self._served_sent_us.append(sent_us)
        if not self._unconfirmed:
            return []
        confirmed = [
            request
            for request in self._unconfirmed
            if request.sent_us < sent_us
        ]
        for request in confirmed:
            self._unconfirmed.remove(request)
        return confirmed

    def record_long(self, request: LongRequest, now_us: int) -> bool:
        """Record a long request that has ended; tell whether it is unusual."""
        self._long.append(request)
        is_unusual = self._is_unusual([], request.tail_share, now_us)
        if is_unusual:
            self._unconfirmed.clear()
        else:
            self._unconfirmed.append(request)
        return is_unusual

    def record_failed(self) -> None:
        """Record a failure: the long requests before it may belong to it."""
        self._unconfirmed.clear()

    def has_overdue(
        self, granted: dict[Holder, int], service_us: int, now_us: int
    ) -> bool:
        """Tell whether running requests are evidence against the target.

        Where long requests are usual, only if they are unusual as a whole.
        """
        long_sent_us = []
        tail_share = 1.0
        for holder, granted_us in granted.items():
            running = self._running.get(holder)
            mean_us = service_us
            if running is not None:
                mean_us = max(mean_us, running.estimate.mean_us)
            if now_us - granted_us <= overdue_after_us(mean_us):
                continue
            if running is None or running.estimate.tail_share < TAIL_SHARE:
                return True
            tail_share = min(tail_share, running.estimate.tail_share)
            long_sent_us.append(granted_us)
        if not long_sent_us:
            return False
        return self._is_unusual(long_sent_us, tail_share, now_us)

    def _is_unusual(
        self, running_us: list[int], tail_share: float, now_us: int
    ) -> bool:
        """Tell whether the long requests speak for a failing target.

        Those from each one on are weighed against what was sent after it and
        served in time, since the target may have begun to fail at any of them.
        """
        sent_us = [
            request.sent_us
            for request in self._long
            if now_us - request.ended_us < LONG_MEMORY_US
        ]
        sent_us.extend(running_us)
        sent_us.sort(reverse=True)
        late_us = [
            running.granted_us
            for running in self._running.values()
            if now_us - running.granted_us
            > LATE_FACTOR * running.estimate.mean_us
            and running.granted_us not in running_us
        ]
        per_long = math.log(FAILING_SHARE / max(TAIL_SHARE, tail_share))
        for count, first_us in enumerate(sent_us, start=1):
            evidence = count * per_long
            evidence += LATE_EVIDENCE * sum(
                granted_us > first_us for granted_us in late_us
            )
            evidence -= SERVED_EVIDENCE * sum(
                served_us > first_us for served_us in self._served_sent_us
            )
            if evidence >= FAILING_EVIDENCE:
                return True
        return False


def overdue_after_us(service_us: int) -> int:
    """Return how long a request may run before it is overdue."""
    return max(MIN_OVERDUE_US, OVERDUE_FACTOR * service_us)


def expected_finish_us(service_us: int, slowness: float) -> int:
    """Return the time until a request ends at a target with a free slot."""
    if abs(slowness - 1) < USUAL_SLOWNESS:
        return service_us
    return int(service_us * slowness)
