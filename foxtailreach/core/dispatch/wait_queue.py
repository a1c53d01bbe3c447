"""Queue of the requests that wait for a slot.

Load pattern: more requests than slots, because of a burst or lost targets.
Requests that can still meet their latency objective are served before late
ones, so that an overload does not make every answer late. A request that
cannot finish before its deadline is refused at once, with a Retry-After of
the time that the backlog needs to drain; jitter spreads the retries. Requests
in surplus of a customer's limit are served last.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from foxtailreach.core.dispatch.messages import SlotRequest
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

MIN_RETRY_AFTER_US = 200 * MILLISECOND_US
MAX_RETRY_AFTER_US = 5 * SECOND_US
# Jitter: adds up to half of the retry delay.
RETRY_SPREAD = 0.5
# Share of the time left that a request may wait; the rest leaves the caller
# time for a retry after a refusal.
MAX_WAIT_SHARE = 0.6

Rank = tuple[bool, bool, int, int]


@dataclass(slots=True, eq=False)
class Waiter:
    """A queued request, and when it expires or becomes late.

    `service_us` is its expected service time; 0 stands for the mean.
    """

    host_id: str
    domain: str
    slot_request: SlotRequest
    enqueued_us: int
    expires_us: int
    objective_us: int
    service_us: int = 0

    def rank(self, now_us: int, service_us: int) -> Rank:
        """Return the sort key; the smallest is served first."""
        is_late = now_us + (self.service_us or service_us) > self.objective_us
        slot_request = self.slot_request
        return (
            slot_request.is_surplus,
            is_late,
            slot_request.priority,
            self.enqueued_us,
        )


class WaitQueue:
    """The queued requests of one service, by host id and `ask_id`."""

    __slots__ = ('_rng', '_waiters')

    def __init__(self, rng: random.Random) -> None:
        """Create an empty queue; `rng` draws the jitter of retries."""
        self._waiters: dict[tuple[str, int], Waiter] = {}
        self._rng = rng

    def __len__(self) -> int:
        """Count the queued requests."""
        return len(self._waiters)

    def __contains__(self, holder: tuple[str, int]) -> bool:
        """Tell whether a request is queued."""
        return holder in self._waiters

    def add(
        self,
        host_id: str,
        domain: str,
        slot_request: SlotRequest,
        now_us: int,
        service_us: int = 0,
    ) -> Waiter:
        """Queue a request for at most `MAX_WAIT_SHARE` of its time left."""
        waiter = Waiter(
            host_id=host_id,
            domain=domain,
            slot_request=slot_request,
            enqueued_us=now_us,
            expires_us=now_us + int(slot_request.time_left_us * MAX_WAIT_SHARE),
            objective_us=now_us + slot_request.objective_left_us,
            service_us=service_us,
        )
        self._waiters[host_id, slot_request.ask_id] = waiter
        return waiter

    def remove(self, host_id: str, ask_id: int) -> bool:
        """Remove a request; return False if it is not queued."""
        return self._waiters.pop((host_id, ask_id), None) is not None

    def count_retries(self) -> int:
        """Count the queued requests that are retries."""
        return sum(
            waiter.slot_request.is_repeat for waiter in self._waiters.values()
        )

    def ordered(self, now_us: int, service_us: int) -> list[Waiter]:
        """List the queued requests in the order in which they are served."""
        return sorted(
            self._waiters.values(),
            key=lambda waiter: waiter.rank(now_us, service_us),
        )

    def pop_expired(self, now_us: int) -> list[Waiter]:
        """Remove and return the requests whose waiting time is over."""
        expired = [
            waiter
            for waiter in self._waiters.values()
            if waiter.expires_us <= now_us
        ]
        for waiter in expired:
            self.remove(waiter.host_id, waiter.slot_request.ask_id)
        return expired

    def pop_all(self) -> list[Waiter]:
        """Remove and return all requests."""
        waiters = list(self._waiters.values())
        self._waiters.clear()
        return waiters

    def expected_wait_us(
        self,
        priority: int,
        slots: int,
        per_request_us: int,
    ) -> int:
        """Estimate how long a new request of this priority would wait.

        `per_request_us` is the mean service time, which holds for the waiting
        requests without an estimate.
        """
        if not slots:
            return MAX_RETRY_AFTER_US
        ahead_us = sum(
            waiter.service_us or per_request_us
            for waiter in self._waiters.values()
            if waiter.slot_request.priority <= priority
        )
        return (ahead_us + per_request_us) // slots

    def retry_after_us(self, wait_us: int) -> int:
        """Return the delay after which a refused caller should retry."""
        base_us = min(MAX_RETRY_AFTER_US, max(MIN_RETRY_AFTER_US, wait_us))
        return int(base_us * (1 + RETRY_SPREAD * self._rng.random()))


def spread_after_pause_us(pause_us: int, rng: random.Random) -> int:
    """Return the delay after which a caller should retry after a pause.

    Callers return one after the other from the end of the pause on.
    """
    spread_us = min(MAX_RETRY_AFTER_US, int(RETRY_SPREAD * pause_us))
    return pause_us + int(rng.random() * max(MIN_RETRY_AFTER_US, spread_us))


def cannot_finish_in_time(
    slot_request: SlotRequest,
    wait_us: int,
    service_us: int,
) -> bool:
    """Tell whether a request would miss its deadline or wait too long."""
    if wait_us > slot_request.time_left_us * MAX_WAIT_SHARE:
        return True
    return wait_us + service_us > slot_request.time_left_us
