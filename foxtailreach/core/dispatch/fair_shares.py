"""Shares of a service's slots between customers of the same rank.

Load pattern: one customer sends at several times its usual rate while the
service is short of slots. Among requests of the same rank, the customer with
the lowest recent use of slots is served first, so that such a customer delays
itself and not the others.

Use is slot time that decays exponentially. It is stored relative to a weight
that grows with time instead of being decayed, so that the order of customers
changes only when one of them gets or releases a slot.
"""

from __future__ import annotations

import heapq
import math
from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import islice

from foxtailreach.core.dispatch.waiter import Waiter
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

# Use falls to 1/e in this time: long enough to cover the longest objective of
# the deployments, and below 2% of its value after `FORGET_AFTER_US`.
DECAY_US = 2500 * MILLISECOND_US
# A customer without a queued or running request is forgotten after this time.
FORGET_AFTER_US = 10 * SECOND_US
# The stored values are scaled back before the weight overflows a float.
MAX_DECAY_TIMES = 200
# Bounds the weight if a process was paused for long before it scales them back.
MAX_EXPONENT = 400
# Entries of a heap that may be outdated before it is rebuilt.
SPARE_ENTRIES = 64
# Requests that one call checks against their deadline and keeps, and those that
# it checks in all: a check takes up to 0.1 ms.
MAX_KEPT = 16
MAX_CHECKED = 128
# The work ahead of a request is estimated from about this many customers.
SAMPLED_CUSTOMERS = 64

Holder = tuple[str, int]
# Use, time of arrival and sequence number of a customer's first request.
Entry = tuple[float, int, int, str]


@dataclass(slots=True)
class _Use:
    weighted_us: float = 0
    running: int = 0
    changed_us: int = 0


@dataclass(slots=True, frozen=True)
class _Running:
    customer: str
    work_us: int
    started_us: int


class FairShares:
    """The recent use of a service's slots by each customer."""

    __slots__ = ('_origin_us', '_running', '_total', '_uses')

    def __init__(self, now_us: int) -> None:
        """Create shares without any use."""
        self._origin_us = now_us
        self._total = 0.0
        self._running: dict[Holder, _Running] = {}
        # The customers whose use has not changed for longest come first.
        self._uses: dict[str, _Use] = {}

    def __len__(self) -> int:
        """Count the customers with a known use."""
        return len(self._uses)

    def start(
        self, holder: Holder, customer: str, work_us: int, now_us: int
    ) -> None:
        """Charge a customer with the expected work of a granted request."""
        self._running[holder] = _Running(customer, work_us, now_us)
        use = self._charge(customer, work_us, now_us)
        use.running += 1

    def finish(self, holder: Holder, now_us: int) -> str | None:
        """Correct a charge to the time for which the slot was held.

        Return the customer, or None if the holder has no slot.
        """
        known = self._running.pop(holder, None)
        if known is None:
            return None
        held_us = now_us - known.started_us
        use = self._charge(known.customer, held_us - known.work_us, now_us)
        use.running -= 1
        return known.customer

    def weighted_us(self, customer: str) -> float:
        """Return a value by which the use of customers can be compared."""
        use = self._uses.get(customer)
        return 0 if use is None else use.weighted_us

    def weight(self, now_us: int) -> float:
        """Return what one microsecond of use counts now."""
        exponent = (now_us - self._origin_us) / DECAY_US
        return math.exp(min(MAX_EXPONENT, exponent))

    def share(self, customer: str) -> float:
        """Return a customer's share of the recent use of all customers."""
        if self._total <= 0:
            return 0
        return min(1, self.weighted_us(customer) / self._total)

    def forget(self, now_us: int, *, keep: Callable[[str], bool]) -> None:
        """Drop customers without recent use; `keep` tells which have queued."""
        old = []
        for customer, use in self._uses.items():
            if now_us - use.changed_us < FORGET_AFTER_US:
                break
            if not use.running and not keep(customer):
                old.append(customer)
        for customer in old:
            self._total -= self._uses.pop(customer).weighted_us

    def rescale(self, now_us: int) -> bool:
        """Scale the stored values back; return whether they changed."""
        if now_us - self._origin_us < MAX_DECAY_TIMES * DECAY_US:
            return False
        factor = 1 / self.weight(now_us)
        for use in self._uses.values():
            use.weighted_us *= factor
        self._total = sum(use.weighted_us for use in self._uses.values())
        self._origin_us = now_us
        return True

    def _charge(self, customer: str, work_us: int, now_us: int) -> _Use:
        use = self._uses.pop(customer, None) or _Use()
        self._uses[customer] = use
        change = max(work_us * self.weight(now_us), -use.weighted_us)
        use.weighted_us += change
        self._total += change
        use.changed_us = now_us
        return use


