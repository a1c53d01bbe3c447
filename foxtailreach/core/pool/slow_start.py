"""Slow start: the concurrency limit of a target after a cold start."""

from __future__ import annotations

from foxtailreach.core.units import MILLISECOND_US

SUCCESSES_PER_STEP = 8
STEP_INTERVAL_US = 400 * MILLISECOND_US
MAX_WAIT_FACTOR = 8


class SlowStart:
    """Concurrency limit that grows by one slot per step after the warm-up.

    When the target sheds a request, the limit is halved and the warm-up
    starts again, twice as long each time in a row.
    """

    __slots__ = (
        '_next_step_us',
        '_successes',
        '_wait_factor',
        '_warm_up_us',
        'allowed',
        'slots',
    )

    def __init__(self, slots: int) -> None:
        """Start with a limit of one request; see `reset`."""
        self.slots = slots
        self.allowed = 1
        self._warm_up_us = 0
        self._successes = 0
        self._next_step_us = 0
        self._wait_factor = 1

    @property
    def is_complete(self) -> bool:
        """Whether the target may use all of its slots."""
        return self.allowed >= self.slots

    def record_success(self, now_us: int) -> None:
        """Count a success and raise the limit when a step is due."""
        if self.is_complete:
            return
        self._successes += 1
        if (
            self._successes >= SUCCESSES_PER_STEP
            and now_us >= self._next_step_us
        ):
            self.allowed += 1
            self._successes = 0
            self._next_step_us = now_us + STEP_INTERVAL_US
            if self.is_complete:
                self._wait_factor = 1

    def record_overload(self, now_us: int) -> None:
        """Halve the limit after the target shed a request."""
        wait_us = max(STEP_INTERVAL_US, self._warm_up_us) * self._wait_factor
        self.allowed = max(1, self.allowed // 2)
        self._successes = 0
        self._next_step_us = now_us + wait_us
        self._wait_factor = min(MAX_WAIT_FACTOR, self._wait_factor * 2)

    def reset(self, allowed: int, warm_up_us: int, now_us: int) -> None:
        """Restart with a limit of `allowed`, kept for `warm_up_us`."""
        self.allowed = min(allowed, self.slots)
        self._warm_up_us = warm_up_us
        self._successes = 0
        self._next_step_us = now_us + warm_up_us
        self._wait_factor = 1

    def resize(self, slots: int) -> None:
        """Adopt a new number of slots; added ones open step by step."""
        self.slots = slots
        self.allowed = min(self.allowed, slots)
