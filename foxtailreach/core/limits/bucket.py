"""Integer token bucket that accounts for tokens lent to entry hosts."""

from __future__ import annotations

import math
from dataclasses import dataclass

from foxtailreach.config.objects import Limit
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

TOKEN = SECOND_US
LOAN_VALID_US = 200 * MILLISECOND_US


@dataclass(slots=True)
class Loan:
    """Tokens granted to a host that it may not have spent yet."""

    count: int
    expires_us: int


class LeasingBucket:
    """Token bucket in millionths of a token.

    Lent tokens count against the capacity until they have expired, so that
    the tokens in hand never exceed the burst, whoever holds them.
    """

    __slots__ = ('_level', '_loans', '_updated_us', 'limit')

    def __init__(self, limit: Limit, tokens: int, now_us: int) -> None:
        """Start with a number of whole tokens."""
        self.limit = limit
        self._level = tokens * TOKEN
        self._updated_us = now_us
        self._loans: dict[tuple[str, int], Loan] = {}

    def change_limit(self, limit: Limit, now_us: int) -> None:
        """Adopt a new limit; tokens above the new burst are dropped."""
        self._refill(now_us)
        self.limit = limit
        self._level = min(self._level, self._capacity())

    def grant_lease(
        self, borrower: str, sequence: int, want: int, now_us: int
    ) -> int:
        """Grant up to `want` tokens; a repeated sequence gets none."""
        self._refill(now_us)
        loan_id = (borrower, sequence)
        if loan_id in self._loans:
            return 0
        granted = min(want, self._level // TOKEN)
        if granted:
            self._level -= granted * TOKEN
            expires_us = now_us + LOAN_VALID_US
            self._loans[loan_id] = Loan(granted, expires_us)
        return granted

    def take_back(
        self,
        borrower: str,
        sequence: int,
        count: int,
        now_us: int,
    ) -> None:
        """Credit tokens that a borrower did not spend."""
        self._refill(now_us)
        loan = self._loans.pop((borrower, sequence), None)
        if loan is not None:
            returned = min(count, loan.count)
            self._level = min(
                self._capacity(),
                self._level + returned * TOKEN,
            )

    def retry_after_us(self, now_us: int) -> int:
        """Return the time until the next whole token."""
        self._refill(now_us)
        missing = max(0, TOKEN - self._level)
        return math.ceil(missing / self.limit.rate_per_s)

    def _capacity(self) -> int:
        lent = sum(loan.count for loan in self._loans.values())
        return max(0, self.limit.burst_requests - lent) * TOKEN

    def _refill(self, now_us: int) -> None:
        elapsed_us = now_us - self._updated_us
        self._updated_us = now_us
        self._expire_loans(now_us)
        earned = elapsed_us * self.limit.rate_per_s
        room = max(self._level, self._capacity())
        self._level = min(room, self._level + earned)

    def _expire_loans(self, now_us: int) -> None:
        while self._loans:
            loan_id = next(iter(self._loans))
            if self._loans[loan_id].expires_us > now_us:
                return
            self._loans.pop(loan_id)
