"""What a broker tells about the placement of a request that is not sent."""

from __future__ import annotations

import enum
from dataclasses import dataclass

# A report is to fit into a message of 1,200 bytes between failure domains.
MAX_CANDIDATES = 12


class Decision(enum.StrEnum):
    """What the request would get.

    `BUSY`: the broker has just explained another placement. `TOO_LARGE`: its
    state is too large to be copied. `UNANSWERED`: no broker of the pool has
    answered.
    """

    GRANTED = 'granted'
    QUEUED = 'queued'
    REFERRED = 'referred'
    REFUSED = 'refused'
    BUSY = 'busy'
    TOO_LARGE = 'too-large'
    UNANSWERED = 'unanswered'


class CandidateFlag(enum.IntFlag):
    """Properties of a target that speak for or against it.

    `UNUSABLE`: it gets no request now, whatever the cause. `LATE`: the request
    would probably miss its objective there.
    """

    NONE = 0
    CHOSEN = 1
    CONNECTED = 2
    EXCLUDED = 4
    DRAINING = 8
    LEAVING = 16
    EVACUATED = 32
    WARMING_UP = 64
    UNUSABLE = 128
    LATE = 256


@dataclass(slots=True, frozen=True)
class Candidate:
    """A target as the broker sees it; ages are -1 if there was none.

    `status` is a value of `TargetStatus`. `cost_ms` is what placement compares
    among targets of equal status, `finish_ms` counts from the grant of a slot.
    """

    target_id: str
    domain: str
    status: int
    flags: CandidateFlag
    served_age_ms: int
    failed_age_ms: int
    slots: int
    granted: int
    remaining_ms: int
    finish_ms: int
    cost_ms: int
    pause_left_ms: int


@dataclass(slots=True, frozen=True)
class RestCounts:
    """Number of the targets that a report does not list, by status.

    `unusable` of them get no request now.
    """

    proven: int
    unproven: int
    ejected: int
    unusable: int


@dataclass(slots=True, frozen=True)
class PlacementReport:
    """Answers a `PlacementQuery`.

    `target_id` is set if the decision is `GRANTED`, with the `rule` by which
    it was chosen; `domain` and `is_final` if it is `REFERRED`; `cause` and
    `retry_after_us` if it is `REFUSED`. `wait_us` is the expected wait in the
    queue, before `work_us` of expected service time. `room` is the number of
    slots that the queue counts on. The last fields are the inputs of the
    broker's host, see `StateNotice`; ages are -1 if not known.
    """

    ask_id: int
    service_name: str
    decision: Decision
    target_id: str = ''
    rule: str = ''
    domain: str = ''
    is_final: bool = False
    cause: str = ''
    retry_after_us: int = 0
    wait_us: int = 0
    work_us: int = 0
    queued: int = 0
    queued_work_us: int = 0
    room: int = 0
    candidates: tuple[Candidate, ...] = ()
    rest: RestCounts = RestCounts(0, 0, 0, 0)
    config_version: int = -1
    config_age_us: int = -1
    targets_version: int = -1
    state_age_us: int = -1
