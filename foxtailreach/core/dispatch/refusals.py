"""Builds the refusals of one broker, and counts them by cause."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.messages import RefusalCause
from foxtailreach.core.dispatch.return_times import (
    MAX_RETRY_AFTER_US,
    MIN_RETRY_AFTER_US,
    ReturnRequest,
    ReturnSchedule,
)
from foxtailreach.core.dispatch.target_record import TargetRecord, TargetStatus
from foxtailreach.core.dispatch.wait_queue import WaitQueue
from foxtailreach.core.dispatch.waiter import Waiter

# Jitter: adds up to half of the retry delay.
RETRY_SPREAD = 0.5


@dataclass(slots=True, frozen=True)
class OverloadInputs:
    """What a refusal for lack of capacity was decided by.

    `wait_us` is the expected wait until a start, `drain_us` that without new
    requests, `work_us` the expected service time, `room` the number of slots
    to count on, `room_left` those not needed for new work of better ranks,
    `share` that of the customer in the recent use of slots.
    """

    customer: str
    priority: int
    time_left_us: int
    wait_us: int
    drain_us: int
    work_us: int
    queued_work_us: int
    room: int
    room_left: float
    share: float

    @classmethod
    def from_queue(
        cls, queue: WaitQueue, waiter: Waiter, room: int, now_us: int
    ) -> OverloadInputs:
        """Estimate what a request that is or was not queued would wait for."""
        slot_request = waiter.slot_request
        slots = max(1, room)
        return cls(
            customer=slot_request.customer,
            priority=slot_request.priority,
            time_left_us=waiter.last_start_us + waiter.work_us - now_us,
            wait_us=queue.wait_us(waiter, slots, now_us),
            drain_us=queue.drain_us(waiter, slots, now_us),
            work_us=waiter.work_us,
            queued_work_us=queue.work_us,
            room=room,
            room_left=queue.room_left(waiter, room, now_us),
            share=queue.shares.share(slot_request.customer),
        )


class Refusals:
    """Refuses requests of one service.

    `counts` are the refusals by cause; `last_overload` has the inputs of the
    newest refusal for lack of capacity.
    """

    __slots__ = ('_rng', '_schedule', 'counts', 'last_overload')

    def __init__(self, rng: random.Random) -> None:
        """Create the counts; `rng` draws the jitter of retries."""
        self._rng = rng
        self._schedule = ReturnSchedule(rng)
        self.counts: Counter[RefusalCause] = Counter()
        self.last_overload: OverloadInputs | None = None

    def describe_new(self) -> str:
        """Describe the newest refusal for lack of capacity, once.

        Return '' if there is none since the last call.
        """
        inputs = self.last_overload
        self.last_overload = None
        if inputs is None:
            return ''
        return (
            f'short of slots: {self.counts[RefusalCause.OVERLOAD]} refused, '
            f'the last of priority {inputs.priority} and customer '
            f'{inputs.customer!r}: {inputs.work_us} us of service time after '
            f'{inputs.wait_us} us, {inputs.time_left_us} us left, '
            f'{inputs.queued_work_us} us of work waiting, '
            f'{inputs.drain_us} us to drain what is ahead by {inputs.room} '
            f'slots, customer uses {inputs.share:.3f} of them'
        )

    def refuse(
        self,
        host_id: str,
        request: messages.SlotRequest,
        cause: RefusalCause,
        wait_us: int = MIN_RETRY_AFTER_US,
    ) -> messages.SendHost:
        """Refuse a request; its caller should retry after about `wait_us`."""
        longest_us = int(MAX_RETRY_AFTER_US / (1 + RETRY_SPREAD))
        base_us = min(longest_us, max(MIN_RETRY_AFTER_US, wait_us))
        retry_after_us = int(base_us * (1 + RETRY_SPREAD * self._rng.random()))
        return self._send(host_id, request, cause, retry_after_us)

    def refuse_overload(
        self,
        host_id: str,
        request: messages.SlotRequest,
        inputs: OverloadInputs,
        now_us: int,
    ) -> messages.SendHost:
        """Refuse a request for lack of capacity."""
        self.last_overload = inputs
        retry_after_us = self._schedule.place(
            ReturnRequest(
                rank=(request.is_surplus, request.priority),
                work_us=inputs.work_us,
                wait_us=inputs.drain_us,
                time_left_us=inputs.time_left_us,
                room=inputs.room,
                room_left=inputs.room_left,
            ),
            now_us,
        )
        return self._send(
            host_id, request, RefusalCause.OVERLOAD, retry_after_us
        )

    def refuse_paused(
        self, host_id: str, request: messages.SlotRequest, pause_us: int
    ) -> messages.SendHost:
        """Refuse a request as all targets pause for `pause_us`."""
        retry_after_us = spread_after_pause_us(pause_us, self._rng)
        return self._send(host_id, request, RefusalCause.PAUSED, retry_after_us)

    def _send(
        self,
        host_id: str,
        request: messages.SlotRequest,
        cause: RefusalCause,
        retry_after_us: int,
    ) -> messages.SendHost:
        self.counts[cause] += 1
        refusal = messages.SlotRefused(request.ask_id, cause, retry_after_us)
        return messages.SendHost(host_id, refusal)


def spread_after_pause_us(pause_us: int, rng: random.Random) -> int:
    """Return the delay after which a caller should retry after a pause.

    Callers return one after the other from the end of the pause on.
    """
    spread_us = min(MAX_RETRY_AFTER_US, int(RETRY_SPREAD * pause_us))
    return pause_us + int(rng.random() * max(MIN_RETRY_AFTER_US, spread_us))


def accept_requests(records: Iterable[TargetRecord], now_us: int) -> bool:
    """Tell whether there is a target that accepts requests now."""
    return any(
        record.spec.slots
        and record.accepts_work
        and not record.is_paused(now_us)
        for record in records
    )


def has_free_slot(records: Iterable[TargetRecord], now_us: int) -> bool:
    """Tell whether a target may get one more request now."""
    return any(record.has_free_slot(now_us) for record in records)


def pause_left_us(records: Iterable[TargetRecord], now_us: int) -> int:
    """Return the time until the first target ends its pause.

    0 if there is a target that does not pause, or none at all.
    """
    return min(
        (
            max(0, record.paused_until_us - now_us)
            for record in records
            if record.accepts_work
        ),
        default=0,
    )


def count_room(
    records: Iterable[TargetRecord],
    service_us: int,
    now_us: int,
    *,
    is_sole: bool = True,
) -> int:
    """Count the slots that waiting requests can rely on.

    Load pattern: 30% of the targets fail most of their requests, and placement
    uses those as a last resort. Their slots count only if there are no others.
    """
    room = 0
    last_resort = 0
    for record in records:
        if not record.accepts_work or record.is_paused(now_us):
            continue
        slots = record.spec.slots
        if record.is_warming_up(now_us):
            slots = max(1, slots // 2) if is_sole else 0
        if record.status(now_us, service_us) is TargetStatus.EJECTED:
            last_resort += slots
        else:
            room += slots
    return room or last_resort
