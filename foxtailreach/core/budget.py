"""Retry budget: retries are a bounded fraction of recent requests."""

from __future__ import annotations

from foxtailreach.core.units import SECOND_US

RETRY_RATIO = 0.1
RETRY_FLOOR_PER_S = 1.0
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Token bucket that requests fill and retries drain."""

    __slots__ = ('_saved', '_updated_us')

    def __init__(self, now_us: int) -> None:
        """Start with a full budget."""
        self._saved = MAX_SAVED_RETRIES
        self._updated_us = now_us

    def record_request(self) -> None:
        """Earn a fraction of a retry."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + RETRY_RATIO)

    def spend_retry(self, now_us: int) -> bool:
        """Take one retry; false means that the budget is exhausted."""
        elapsed_us = now_us - self._updated_us
        self._updated_us = now_us
        earned = RETRY_FLOOR_PER_S * elapsed_us / SECOND_US
        self._saved = min(MAX_SAVED_RETRIES, self._saved + earned)
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
