"""Token bucket and retry budget."""

from __future__ import annotations

from collections import deque
from contextlib import suppress
from dataclasses import dataclass

from foxtailreach.core.units import MILLISECOND_US, SECOND_US


class TokenBucket:
    """Token bucket: `rate_per_s` tokens on average, `burst` at once."""

    __slots__ = ('_level', '_updated_us', 'burst', 'created_us', 'rate_per_s')

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        now_us: int,
        level: float | None = None,
    ) -> None:
        """Create a bucket with `level` tokens; a full one by default."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.created_us = now_us
        self._level = burst if level is None else level
        self._updated_us = now_us

    def resize(self, rate_per_s: float, burst: float, now_us: int) -> None:
        """Change rate and burst; tokens beyond the new burst are dropped."""
        self._refill(now_us)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = min(self._level, burst)

    def has_token(self, now_us: int) -> bool:
        """Tell whether `take` would succeed now."""
        self._refill(now_us)
        return self._level >= 1

    def take(self, now_us: int) -> bool:
        """Take one token; return False if there is none."""
        if not self.has_token(now_us):
            return False
        self._level -= 1
        return True

    def wait_us(self, now_us: int) -> int:
        """Return the time until the next token.

        The time is 1 s if the rate is 0.
        """
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


# The budget holds by the times at which targets receive requests. A retry may
# arrive this long after its grant, so it counts for longer than the window; a
# first send is reported up to this long after its arrival and counts for less.
SEND_DELAY_US = 300 * MILLISECOND_US
REPORT_DELAY_US = SECOND_US
# Share of the budget that probes leave to requests whose target failed.
RETRY_RESERVE_SHARE = 0.3


@dataclass(slots=True, frozen=True)
class RetryPolicy:
    """Bound on the retries of a service in a sliding window.

    `ratio` is the number of retries per first send; `slack` retries are
    allowed on top, whatever the number of first sends.
    """

    ratio: float
    window_us: int
    slack: int


class RetryBudget:
    """Limits retries to a share of the first sends.

    Load pattern: many targets fail at once, so that each request needs a
    second target and the retries would double the load. Repeatable requests
    stop being probes and go to proven targets before the budget is used up,
    so that a failed request can still be retried.

    Several brokers of a service may be active at once. Each adds retries in
    proportion to its own first sends, but only one that `has_slack` uses the
    slack.
    """

    __slots__ = ('_first_sends', '_policy', '_retries', 'has_slack')

    def __init__(self, policy: RetryPolicy) -> None:
        """Create a budget without recorded sends."""
        self.has_slack = True
        self._policy = policy
        self._first_sends: deque[int] = deque()
        self._retries: deque[int] = deque()

    def record_first_send(self, now_us: int) -> None:
        """Count the first send of a request, once its outcome is known.

        A slot that was granted may never have been used.
        """
        self._first_sends.append(now_us)

    def record_retry(self, now_us: int) -> None:
        """Count a retry."""
        self._retries.append(now_us)

    def withdraw_retry(self, granted_us: int) -> None:
        """Take back a retry that was granted at a time and not sent."""
        with suppress(ValueError):
            self._retries.remove(granted_us)

    def allows_retry(self, now_us: int, waiting: int = 0) -> bool:
        """Tell whether the budget allows one more retry.

        `waiting` retries were allowed before and have no slot yet.
        """
        return len(self._retries) + waiting + 1 <= self._allowed(now_us)

    def allows_probes(self, now_us: int) -> bool:
        """Tell whether the budget beyond the reserve allows one more retry."""
        spendable = (1 - RETRY_RESERVE_SHARE) * self._allowed(now_us)
        return len(self._retries) + 1 <= spendable

    def _allowed(self, now_us: int) -> float:
        self._expire(now_us)
        slack = self._policy.slack if self.has_slack else 0
        return self._policy.ratio * len(self._first_sends) + slack

    def _expire(self, now_us: int) -> None:
        start_us = now_us - self._policy.window_us
        _drop_until(self._first_sends, start_us + REPORT_DELAY_US)
        _drop_until(self._retries, start_us - SEND_DELAY_US)


def _drop_until(sends: deque[int], until_us: int) -> None:
    while sends and sends[0] <= until_us:
        sends.popleft()
