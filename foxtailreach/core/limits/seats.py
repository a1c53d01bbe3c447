"""Seats: where the parts of a customer's limit are held.

Customers hash into groups; each group has a fixed number of seats. A seat
owns an integer part of the rate and burst of every customer in its group,
and the log's order decides which host holds it.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from foxtailreach.config.objects import Limit
from foxtailreach.core.ranking import rank_candidates

GROUPS = 16
SEATS = 3


def group_of(customer: str) -> int:
    """Return the group of a customer."""
    return int(xxhash.xxh64_intdigest(customer.encode())) % GROUPS


def seat_key(group: int, seat: int) -> str:
    """Return the name of a seat in the log."""
    return f'{group}/{seat}'


def all_seats() -> list[str]:
    """List every seat."""
    return [
        seat_key(group, seat)
        for group in range(GROUPS)
        for seat in range(SEATS)
    ]


def domain_of_seat(seat: str, domains: Iterable[str]) -> str | None:
    """Return the failure domain in which a seat should be held."""
    group, _, index = seat.partition('/')
    ranked = rank_candidates(domains, group)
    if not ranked:
        return None
    return ranked[int(index) % len(ranked)]


def part_of_limit(limit: Limit, seat: int) -> Limit | None:
    """Return the integer part of a limit that belongs to a seat.

    The parts of all seats add up to the limit. None means that nothing is
    left for this seat.
    """
    rate = _part(limit.rate_per_s, seat)
    burst = _part(limit.burst_requests, seat)
    if not rate or not burst:
        return None
    return Limit(rate_per_s=rate, burst_requests=burst)


def _part(total: int, seat: int) -> int:
    return total // SEATS + (seat < total % SEATS)
