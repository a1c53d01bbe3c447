"""Admissions of one customer within the window of its limit."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import xxhash

from foxtailreach.core.units import MILLISECOND_US

# Resolution of the count of admissions in a period.
SLICE_US = 100 * MILLISECOND_US
_KEY_BITS = 63


@dataclass(slots=True, frozen=True)
class Period:
    """A time span from `start_us` to `end_us`."""

    start_us: int
    end_us: int

    @property
    def length_us(self) -> int:
        """Return how long the period lasts; 0 if it ends before it starts."""
        return max(0, self.end_us - self.start_us)

    def clip(self, other: Period) -> Period:
        """Return the part of the period that lies in another one."""
        return Period(
            max(self.start_us, other.start_us),
            min(self.end_us, other.end_us),
        )

    def without(self, other: Period) -> tuple[Period, ...]:
        """Return the parts of the period that lie outside of another one."""
        if not self.clip(other).length_us:
            return (self,)
        parts = (
            Period(self.start_us, other.start_us),
            Period(other.end_us, self.end_us),
        )
        return tuple(part for part in parts if part.length_us)


@dataclass(slots=True, frozen=True)
class Admitted:
    """One admission; `is_retry` marks a further send of the same request.

    `is_copied` tells that another host admitted it.
    """

    at_us: int
    is_retry: bool = False
    is_surplus: bool = False
    is_copied: bool = False


Periods = tuple[Period, ...]


def merge_period(periods: Periods, added: Period) -> Periods:
    """Add a period to others, so that none overlap."""
    apart = tuple(part for known in periods for part in known.without(added))
    return (*apart, added)


def subtract_periods(periods: Iterable[Period], removed: Periods) -> Periods:
    """Return the parts of periods that lie outside of all removed ones."""
    parts = tuple(periods)
    for other in removed:
        parts = tuple(rest for part in parts for rest in part.without(other))
    return tuple(part for part in parts if part.length_us)


def _ending_after(periods: Periods, horizon_us: int) -> Periods:
    return tuple(period for period in periods if period.end_us > horizon_us)


def admission_key(host_id: str, ask_id: int) -> int:
    """Identify an admission at all hosts that may meter its customer.

    The value has 63 bits, so that it is positive as a signed integer.
    """
    digest = xxhash.xxh64_intdigest(f'{host_id}/{ask_id}'.encode())
    return int(digest) >> (64 - _KEY_BITS)


class Meter:
    """Admissions by key.

    `covered` are periods whose admissions another host has copied to this one,
    `reconciled` those for which a host that was out of reach has.
    `paced_until_us` and `refused_us` limit the pace of a customer that sends
    more than its limit; see `CustomerMeters`.
    """

    __slots__ = (
        '_admitted',
        '_expiries',
        '_retries',
        '_slices',
        'covered',
        'paced_until_us',
        'reconciled',
        'refused_us',
    )

    def __init__(self) -> None:
        """Create a meter without admissions."""
        self._admitted: dict[int, Admitted] = {}
        self._expiries: list[tuple[int, int]] = []
        self._retries = 0
        self._slices: Counter[int] = Counter()
        self.covered: Periods = ()
        self.reconciled: Periods = ()
        self.paced_until_us = 0
        self.refused_us: int | None = None

    def __len__(self) -> int:
        """Count the admissions, retries included."""
        return len(self._admitted)

    @property
    def first_sends(self) -> int:
        """Count the admissions of requests, without their retries."""
        return len(self._admitted) - self._retries

    def find(self, key: int) -> Admitted | None:
        """Return an admission, or None."""
        return self._admitted.get(key)

    def add(self, key: int, admitted: Admitted) -> None:
        """Add an admission; of the same key, the later one is kept."""
        known = self._admitted.get(key)
        if known is not None:
            if known.at_us >= admitted.at_us:
                return
            self.remove(key)
        self._admitted[key] = admitted
        self._retries += admitted.is_retry
        if admitted.is_copied:
            self._slices[admitted.at_us // SLICE_US] += 1
        heapq.heappush(self._expiries, (admitted.at_us, key))

    def remove(self, key: int) -> bool:
        """Remove an admission; return False if there is none."""
        removed = self._admitted.pop(key, None)
        if removed is None:
            return False
        self._retries -= removed.is_retry
        if removed.is_copied:
            index = removed.at_us // SLICE_US
            self._slices[index] -= 1
            if not self._slices[index]:
                self._slices.pop(index)
        return True

    def expire(self, horizon_us: int) -> None:
        """Drop the admissions up to a time, and what was copied before it."""
        if self.covered:
            self.covered = _ending_after(self.covered, horizon_us)
        if self.reconciled:
            self.reconciled = _ending_after(self.reconciled, horizon_us)
        while self._expiries and self._expiries[0][0] <= horizon_us:
            at_us, key = heapq.heappop(self._expiries)
            admitted = self._admitted.get(key)
            if admitted is not None and admitted.at_us == at_us:
                self.remove(key)

    def count_copied(self, period: Period) -> int:
        """Count the copied admissions in a period, to the nearest slice."""
        first = round(period.start_us / SLICE_US)
        last = round(period.end_us / SLICE_US)
        return sum(
            count
            for index, count in self._slices.items()
            if first <= index < last
        )

    def oldest_us(self) -> int | None:
        """Return the time of the oldest admission, or None."""
        while self._expiries:
            at_us, key = self._expiries[0]
            admitted = self._admitted.get(key)
            if admitted is not None and admitted.at_us == at_us:
                return at_us
            heapq.heappop(self._expiries)
        return None

    def entries(self) -> Iterator[tuple[int, Admitted]]:
        """Iterate over keys and admissions."""
        return iter(self._admitted.items())
