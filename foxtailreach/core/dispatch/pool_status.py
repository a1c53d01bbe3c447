"""What the broker of a pool tells those of the service's other pools."""

from __future__ import annotations

import math

from foxtailreach.core.dispatch.broker import Broker
from foxtailreach.core.dispatch.pool_messages import (
    PoolStatus,
    newest_crashes,
)
from foxtailreach.core.dispatch.pools import Pool
from foxtailreach.core.dispatch.target_record import TargetStatus

# A pool keeps this share of its slots for the requests of its own domain.
RESERVED_SHARE = 0.1


def create_status(pool: Pool, broker: Broker, now_us: int) -> PoolStatus:
    """Describe a pool for the brokers of the other ones."""
    crashes = newest_crashes(broker.crashes)
    return PoolStatus(pool.name, _spare_slots(broker, now_us), crashes)


def crashes_by_fingerprint(status: PoolStatus) -> dict[int, frozenset[str]]:
    """Return the crashed targets of a status by fingerprint."""
    return {
        one.fingerprint: frozenset(one.target_ids) for one in status.crashes
    }


def _spare_slots(broker: Broker, now_us: int) -> int:
    """Count the free slots of targets with fresh evidence, less a reserve.

    There are none while requests wait.
    """
    if broker.queue_length:
        return 0
    free = 0
    total = 0
    for record in broker.records.values():
        total += record.spec.slots
        status = record.status(now_us, broker.service_time_us)
        if status is TargetStatus.PROVEN and record.has_free_slot(now_us):
            free += record.spec.slots - len(record.granted)
    return max(0, free - math.ceil(RESERVED_SHARE * total))


def has_untried_room(broker: Broker, now_us: int) -> bool:
    """Tell whether a pool has free slots, and evidence on no target."""
    service_us = broker.service_time_us
    records = broker.records.values()
    is_untried = all(
        record.status(now_us, service_us) is TargetStatus.UNPROVEN
        for record in records
    )
    return is_untried and any(
        record.has_free_slot(now_us) for record in records
    )
