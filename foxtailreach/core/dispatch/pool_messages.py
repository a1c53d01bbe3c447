"""Messages about pools, and which of them may serve a request."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from foxtailreach.core.crashes import CrashTracker

# Bounds the size of a message.
MAX_REPORTED_CRASHES = 16


class SlotScope(enum.StrEnum):
    """Which pools may serve a request for a slot.

    After `OWN` the pool of the caller's domain may refer it to another one,
    which serves it only from slots to spare (`OVERFLOW`). `FINAL` is not
    referred any more.
    """

    OWN = 'own'
    OVERFLOW = 'overflow'
    FINAL = 'final'


@dataclass(slots=True, frozen=True)
class SlotReferral:
    """Refers a request for a slot to the pool of another failure domain.

    `is_final` if the own domain has no target that could serve it later.
    """

    ask_id: int
    domain: str
    is_final: bool = False


@dataclass(slots=True, frozen=True)
class CrashedTargets:
    """The targets that the request with a fingerprint has crashed."""

    fingerprint: int
    target_ids: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class PoolStatus:
    """Tells the brokers of a service's other pools of slots to spare.

    `crashes` replace those of the last status of the pool.
    """

    service_name: str
    spare_slots: int
    crashes: tuple[CrashedTargets, ...] = ()


def newest_crashes(tracker: CrashTracker) -> tuple[CrashedTargets, ...]:
    """Describe the newest crashes that a tracker knows of."""
    crashed = list(tracker.crashed_targets().items())
    return tuple(
        CrashedTargets(fingerprint, tuple(sorted(target_ids)))
        for fingerprint, target_ids in crashed[-MAX_REPORTED_CRASHES:]
    )
