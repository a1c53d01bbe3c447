"""Chooses the target of one request among those with a free slot.

Load pattern: about a third of the targets are bad at any moment, in spells
of seconds, while requests that run at most once cannot be sent again. Work
therefore concentrates on the targets that answered well most recently, and
requests that may be repeated are the trials of all others. `cover.py` tells
which targets are used again because most of them must stay in use.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from foxtailreach.core.dispatch.cover import CoverDemand, neglected_targets
from foxtailreach.core.dispatch.deployment import RequestKind
from foxtailreach.core.dispatch.evidence import Standing, TargetRecord
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

# A new connection costs about as much worth as this much older evidence; a
# request that may be repeated risks less by it.
NEW_CONNECTION_US = 300 * MILLISECOND_US
NEW_CONNECTION_REPEATABLE_US = 4 * SECOND_US
# Small requests to another failure domain add about 3 ms and few bytes.
REMOTE_US = 100 * MILLISECOND_US
# Bytes between failure domains are dear: a download of 90 KB costs a third
# of its worth there.
REMOTE_DOWNLOAD_US = 30 * SECOND_US
# A request that cannot be repeated waits this long for a proven target.
PROVEN_WAIT_US = 150 * MILLISECOND_US
# A joined target that nobody tried gets a request after its warm-up.
TRIAL_INTERVAL_US = SECOND_US
JOINED_AFTER_US = 2 * SECOND_US
# Proven slots per busy slot that keep a service calm without more trials.
SPARE_FACTOR = 2


@dataclass(slots=True, frozen=True)
class PlacementAsk:
    """What placement needs to know of a request.

    `may_try` tells whether it may be sent to a target without fresh evidence
    while there are proven ones: it may be repeated, and repeats are left.
    """

    domain: str
    kind: RequestKind
    may_repeat: bool
    may_try: bool
    waited_us: int
    connected: frozenset[str]
    excluded: frozenset[str]


@dataclass(slots=True)
class PlacementState:
    """What placement needs to know of a service.

    `is_alone` means that the broker's host has lost contact to all others.
    """

    started_us: int
    service_us: int
    busy_slots: int = 0
    demand: CoverDemand = CoverDemand()
    is_alone: bool = False
    last_trial_us: int = 0


def choose_target(
    records: Iterable[TargetRecord],
    ask: PlacementAsk,
    state: PlacementState,
    now_us: int,
) -> TargetRecord | None:
    """Return the target for a request, or None if it should wait."""
    records = list(records)
    if state.is_alone:
        # Other hosts may use up the warm-up rate of a cold target.
        records = [record for record in records if not record.is_cold(now_us)]
    groups, proven_slots = _survey(records, ask, state, now_us)
    neglected = _neglected(records, ask, state.demand, now_us)
    if neglected is not None:
        return neglected
    trial = _trial(groups[Standing.UNPROVEN], ask, state, now_us, proven_slots)
    if trial is not None:
        return trial
    local = _local_download(groups, ask, now_us)
    if local is not None:
        return local
    if groups[Standing.PROVEN]:
        return _best(groups[Standing.PROVEN], ask, now_us)
    if proven_slots and not ask.may_try and ask.waited_us < PROVEN_WAIT_US:
        return None
    if groups[Standing.UNPROVEN]:
        return _best(groups[Standing.UNPROVEN], ask, now_us)
    return _oldest_failure(groups[Standing.SHUNNED])


def _survey(
    records: list[TargetRecord],
    ask: PlacementAsk,
    state: PlacementState,
    now_us: int,
) -> tuple[dict[Standing, list[TargetRecord]], int]:
    """Group the targets that may get the request; count proven slots."""
    groups: dict[Standing, list[TargetRecord]] = {
        standing: [] for standing in Standing
    }
    proven_slots = 0
    for record in records:
        standing = record.standing(now_us, state.service_us)
        if standing is Standing.PROVEN:
            proven_slots += record.spec.slots
        is_allowed = record.spec.target_id not in ask.excluded
        if is_allowed and record.has_slot(now_us):
            groups[standing].append(record)
    return groups, proven_slots


def _trial(
    unproven: list[TargetRecord],
    ask: PlacementAsk,
    state: PlacementState,
    now_us: int,
    proven_slots: int,
) -> TargetRecord | None:
    """Return a target that is worth a try, if this request may be one."""
    joined = [
        record
        for record in unproven
        if not record.is_tried
        and not record.is_cold(now_us)
        and record.first_seen_us > state.started_us + JOINED_AFTER_US
    ]
    is_due = now_us - state.last_trial_us > TRIAL_INTERVAL_US
    if joined and (ask.may_try or is_due):
        state.last_trial_us = now_us
        return _best(joined, ask, now_us)
    if not ask.may_try:
        return None
    if ask.kind is RequestKind.DOWNLOAD:
        unproven = [
            record for record in unproven if record.spec.domain == ask.domain
        ]
    wanted = SPARE_FACTOR * (state.busy_slots + 1)
    if unproven and proven_slots < wanted:
        return _best(unproven, ask, now_us)
    return None


def _local_download(
    groups: dict[Standing, list[TargetRecord]],
    ask: PlacementAsk,
    now_us: int,
) -> TargetRecord | None:
    """Return a target of the caller's domain for a download.

    Load pattern: large answers whose domain has targets without fresh
    evidence. A failed try costs a repeat, the bytes from another domain a
    third of the request's worth.
    """
    if ask.kind is not RequestKind.DOWNLOAD or not ask.may_try:
        return None
    for standing in (Standing.PROVEN, Standing.UNPROVEN):
        local = [
            record
            for record in groups[standing]
            if record.spec.domain == ask.domain
        ]
        if local:
            return _best(local, ask, now_us)
    return None


def _best(
    records: list[TargetRecord],
    ask: PlacementAsk,
    now_us: int,
) -> TargetRecord:
    return min(records, key=lambda record: _cost_us(record, ask, now_us))


def _cost_us(record: TargetRecord, ask: PlacementAsk, now_us: int) -> int:
    """Weigh age of evidence, connection and distance in one unit of time."""
    if record.served_us > record.failed_us:
        cost_us = now_us - record.served_us
    else:
        cost_us = max(0, 30 * SECOND_US - (now_us - record.failed_us))
    if record.spec.target_id not in ask.connected:
        cost_us += (
            NEW_CONNECTION_REPEATABLE_US
            if ask.may_repeat
            else NEW_CONNECTION_US
        )
    if record.spec.domain != ask.domain:
        is_large = ask.kind is RequestKind.DOWNLOAD
        cost_us += REMOTE_DOWNLOAD_US if is_large else REMOTE_US
    if record.is_cold(now_us):
        cost_us += SECOND_US
    return cost_us


def _neglected(
    records: list[TargetRecord],
    ask: PlacementAsk,
    demand: CoverDemand,
    now_us: int,
) -> TargetRecord | None:
    """Return a target to use again, unless most were used of late.

    The last try of a request that could be repeated is no trial.
    """
    if ask.kind.is_repeatable and not ask.may_repeat:
        return None
    candidates = [
        record
        for record in neglected_targets(records, demand, now_us)
        if record.has_slot(now_us)
        and not record.granted
        and record.spec.target_id not in ask.excluded
    ]
    if ask.kind is RequestKind.DOWNLOAD:
        local = [
            record for record in candidates if record.spec.domain == ask.domain
        ]
        if local or not demand.is_failing:
            candidates = local
    return candidates[0] if candidates else None


def _oldest_failure(records: list[TargetRecord]) -> TargetRecord | None:
    return min(records, key=lambda record: record.failed_us, default=None)
