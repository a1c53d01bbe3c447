"""Concurrency ramp of a target after a cold start."""

from __future__ import annotations

from foxtailreach.core.units import MILLISECOND_US

STEP_SUCCESSES = 8
STEP_INTERVAL_US = 400 * MILLISECOND_US


class Ramp:
    """Allowed concurrency: one more after sustained success, half on shed."""

    __slots__ = ('_next_step_us', '_successes', 'allowed', 'slots')

    def __init__(self, allowed: int, slots: int, now_us: int) -> None:
        """Start with `allowed` of `slots` concurrent requests."""
        self.slots = slots
        self.allowed = min(allowed, slots)
        self._successes = 0
        self._next_step_us = now_us + STEP_INTERVAL_US

    @property
    def is_full(self) -> bool:
        """Whether the target may use all of its slots."""
        return self.allowed >= self.slots

    def record_success(self, now_us: int) -> None:
        """Count a success and take a step when one is due."""
        if self.is_full:
            return
        self._successes += 1
        if self._successes >= STEP_SUCCESSES and now_us >= self._next_step_us:
            self.allowed += 1
            self._restart(now_us)

    def record_overload(self, now_us: int) -> None:
        """Halve the allowance after a shed or a slow answer."""
        self.allowed = max(1, self.allowed // 2)
        self._restart(now_us)

    def reset(self, allowed: int, now_us: int) -> None:
        """Start over from a cold state."""
        self.allowed = min(allowed, self.slots)
        self._restart(now_us)

    def resize(self, slots: int, now_us: int) -> None:
        """Adopt a new number of slots; more slots are ramped to."""
        self.slots = slots
        self.allowed = min(self.allowed, slots)
        self._restart(now_us)

    def _restart(self, now_us: int) -> None:
        self._successes = 0
        self._next_step_us = now_us + STEP_INTERVAL_US
