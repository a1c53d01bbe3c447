"""Concurrency ramp of a target after a cold start."""

from __future__ import annotations

from foxtailreach.core.units import MILLISECOND_US

STEP_SUCCESSES = 8
STEP_INTERVAL_US = 400 * MILLISECOND_US
MAX_PENALTY = 8


class Ramp:
    """Allowed concurrency: cold for a while, then one more per step.

    A shed halves the allowance and makes the target wait as after a cold
    start, twice as long each time in a row.
    """

    __slots__ = (
        '_next_step_us',
        '_penalty',
        '_successes',
        '_warm_up_us',
        'allowed',
        'slots',
    )

    def __init__(self, slots: int) -> None:
        """Start with one request at a time; see `reset`."""
        self.slots = slots
        self.allowed = 1
        self._warm_up_us = 0
        self._successes = 0
        self._next_step_us = 0
        self._penalty = 1

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
            self._successes = 0
            self._next_step_us = now_us + STEP_INTERVAL_US
            if self.is_full:
                self._penalty = 1

    def record_overload(self, now_us: int) -> None:
        """Halve the allowance after a shed."""
        wait_us = max(STEP_INTERVAL_US, self._warm_up_us) * self._penalty
        self.allowed = max(1, self.allowed // 2)
        self._successes = 0
        self._next_step_us = now_us + wait_us
        self._penalty = min(MAX_PENALTY, self._penalty * 2)

    def reset(self, allowed: int, warm_up_us: int, now_us: int) -> None:
        """Start over from a cold state that lasts `warm_up_us`."""
        self.allowed = min(allowed, self.slots)
        self._warm_up_us = warm_up_us
        self._successes = 0
        self._next_step_us = now_us + warm_up_us
        self._penalty = 1

    def resize(self, slots: int) -> None:
        """Adopt a new number of slots; more slots are ramped to."""
        self.slots = slots
        self.allowed = min(self.allowed, slots)
