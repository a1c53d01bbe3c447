"""Integer token bucket that accounts for tokens leased to entry hosts."""

from __future__ import annotations

import math
from dataclasses import dataclass

from foxtailreach.config.objects import Limit
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

# With this unit, tokens per second are microtokens per microsecond.
MICROTOKENS_PER_TOKEN = SECOND_US
LEASE_VALID_US = 200 * MILLISECOND_US


@dataclass(slots=True)
class Lease:
    """Tokens granted to an entry host and possibly not spent yet."""

    count: int
    expires_us: int


class LeasingBucket:
    """Token bucket whose level is counted in millionths of a token.

    Leased tokens count against the capacity until their lease expires, so
    that the tokens here and at all entry hosts never exceed the burst.
    """

    __slots__ = ('_leases', '_level', '_updated_us', 'limit')

    def __init__(self, limit: Limit, tokens: int, now_us: int) -> None:
        """Start with a number of whole tokens."""
        self.limit = limit
        self._level = tokens * MICROTOKENS_PER_TOKEN
        self._updated_us = now_us
        self._leases: dict[tuple[str, int], Lease] = {}

    def change_limit(self, limit: Limit, now_us: int) -> None:
        """Apply a new limit; tokens above the new burst are dropped."""
        self._refill(now_us)
        self.limit = limit
        self._level = min(self._level, self._capacity())

    def grant_lease(
        self, entry_host: str, sequence: int, want: int, now_us: int
    ) -> int:
        """Lease up to `want` tokens; a repeated `sequence` gets none."""
        self._refill(now_us)
        lease_id = (entry_host, sequence)
        if lease_id in self._leases:
            return 0
        granted = min(want, self._level // MICROTOKENS_PER_TOKEN)
        if granted:
            self._level -= granted * MICROTOKENS_PER_TOKEN
            expires_us = now_us + LEASE_VALID_US
            self._leases[lease_id] = Lease(granted, expires_us)
        return granted

    def return_lease(
        self,
        entry_host: str,
        sequence: int,
        count: int,
        now_us: int,
    ) -> None:
        """Credit up to `count` unspent tokens of a lease, and end the lease."""
        self._refill(now_us)
        lease = self._leases.pop((entry_host, sequence), None)
        if lease is not None:
            returned = min(count, lease.count)
            self._level = min(
                self._capacity(),
                self._level + returned * MICROTOKENS_PER_TOKEN,
            )

    def retry_after_us(self, now_us: int) -> int:
        """Return the time until the next whole token, in microseconds."""
        self._refill(now_us)
        missing = max(0, MICROTOKENS_PER_TOKEN - self._level)
        return math.ceil(missing / self.limit.rate_per_s)

    def _capacity(self) -> int:
        leased = sum(lease.count for lease in self._leases.values())
        return (
            max(0, self.limit.burst_requests - leased) * MICROTOKENS_PER_TOKEN
        )

    def _refill(self, now_us: int) -> None:
        elapsed_us = now_us - self._updated_us
        self._updated_us = now_us
        self._expire_leases(now_us)
        earned = elapsed_us * self.limit.rate_per_s
        max_level = max(self._level, self._capacity())
        self._level = min(max_level, self._level + earned)

    def _expire_leases(self, now_us: int) -> None:
        while self._leases:
            lease_id = next(iter(self._leases))
            if self._leases[lease_id].expires_us > now_us:
                return
            self._leases.pop(lease_id)