@dataclass(slots=True)
class _Line:
    """The queued requests of one customer, the oldest first.

    `first` and `last` are the valid entries of the line in the heaps.
    """

    waiters: list[tuple[int, int, Waiter]] = field(default_factory=list)
    work_us: int = 0
    first: Entry | None = None
    last: tuple[float, int, str] | None = None


class RankQueue:
    """The queued requests of one rank, ordered by use of their customers."""

    __slots__ = (
        '_first',
        '_last',
        '_lines',
        '_sequences',
        '_shares',
        '_urgent',
        'work_us',
    )

    def __init__(self, shares: FairShares) -> None:
        """Create an empty queue."""
        self.work_us = 0
        self._sequences: set[int] = set()
        # Heap of the requests by their last start.
        self._urgent: list[tuple[int, int, Waiter]] = []
        self._shares = shares
        self._lines: dict[str, _Line] = {}
        # Heaps of the customer that is served first, and of the last one.
        self._first: list[Entry] = []
        self._last: list[tuple[float, int, str]] = []

    def __bool__(self) -> bool:
        """Tell whether a request is queued."""
        return bool(self._lines)

    def __contains__(self, customer: str) -> bool:
        """Tell whether a request of a customer is queued."""
        return customer in self._lines

    def add(self, waiter: Waiter, now_us: int) -> None:
        """Queue a request behind the older ones of its customer."""
        customer = waiter.slot_request.customer
        line = self._lines.setdefault(customer, _Line())
        insort(line.waiters, waiter.age_entry)
        line.work_us += waiter.work_us
        self.work_us += waiter.work_us
        self._sequences.add(waiter.sequence)
        urgent = (waiter.last_start_us, waiter.sequence, waiter)
        heapq.heappush(self._urgent, urgent)
        self.refresh(customer, now_us)

    def remove(self, waiter: Waiter, now_us: int) -> None:
        """Remove a queued request."""
        customer = waiter.slot_request.customer
        line = self._lines[customer]
        line.waiters.pop(bisect_left(line.waiters, waiter.age_entry))
        line.work_us -= waiter.work_us
        self.work_us -= waiter.work_us
        self._sequences.discard(waiter.sequence)
        if line.waiters:
            self.refresh(customer, now_us)
        else:
            self._lines.pop(customer)

    def refresh(self, customer: str, now_us: int) -> None:
        """Order a customer anew, as its use or its requests changed."""
        line = self._lines.get(customer)
        if line is None:
            return
        first = self._entry(customer, line.waiters[0])
        if first != line.first:
            line.first = first
            heapq.heappush(self._first, first)
        final_use = first[0] + line.work_us * self._shares.weight(now_us)
        line.last = (-final_use, -line.waiters[-1][1], customer)
        heapq.heappush(self._last, line.last)
        self._compact()

    def rebuild(self, now_us: int) -> None:
        """Order all customers anew."""
        self._first.clear()
        self._last.clear()
        for customer, line in self._lines.items():
            line.first = None
            self.refresh(customer, now_us)

    def in_order(self) -> Iterator[Waiter]:
        """Iterate over the requests in the order in which they are served.

        The request that was returned last may be removed, and its customer
        charged, before the next one is requested.
        """
        heap = self._first.copy()
        # Next entry and position of the customers whose first request was
        # returned.
        visited: dict[str, tuple[Entry, int]] = {}
        while heap:
            entry = heapq.heappop(heap)
            line = self._lines.get(entry[3])
            if line is None:
                continue
            valid, index = visited.get(entry[3], (line.first, 0))
            if valid is not entry:
                continue
            age_entry = line.waiters[index]
            yield age_entry[2]
            if age_entry in line.waiters[index : index + 1]:
                index += 1
            if index < len(line.waiters):
                following = self._entry(entry[3], line.waiters[index])
                visited[entry[3]] = (following, index)
                heapq.heappush(heap, following)

    def urgent(self, until_us: int) -> Iterator[Waiter]:
        """Iterate over the requests whose last start is before `until_us`.

        They may be removed meanwhile. After `MAX_CHECKED`, or `MAX_KEPT` that
        are not removed, the others have to wait for the next call.
        """
        kept: list[tuple[int, int, Waiter]] = []
        checked = 0
        while self._urgent and len(kept) < MAX_KEPT and checked < MAX_CHECKED:
            entry = self._urgent[0]
            is_queued = entry[1] in self._sequences
            if is_queued and entry[0] >= until_us:
                break
            heapq.heappop(self._urgent)
            if is_queued:
                checked += 1
                yield entry[2]
            if entry[1] in self._sequences:
                kept.append(entry)
        for entry in kept:
            heapq.heappush(self._urgent, entry)

    def last(self) -> Waiter:
        """Return the request that would be served last."""
        while True:
            entry = self._last[0]
            line = self._lines.get(entry[2])
            if line is not None and line.last is entry:
                return line.waiters[-1][2]
            heapq.heappop(self._last)

    def own_work_us(self, customer: str, waiter: Waiter | None = None) -> int:
        """Return the work of a customer before a request, or all of it."""
        line = self._lines.get(customer)
        if line is None:
            return 0
        if waiter is None:
            return line.work_us
        index = bisect_left(line.waiters, waiter.age_entry)
        return line.work_us * index // len(line.waiters)

    def work_before_us(self, customer: str, own_us: int, now_us: int) -> int:
        """Return the work that is served before a request of a customer.

        `own_us` is the work of this customer before it. Each other customer is
        served until its use reaches what this customer will have used then.
        """
        weight = self._shares.weight(now_us)
        reached = self._shares.weighted_us(customer) / weight + own_us
        step = 1 + len(self._lines) // SAMPLED_CUSTOMERS
        others_us = 0.0
        for other, line in islice(self._lines.items(), 0, None, step):
            if other != customer:
                use_us = self._shares.weighted_us(other) / weight
                others_us += min(line.work_us, max(0, reached - use_us))
        return own_us + int(others_us * step)

    def _entry(
        self, customer: str, age_entry: tuple[int, int, Waiter]
    ) -> Entry:
        use = self._shares.weighted_us(customer)
        return use, age_entry[0], age_entry[1], customer

    def _compact(self) -> None:
        """Drop outdated entries once they are the larger part of a heap."""
        limit = 2 * len(self._lines) + SPARE_ENTRIES
        if len(self._first) > limit:
            self._first = [
                line.first for line in self._lines.values() if line.first
            ]
            heapq.heapify(self._first)
        if len(self._last) > limit:
            self._last = [
                line.last for line in self._lines.values() if line.last
            ]
            heapq.heapify(self._last)
        if len(self._urgent) > 2 * len(self._sequences) + SPARE_ENTRIES:
            self._urgent = [
                entry for entry in self._urgent if entry[1] in self._sequences
            ]
            heapq.heapify(self._urgent)
