"""State of a pool's targets, as kept by the pool's owner."""

from __future__ import annotations

import enum

from foxtailreach.config.objects import Service, Target
from foxtailreach.core.pool.health import (
    EJECT_CONNECT_FAILURES,
    EJECT_SCORE,
    TargetHealth,
)
from foxtailreach.core.pool.slow_start import SlowStart
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

FIRST_BACKOFF_US = SECOND_US
MAX_BACKOFF_US = 60 * SECOND_US
STABLE_AFTER_US = 60 * SECOND_US
PROBE_SUCCESSES = 3
PROBATION_US = 10 * SECOND_US
CONNECT_PAUSE_US = 200 * MILLISECOND_US


class TargetStatus(enum.StrEnum):
    """Whether a target gets requests.

    A healthy target gets requests up to its allowance, an ejected one gets
    none. A target being probed gets one idempotent request at a time.
    """

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    PROBING = 'trial'


class TargetState:
    """Allowance, health and ejection state of one target."""

    __slots__ = (
        'backoff_us',
        'health',
        'in_flight',
        'inherited_in_flight',
        'is_draining',
        'last_used_us',
        'name',
        'probe_successes',
        'restored_at_us',
        'retry_at_us',
        'slow_start',
        'status',
        'target',
    )

    def __init__(self, name: str, target: Target, now_us: int) -> None:
        """Create a healthy target; call `start_cold` before using it."""
        self.name = name
        self.target = target
        self.slow_start = SlowStart(target.slots)
        self.health = TargetHealth()
        self.in_flight = 0
        self.inherited_in_flight = 0
        self.status = TargetStatus.HEALTHY
        self.backoff_us = FIRST_BACKOFF_US
        self.retry_at_us = 0
        self.restored_at_us = now_us
        self.last_used_us = now_us
        self.probe_successes = 0
        self.is_draining = False

    @classmethod
    def from_config(
        cls,
        name: str,
        target: Target,
        service: Service,
        now_us: int,
    ) -> TargetState:
        """Create the state of a target that is assumed to be cold."""
        state = cls(name, target, now_us)
        state.start_cold(service, now_us)
        return state

    @property
    def allowed(self) -> int:
        """Number of concurrent requests that the target may run now."""
        if self.is_draining or self.status is TargetStatus.EJECTED:
            return 0
        if self.status is TargetStatus.PROBING:
            return 1
        if self.is_suspect:
            return max(1, self.slow_start.allowed // 2)
        return self.slow_start.allowed

    @property
    def is_unreachable(self) -> bool:
        """Whether the latest connection attempts all failed."""
        return self.health.connect_failures >= EJECT_CONNECT_FAILURES

    @property
    def is_suspect(self) -> bool:
        """Whether only the floor keeps the target in service."""
        return self.is_unreachable or self.health.score >= EJECT_SCORE

    @property
    def unused_slots(self) -> int:
        """Number of requests that may be added; can be negative."""
        return self.allowed - self.in_flight - self.inherited_in_flight

    def is_on_probation(self, now_us: int) -> bool:
        """Whether, soon after its return, a lower score ejects the target."""
        was_ejected = self.backoff_us > FIRST_BACKOFF_US
        return was_ejected and now_us - self.restored_at_us < PROBATION_US

    def is_paused(self, now_us: int) -> bool:
        """Whether to send no requests for now, after failed connections.

        This holds for targets that the floor keeps in service.
        """
        return self.is_unreachable and now_us < self.retry_at_us

    def record_connect_failure(self, now_us: int) -> None:
        """Count a connection failure and pause the target briefly."""
        self.health.connect_failures += 1
        self.retry_at_us = now_us + CONNECT_PAUSE_US

    def eject(self, now_us: int) -> None:
        """Send no requests until the back-off has passed.

        The back-off doubles with each ejection and starts over for a target
        that was in service for `STABLE_AFTER_US`.
        """
        was_stable = now_us - self.restored_at_us > STABLE_AFTER_US
        if was_stable and self.status is TargetStatus.HEALTHY:
            self.backoff_us = FIRST_BACKOFF_US
        self.status = TargetStatus.EJECTED
        self.retry_at_us = now_us + self.backoff_us
        self.backoff_us = min(MAX_BACKOFF_US, self.backoff_us * 2)

    def start_probing(self) -> None:
        """Allow single idempotent requests to see whether it recovered."""
        self.status = TargetStatus.PROBING
        self.probe_successes = 0
        self.health.clear_scores()

    def record_probe_success(self, service: Service, now_us: int) -> None:
        """Count a successful probe; restore the target after enough."""
        self.probe_successes += 1
        if self.probe_successes >= PROBE_SUCCESSES:
            self.restore(service, now_us)

    def restore(self, service: Service, now_us: int) -> None:
        """Return the target to service with a slow start."""
        self.status = TargetStatus.HEALTHY
        self.restored_at_us = now_us
        self.health.clear_scores()
        self.start_cold(service, now_us)

    def start_cold(self, service: Service, now_us: int) -> None:
        """Begin a slow start from the concurrency of a cold target."""
        warm_up_us = service.warm_up_ms * MILLISECOND_US
        self.slow_start.reset(service.cold_slots, warm_up_us, now_us)

    def start_cold_if_idle(self, service: Service, now_us: int) -> None:
        """Begin a slow start if the target had no requests for long."""
        idle_us = now_us - self.last_used_us
        if idle_us > service.cold_idle_ms * MILLISECOND_US:
            self.start_cold(service, now_us)
        self.last_used_us = now_us
