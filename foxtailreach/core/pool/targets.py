"""State of the targets of one pool, as their owner sees them."""

from __future__ import annotations

import enum

from foxtailreach.config.objects import Service, Target
from foxtailreach.core.pool.health import (
    EJECT_SCORE,
    HARD_FAILURES,
    TargetHealth,
)
from foxtailreach.core.pool.ramp import Ramp
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

FIRST_BACKOFF_US = SECOND_US
MAX_BACKOFF_US = 60 * SECOND_US
STABLE_AFTER_US = 60 * SECOND_US
TRIAL_SUCCESSES = 3
PROBATION_US = 10 * SECOND_US
CONNECT_PAUSE_US = 200 * MILLISECOND_US


class TargetStatus(enum.StrEnum):
    """Whether and how a target gets work."""

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    TRIAL = 'trial'


class TargetState:
    """One target: its allowance, health and ejection state."""

    __slots__ = (
        'backoff_us',
        'health',
        'in_flight',
        'is_draining',
        'last_used_us',
        'name',
        'inherited_in_flight',
        'ramp',
        'retry_at_us',
        'returned_us',
        'status',
        'target',
        'trial_successes',
    )

    def __init__(self, name: str, target: Target, now_us: int) -> None:
        """Start as a cold target without any allowance yet."""
        self.name = name
        self.target = target
        self.ramp = Ramp(target.slots)
        self.health = TargetHealth()
        self.in_flight = 0
        self.inherited_in_flight = 0
        self.status = TargetStatus.HEALTHY
        self.backoff_us = FIRST_BACKOFF_US
        self.retry_at_us = 0
        self.returned_us = now_us
        self.last_used_us = now_us
        self.trial_successes = 0
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
        """Concurrent requests that this target may have now."""
        if self.is_draining or self.status is TargetStatus.EJECTED:
            return 0
        if self.status is TargetStatus.TRIAL:
            return 1
        if self.is_suspect:
            return max(1, self.ramp.allowed // 2)
        return self.ramp.allowed

    @property
    def is_unreachable(self) -> bool:
        """Whether the last connection attempts failed."""
        return self.health.hard_failures >= HARD_FAILURES

    @property
    def is_suspect(self) -> bool:
        """Whether only the floor keeps the target in service."""
        return self.is_unreachable or self.health.score >= EJECT_SCORE

    @property
    def free(self) -> int:
        """Unused part of the allowance."""
        return self.allowed - self.in_flight - self.inherited_in_flight

    def is_on_probation(self, now_us: int) -> bool:
        """Whether the target came back so recently that less is tolerated."""
        was_ejected = self.backoff_us > FIRST_BACKOFF_US
        return was_ejected and now_us - self.returned_us < PROBATION_US

    def is_paused(self, now_us: int) -> bool:
        """Whether a retained target rests after a failed connection."""
        return self.is_unreachable and now_us < self.retry_at_us

    def record_connect_failure(self, now_us: int) -> None:
        """Count a connection failure and rest for a moment."""
        self.health.hard_failures += 1
        self.retry_at_us = now_us + CONNECT_PAUSE_US

    def eject(self, now_us: int) -> None:
        """Stop all new work until the back-off has passed."""
        was_stable = now_us - self.returned_us > STABLE_AFTER_US
        if was_stable and self.status is TargetStatus.HEALTHY:
            self.backoff_us = FIRST_BACKOFF_US
        self.status = TargetStatus.EJECTED
        self.retry_at_us = now_us + self.backoff_us
        self.backoff_us = min(MAX_BACKOFF_US, self.backoff_us * 2)

    def begin_trial(self) -> None:
        """Admit single idempotent requests to see whether it recovered."""
        self.status = TargetStatus.TRIAL
        self.trial_successes = 0
        self.health.clear_scores()

    def record_trial_success(self, service: Service, now_us: int) -> None:
        """Return to service through the ramp after enough successes."""
        self.trial_successes += 1
        if self.trial_successes >= TRIAL_SUCCESSES:
            self.restore(service, now_us)

    def restore(self, service: Service, now_us: int) -> None:
        """Return to regular service, cold."""
        self.status = TargetStatus.HEALTHY
        self.returned_us = now_us
        self.health.clear_scores()
        self.start_cold(service, now_us)

    def start_cold(self, service: Service, now_us: int) -> None:
        """Allow only what a cold target bears, and ramp up later."""
        warm_up_us = service.warm_up_ms * MILLISECOND_US
        self.ramp.reset(service.cold_slots, warm_up_us, now_us)

    def cool_if_idle(self, service: Service, now_us: int) -> None:
        """Treat a target as cold after a long time without requests."""
        idle_us = now_us - self.last_used_us
        if idle_us > service.cold_idle_ms * MILLISECOND_US:
            self.start_cold(service, now_us)
        self.last_used_us = now_us
