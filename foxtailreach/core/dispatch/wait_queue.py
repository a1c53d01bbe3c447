"""Queue of the requests that wait for a slot.

Load pattern: more requests than slots, because of a burst or lost targets.
Requests that can still meet their latency objective are served before late
ones, so that an overload does not make every answer late. A request that
cannot finish before its deadline is refused as soon as the work ahead of it
shows that. Requests in surplus of a customer's limit are served last, and
customers of the same rank by their recent use of slots.

The order is kept per rank and customer, as it is needed at each event of a
broker: a step costs logarithmic time in the number of customers.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from foxtailreach.core.dispatch.admission_margin import (
    AdmissionMargins,
    MarginKey,
)
from foxtailreach.core.dispatch.fair_shares import (
    SPARE_ENTRIES,
    FairShares,
    Holder,
    RankQueue,
)
from foxtailreach.core.dispatch.inflow import Inflow
from foxtailreach.core.dispatch.messages import SlotRequest
from foxtailreach.core.dispatch.waiter import Rank, Waiter

# Bounds the memory of a broker: about 2 kB a request.
MAX_WAITERS = 4096


class WaitQueue:
    """The queued requests of one service, by host id and `ask_id`.

    `room` is the number of slots that the requests can count on.
    """

    __slots__ = (
        '_inflow',
        '_late_heap',
        '_margins',
        '_ranks',
        '_retries',
        '_sequence',
        '_started',
        '_waiters',
        'shares',
        'work_us',
    )

    def __init__(self, now_us: int) -> None:
        """Create an empty queue."""
        self.shares = FairShares(now_us)
        self.work_us = 0
        self._inflow = Inflow(now_us)
        # The work that got slots after a wait.
        self._started = Inflow(now_us)
        self._margins = AdmissionMargins()
        self._waiters: dict[Holder, Waiter] = {}
        self._ranks: dict[Rank, RankQueue] = {}
        self._retries = 0
        self._sequence = 0
        # Heap of the requests that are in time, by when they become late.
        self._late_heap: list[tuple[int, int, Waiter]] = []

    def __len__(self) -> int:
        """Count the queued requests."""
        return len(self._waiters)

    def __contains__(self, holder: Holder) -> bool:
        """Tell whether a request is queued."""
        return holder in self._waiters

    def prepare(
        self,
        host_id: str,
        domain: str,
        slot_request: SlotRequest,
        work_us: int,
        now_us: int,
    ) -> Waiter:
        """Describe a new request without queueing it."""
        self._sequence += 1
        waiter = Waiter(
            host_id=host_id,
            domain=domain,
            slot_request=slot_request,
            enqueued_us=now_us,
            sequence=self._sequence,
            work_us=max(1, work_us),
        )
        waiter.is_late = now_us > waiter.late_after_us
        return waiter

    def add(self, waiter: Waiter, now_us: int) -> None:
        """Queue a request."""
        self._waiters[_holder(waiter)] = waiter
        self._retries += waiter.slot_request.is_repeat
        self.work_us += waiter.work_us
        arrival_rank = (waiter.rank[0], waiter.rank[2])
        self._inflow.add(arrival_rank, waiter.work_us, now_us)
        if not waiter.is_late:
            late = (waiter.late_after_us, waiter.sequence, waiter)
            heapq.heappush(self._late_heap, late)
        self._insert(waiter, now_us)

    def remove(self, host_id: str, ask_id: int, now_us: int) -> bool:
        """Remove a request; return False if it is not queued."""
        waiter = self._waiters.pop((host_id, ask_id), None)
        if waiter is None:
            return False
        self._retries -= waiter.slot_request.is_repeat
        self.work_us -= waiter.work_us
        self._take_out(waiter, now_us)
        return True

    def start(self, waiter: Waiter, now_us: int) -> None:
        """Remove a request that got a slot, and charge its customer."""
        self._pop(waiter, now_us)
        if now_us > waiter.enqueued_us:
            self._margins.record_granted(_margin_key(waiter), now_us)
            rank = (waiter.rank[0], waiter.rank[2])
            self._started.add(rank, waiter.work_us, now_us)
        customer = waiter.slot_request.customer
        self.shares.start(_holder(waiter), customer, waiter.work_us, now_us)
        self._refresh(customer, now_us)

    def finish(self, holder: Holder, now_us: int) -> None:
        """Correct the charge of a request whose slot is released."""
        customer = self.shares.finish(holder, now_us)
        if customer is not None:
            self._refresh(customer, now_us)

    def count_retries(self) -> int:
        """Count the queued requests that are retries."""
        return self._retries

    def ordered(self, now_us: int) -> Iterator[Waiter]:
        """Iterate over the requests in the order in which they are served.

        The request that was returned last may be removed meanwhile.
        """
        self._move_late(now_us)
        for rank in sorted(self._ranks):
            yield from self._ranks[rank].in_order()

    def wait_us(self, waiter: Waiter, room: int, now_us: int) -> int:
        """Estimate how long a request waits from now on, queued or new.

        More work of better ranks is expected to arrive at its recent rate. A
        request whose turn comes too late for its objective waits behind all
        that are in time, whatever its priority. The queue may drain faster than
        by `room`, as when targets decline requests at once.
        """
        room = max(room, int(self._started.slots(now_us)))
        ahead_us = self._ahead_us(waiter, waiter.rank, now_us)
        left = self._room_left(waiter.rank, room, now_us)
        wait_us = int((ahead_us + waiter.work_us) / left)
        if not waiter.is_late and now_us + wait_us > waiter.late_after_us:
            late_rank = _late_rank(waiter)
            ahead_us = self._ahead_us(waiter, late_rank, now_us)
            if _holder(waiter) not in self._waiters:
                ahead_us += waiter.work_us
            left = self._room_left(late_rank, room, now_us)
            wait_us = max(wait_us, int(ahead_us / left))
        return wait_us

    def room_left(self, waiter: Waiter, room: int, now_us: int) -> float:
        """Return the slots that new work of better ranks leaves to a request.

        The request counts as one in time, as it may be when it returns.
        """
        is_surplus, _, priority = waiter.rank
        return self._room_left((is_surplus, False, priority), room, now_us)

    def drain_us(self, waiter: Waiter, room: int, now_us: int) -> int:
        """Return the time in which the present work ahead is served."""
        ahead_us = self._ahead_us(waiter, waiter.rank, now_us)
        return (ahead_us + waiter.work_us) // room

    def expected_wait_us(self, waiter: Waiter, room: int, now_us: int) -> int:
        """Estimate how long a new request waits, with a margin."""
        if not room or not self.work_us:
            return 0
        factor = self._margins.factor(_margin_key(waiter), now_us)
        return int(factor * self.wait_us(waiter, room, now_us))

    def is_hopeless(self, waiter: Waiter, room: int, now_us: int) -> bool:
        """Tell whether a request cannot be answered by its deadline."""
        if now_us > waiter.last_start_us:
            return True
        if not room or not self.work_us:
            return False
        wait_us = self.wait_us(waiter, room, now_us)
        return now_us + wait_us > waiter.last_start_us

    def pop_hopeless(self, room: int, now_us: int) -> list[Waiter]:
        """Remove and return requests that can no longer be served in time.

        Those of the last ranks first, as the others do not wait for them.
        Without any room, that is not known before their last start.
        """
        self._move_late(now_us)
        removed: list[Waiter] = []
        for rank in sorted(self._ranks, reverse=True):
            until_us = now_us
            if room:
                last = (rank[0], True, rank[2])
                left = self._room_left(last, room, now_us)
                until_us += int(self._work_until(last) / left) + 1
            for waiter in self._ranks[rank].urgent(until_us):
                if self.is_hopeless(waiter, room, now_us):
                    removed.append(waiter)
                    self._pop(waiter, now_us)
                    self._margins.record_refused(_margin_key(waiter), now_us)
        return removed

    def pop_excess(self, now_us: int) -> list[Waiter]:
        """Remove and return the requests beyond the bound, the last in rank."""
        removed: list[Waiter] = []
        while len(self._waiters) > MAX_WAITERS:
            removed.append(self._ranks[max(self._ranks)].last())
            self._pop(removed[-1], now_us)
        return removed

    def pop_all(self, now_us: int) -> list[Waiter]:
        """Remove and return all requests."""
        waiters = list(self._waiters.values())
        for waiter in waiters:
            self._pop(waiter, now_us)
        return waiters

    def tick(self, now_us: int) -> None:
        """Forget the use of customers that sent nothing for a while."""
        self.shares.forget(now_us, keep=self._has_queued)
        self._margins.forget(now_us)
        if self.shares.rescale(now_us):
            for ranked in self._ranks.values():
                ranked.rebuild(now_us)

    def _has_queued(self, customer: str) -> bool:
        return any(customer in ranked for ranked in self._ranks.values())

    def _pop(self, waiter: Waiter, now_us: int) -> None:
        self.remove(waiter.host_id, waiter.slot_request.ask_id, now_us)

    def _refresh(self, customer: str, now_us: int) -> None:
        for ranked in self._ranks.values():
            ranked.refresh(customer, now_us)

    def _insert(self, waiter: Waiter, now_us: int) -> None:
        ranked = self._ranks.get(waiter.rank)
        if ranked is None:
            ranked = RankQueue(self.shares)
            self._ranks[waiter.rank] = ranked
        ranked.add(waiter, now_us)

    def _take_out(self, waiter: Waiter, now_us: int) -> None:
        ranked = self._ranks[waiter.rank]
        ranked.remove(waiter, now_us)
        if not ranked:
            self._ranks.pop(waiter.rank)

    def _move_late(self, now_us: int) -> None:
        """Move the requests that have become late behind those in time."""
        heap = self._late_heap
        while heap and heap[0][0] < now_us:
            waiter = heapq.heappop(heap)[2]
            if self._waiters.get(_holder(waiter)) is waiter:
                self._take_out(waiter, now_us)
                waiter.is_late = True
                self._insert(waiter, now_us)
        if len(heap) > 2 * len(self._waiters) + SPARE_ENTRIES:
            self._late_heap = [
                entry
                for entry in heap
                if self._waiters.get(_holder(entry[2])) is entry[2]
            ]
            heapq.heapify(self._late_heap)

    def _room_left(self, rank: Rank, room: int, now_us: int) -> float:
        """Return the slots that new work of better ranks leaves to a rank.

        New requests are in time, so that they all go before late ones.
        """
        is_surplus, is_late, priority = rank
        before = (is_surplus + 1, 0) if is_late else (int(is_surplus), priority)
        return self._inflow.room_left(room, before, now_us)

    def _work_until(self, last: Rank) -> int:
        """Return the work of all ranks up to this one."""
        return sum(
            ranked.work_us
            for rank, ranked in self._ranks.items()
            if rank <= last
        )

    def _ahead_us(self, waiter: Waiter, rank: Rank, now_us: int) -> int:
        """Return the work that is served before a request at a rank."""
        ranked = self._ranks.get(rank)
        ahead_us = self._work_until(rank)
        if ranked is None:
            return ahead_us
        customer = waiter.slot_request.customer
        is_member = rank == waiter.rank and _holder(waiter) in self._waiters
        own_us = ranked.own_work_us(customer, waiter if is_member else None)
        before_us = ranked.work_before_us(customer, own_us, now_us)
        return ahead_us - ranked.work_us + before_us


def _holder(waiter: Waiter) -> Holder:
    return waiter.host_id, waiter.slot_request.ask_id


def _margin_key(waiter: Waiter) -> MarginKey:
    slot_request = waiter.slot_request
    customer = slot_request.customer
    return slot_request.is_surplus, slot_request.priority, customer


def _late_rank(waiter: Waiter) -> Rank:
    slot_request = waiter.slot_request
    return slot_request.is_surplus, True, slot_request.priority
