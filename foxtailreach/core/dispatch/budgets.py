"""Token bucket and repeat budget, both for decisions over the whole fleet."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from foxtailreach.core.units import SECOND_US


class TokenBucket:
    """Grants `rate_per_s` on average and `burst` at once."""

    __slots__ = ('_level', '_updated_us', 'burst', 'rate_per_s')

    def __init__(self, rate_per_s: float, burst: float, now_us: int) -> None:
        """Start full."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = burst
        self._updated_us = now_us

    def resize(self, rate_per_s: float, burst: float, now_us: int) -> None:
        """Adopt another rate and burst; surplus tokens are dropped."""
        self._refill(now_us)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = min(self._level, burst)

    def has_token(self, now_us: int) -> bool:
        """Whether `take` would succeed now."""
        self._refill(now_us)
        return self._level >= 1

    def take(self, now_us: int) -> bool:
        """Take one token, if there is one."""
        if not self.has_token(now_us):
            return False
        self._level -= 1
        return True

    def wait_us(self, now_us: int) -> int:
        """Return the time until the next token."""
        self._refill(now_us)
        if self._level >= 1:
            return 0
        if self.rate_per_s <= 0:
            return SECOND_US
        return int((1 - self._level) / self.rate_per_s * SECOND_US)

    def _refill(self, now_us: int) -> None:
        elapsed_us = max(0, now_us - self._updated_us)
        self._updated_us = max(now_us, self._updated_us)
        earned = self.rate_per_s * elapsed_us / SECOND_US
        self._level = min(self.burst, self._level + earned)


# Part of the allowance that trials leave to requests whose target fails.
REPEAT_RESERVE_SHARE = 0.3


@dataclass(slots=True, frozen=True)
class RetryPolicy:
    """Bound on repeated sends of a service in a sliding window."""

    ratio: float
    window_us: int
    slack: int


class RepeatBudget:
    """Allows repeats while they are few against the first sends.

    Load pattern: many targets fail at once, so that each request wants a
    second target and the repeats would double the load. Requests that may be
    repeated are then sent to proven targets and are no longer trials, before
    the allowance is used up and a failed one cannot be repeated.
    """

    __slots__ = ('_firsts', '_policy', '_repeats')

    def __init__(self, policy: RetryPolicy) -> None:
        """Start without sends."""
        self._policy = policy
        self._firsts: deque[int] = deque()
        self._repeats: deque[int] = deque()

    def record_first(self, now_us: int) -> None:
        """Count the first send of a request."""
        self._firsts.append(now_us)

    def record_repeat(self, now_us: int) -> None:
        """Count a repeated send."""
        self._repeats.append(now_us)

    def allows_repeat(self, now_us: int) -> bool:
        """Whether one repeat more stays within the bound."""
        return len(self._repeats) + 1 <= self._allowed(now_us)

    def allows_trials(self, now_us: int) -> bool:
        """Whether a request may risk a repeat."""
        unreserved = (1 - REPEAT_RESERVE_SHARE) * self._allowed(now_us)
        return len(self._repeats) + 1 <= unreserved

    def _allowed(self, now_us: int) -> float:
        self._expire(now_us)
        return self._policy.ratio * len(self._firsts) + self._policy.slack

    def _expire(self, now_us: int) -> None:
        horizon_us = now_us - self._policy.window_us
        for sends in (self._firsts, self._repeats):
            while sends and sends[0] <= horizon_us:
                sends.popleft()
