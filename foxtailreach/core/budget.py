"""Retry budget that limits retries to a fraction of recent requests."""

from __future__ import annotations

from foxtailreach.core.units import SECOND_US

RETRY_RATIO = 0.1
MIN_RETRIES_PER_S = 1.0
MAX_RETRY_TOKENS = 20.0


class RetryBudget:
    """Token bucket that is filled by requests and time, drained by retries."""

    __slots__ = ('_tokens', '_updated_us')

    def __init__(self, now_us: int) -> None:
        """Start with a full budget."""
        self._tokens = MAX_RETRY_TOKENS
        self._updated_us = now_us

    def record_request(self) -> None:
        """Add `RETRY_RATIO` of a token."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + RETRY_RATIO)

    def spend_retry(self, now_us: int) -> bool:
        """Take the token of one retry; false if the budget is exhausted."""
        elapsed_us = now_us - self._updated_us
        self._updated_us = now_us
        earned = MIN_RETRIES_PER_S * elapsed_us / SECOND_US
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + earned)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
