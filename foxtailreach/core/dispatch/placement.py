"""Chooses the target of one request among those with a free slot.

Load pattern: about a third of the targets fail at any time, for seconds at
a time, and at-most-once requests cannot be retried. So most requests go to
the targets that succeeded most recently, and repeatable requests serve as
probes of the others. `cover.py` selects the targets that must get requests
again because most of the healthy targets must stay in use.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, replace

from foxtailreach.core.dispatch.cover import (
    CoverageDemand,
    underused_targets,
)
from foxtailreach.core.dispatch.deployment import RequestKind
from foxtailreach.core.dispatch.request_costs import CostEstimate, RequestCosts
from foxtailreach.core.dispatch.target_load import expected_finish_us
from foxtailreach.core.dispatch.target_record import TargetRecord, TargetStatus
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

# Costs in age of evidence: opening a connection costs as much as evidence that
# is this much older. A repeatable request risks less by older evidence, so it
# weighs the connection more.
NEW_CONNECTION_COST_US = 300 * MILLISECOND_US
NEW_CONNECTION_REPEATABLE_COST_US = 4 * SECOND_US
# A small request to another failure domain adds about 3 ms and few bytes.
REMOTE_COST_US = 100 * MILLISECOND_US
# Where requests stay in their domain, any target of it with fresh evidence goes
# before those elsewhere: this is as long as evidence is valid.
REMOTE_OWN_DOMAIN_COST_US = 6 * SECOND_US
# Traffic between failure domains is expensive: a download of 90 KB costs a
# third of the value of its request.
REMOTE_DOWNLOAD_COST_US = 30 * SECOND_US
# An upload of 60 KB costs an eighth of the value of its request, which is lost
# if its target fails: a second of age adds a tenth to that probability.
REMOTE_UPLOAD_COST_US = 1500 * MILLISECOND_US
# A late answer loses half of the value of its request or more: a second of age
# adds a tenth to the probability of losing all.
LATE_FINISH_COST_US = 5 * SECOND_US
# A request counts as in time if it is so at this many mean deviations more.
LATE_DEVIATIONS = 1.5
# A request that cannot be retried waits this long for a proven target.
PROVEN_WAIT_US = 150 * MILLISECOND_US
# A newly joined target without requests gets a probe after its warm-up, at
# most one per interval unless the request is repeatable.
PROBE_INTERVAL_US = SECOND_US
# A target first seen later than this after the start of the broker is newly
# joined.
JOINED_AFTER_US = 2 * SECOND_US
# No further probes are needed with this many proven slots per busy slot.
SPARE_FACTOR = 2


class PlacementRule(enum.StrEnum):
    """The rule by which a target was chosen, in their order."""

    COVERAGE = 'coverage'
    PROBE = 'probe'
    OWN_DOMAIN_DOWNLOAD = 'own-domain-download'
    PROVEN = 'proven'
    UNPROVEN = 'unproven'
    LAST_RESORT = 'last-resort'


# A target, or None if a request should wait, and why.
Choice = tuple[TargetRecord | None, PlacementRule]


@dataclass(slots=True, frozen=True)
class PlacementRequest:
    """The properties of a request that determine its target.

    `may_probe` allows an unproven target although there are proven ones: the
    request is repeatable, and the retry budget has retries left. Without
    an `estimate` its finish time does not count.
    """

    domain: str
    kind: RequestKind
    may_repeat: bool
    may_probe: bool
    waited_us: int
    connected: frozenset[str]
    excluded: frozenset[str]
    estimate: CostEstimate | None = None
    objective_left_us: int = 0


@dataclass(slots=True)
class PlacementState:
    """The state of a service that placement depends on.

    `is_sole` means that no other host brokers the service. With
    `prefers_own_domain` requests stay in the failure domain of their caller
    while it has a target with fresh evidence and room.
    """

    started_us: int
    service_us: int
    busy_slots: int = 0
    demand: CoverageDemand = CoverageDemand()
    is_sole: bool = True
    prefers_own_domain: bool = False
    last_probe_us: int = 0
    costs: RequestCosts | None = None

    def keeps_local(self, request: PlacementRequest) -> bool:
        """Tell whether a request leaves its domain only if it has to."""
        is_download = request.kind is RequestKind.DOWNLOAD
        return is_download or self.prefers_own_domain


def choose_target(
    records: Iterable[TargetRecord],
    request: PlacementRequest,
    state: PlacementState,
    now_us: int,
) -> TargetRecord | None:
    """Return the target for a request, or None if it should wait."""
    return choose_by_rule(records, request, state, now_us)[0]


def choose_by_rule(
    records: Iterable[TargetRecord],
    request: PlacementRequest,
    state: PlacementState,
    now_us: int,
) -> Choice:
    """Return the target for a request and the rule that selects it.

    The target is None if the request should wait. Targets that the coverage
    floor needs come first, then probes, then proven targets. Unproven ones and
    then ejected ones are the last resort.
    """
    records = _usable(records, state, now_us)
    groups, proven_slots = _group_by_status(records, request, state, now_us)
    choice = _choose_by_evidence(
        records, groups, request, state, now_us, proven_slots
    )
    if choice[0] is not None:
        return choice
    if (
        proven_slots
        and not request.may_probe
        and request.waited_us < PROVEN_WAIT_US
    ):
        return choice
    unproven = groups[TargetStatus.UNPROVEN]
    if unproven:
        cheapest = _cheapest(unproven, request, state, now_us)
        return cheapest, PlacementRule.UNPROVEN
    ejected = _oldest_failure(groups[TargetStatus.EJECTED])
    return ejected, PlacementRule.LAST_RESORT


def has_target_by_evidence(
    records: Iterable[TargetRecord],
    request: PlacementRequest,
    state: PlacementState,
    now_us: int,
) -> bool:
    """Tell whether a request would get a target without the last resort."""
    records = _usable(records, state, now_us)
    groups, proven_slots = _group_by_status(records, request, state, now_us)
    # A probe that is not sent must not count as one.
    choice = _choose_by_evidence(
        records, groups, request, replace(state), now_us, proven_slots
    )
    return choice[0] is not None


def _usable(
    records: Iterable[TargetRecord], state: PlacementState, now_us: int
) -> list[TargetRecord]:
    if state.is_sole:
        return list(records)
    # Other hosts may already use the whole warm-up rate of a target.
    return [record for record in records if not record.is_warming_up(now_us)]


def _choose_by_evidence(
    records: list[TargetRecord],
    groups: dict[TargetStatus, list[TargetRecord]],
    request: PlacementRequest,
    state: PlacementState,
    now_us: int,
    proven_slots: int,
) -> Choice:
    underused = _underused(records, request, state, now_us)
    if underused is not None:
        return underused, PlacementRule.COVERAGE
    probe = _choose_probe(
        groups[TargetStatus.UNPROVEN],
        request,
        state,
        now_us,
        proven_slots,
    )
    if probe is not None:
        return probe, PlacementRule.PROBE
    local = _local_download(groups, request, state, now_us)
    if local is not None:
        return local, PlacementRule.OWN_DOMAIN_DOWNLOAD
    proven = groups[TargetStatus.PROVEN]
    if not proven:
        return None, PlacementRule.PROVEN
    return _cheapest(proven, request, state, now_us), PlacementRule.PROVEN


def _group_by_status(
    records: list[TargetRecord],
    request: PlacementRequest,
    state: PlacementState,
    now_us: int,
) -> tuple[dict[TargetStatus, list[TargetRecord]], int]:
    """Group the usable targets by status; count the slots of all proven."""
    groups: dict[TargetStatus, list[TargetRecord]] = {
        status: [] for status in TargetStatus
    }
    proven_slots = 0
    for record in records:
        status = record.status(now_us, state.service_us)
        if status is TargetStatus.PROVEN:
            proven_slots += record.spec.slots
        is_allowed = record.spec.target_id not in request.excluded
        if is_allowed and record.has_free_slot(now_us):
            groups[status].append(record)
    return groups, proven_slots


def _choose_probe(
    unproven: list[TargetRecord],
    request: PlacementRequest,
    state: PlacementState,
    now_us: int,
    proven_slots: int,
) -> TargetRecord | None:
    """Return the target to probe, or None if no probe is needed.

    Newly joined targets go first. Others are probed while the proven targets
    have too few slots in reserve, downloads only in their own domain.
    """
    joined = [
        record
        for record in unproven
        if not record.is_tried
        and not record.is_warming_up(now_us)
        and record.first_seen_us > state.started_us + JOINED_AFTER_US
    ]
    is_due = now_us - state.last_probe_us > PROBE_INTERVAL_US
    if joined and (request.may_probe or is_due):
        state.last_probe_us = now_us
        return _cheapest(joined, request, state, now_us)
    if not request.may_probe:
        return None
    if state.keeps_local(request):
        unproven = [
            record
            for record in unproven
            if record.spec.domain == request.domain
        ]
    wanted = SPARE_FACTOR * (state.busy_slots + 1)
    if unproven and proven_slots < wanted:
        return _cheapest(unproven, request, state, now_us)
    return None


def _local_download(
    groups: dict[TargetStatus, list[TargetRecord]],
    request: PlacementRequest,
    state: PlacementState,
    now_us: int,
) -> TargetRecord | None:
    """Return a target of the caller's domain for a download.

    Load pattern: large answers, while the caller's domain has only targets
    without fresh evidence. A failed attempt costs a retry; the bytes from
    another domain cost a third of the request's value.
    """
    if request.kind is not RequestKind.DOWNLOAD or not request.may_probe:
        return None
    for status in (TargetStatus.PROVEN, TargetStatus.UNPROVEN):
        local = [
            record
            for record in groups[status]
            if record.spec.domain == request.domain
        ]
        if local:
            return _cheapest(local, request, state, now_us)
    return None


def _cheapest(
    records: list[TargetRecord],
    request: PlacementRequest,
    state: PlacementState,
    now_us: int,
) -> TargetRecord:
    return min(
        records, key=lambda record: cost_us(record, request, state, now_us)
    )


def cost_us(
    record: TargetRecord,
    request: PlacementRequest,
    state: PlacementState,
    now_us: int,
) -> int:
    """Express age of evidence, connection and distance as one cost."""
    if record.last_served_us > record.last_failed_us:
        total_us = now_us - record.last_served_us
    else:
        # The cost of a failure decreases with its age, to 0 after 30 s.
        total_us = max(0, 30 * SECOND_US - (now_us - record.last_failed_us))
    if record.spec.target_id not in request.connected:
        total_us += (
            NEW_CONNECTION_REPEATABLE_COST_US
            if request.may_repeat
            else NEW_CONNECTION_COST_US
        )
    if record.spec.domain != request.domain:
        total_us += _remote_cost_us(request.kind, state)
    if record.is_warming_up(now_us):
        total_us += SECOND_US
    if request.estimate is not None and state.costs is not None:
        slowness = state.costs.slowness(record.spec.target_id)
        total_us += _finish_cost_us(
            request.estimate, slowness, request.objective_left_us
        )
    return total_us


def _finish_cost_us(
    estimate: CostEstimate, slowness: float, objective_left_us: int
) -> int:
    """Express the expected finish of a request as a cost."""
    finish_us = expected_finish_us(estimate.mean_us, slowness)
    if finishes_late(estimate, slowness, objective_left_us):
        return finish_us + LATE_FINISH_COST_US
    return finish_us


def finishes_late(
    estimate: CostEstimate, slowness: float, objective_left_us: int
) -> bool:
    """Tell whether a request would probably miss its objective."""
    finish_us = expected_finish_us(estimate.mean_us, slowness)
    spread_us = expected_finish_us(estimate.deviation_us, slowness)
    return finish_us + LATE_DEVIATIONS * spread_us > objective_left_us


def _remote_cost_us(kind: RequestKind, state: PlacementState) -> int:
    match kind:
        case RequestKind.DOWNLOAD:
            return REMOTE_DOWNLOAD_COST_US
        case _ if state.prefers_own_domain:
            return REMOTE_OWN_DOMAIN_COST_US
        case RequestKind.UPLOAD:
            return REMOTE_UPLOAD_COST_US
        case _:
            return REMOTE_COST_US


def _underused(
    records: list[TargetRecord],
    request: PlacementRequest,
    state: PlacementState,
    now_us: int,
) -> TargetRecord | None:
    """Return a target that the coverage floor needs in use, or None.

    The last attempt of a repeatable request is not spent on such a target. A
    request that should stay in its domain leaves it only while many fail.
    """
    if request.kind.is_repeatable and not request.may_repeat:
        return None
    candidates = [
        record
        for record in underused_targets(
            records, state.demand, now_us, is_probe=request.may_probe
        )
        if record.has_free_slot(now_us)
        and not record.granted
        and record.spec.target_id not in request.excluded
    ]
    if state.keeps_local(request):
        local = [
            record
            for record in candidates
            if record.spec.domain == request.domain
        ]
        if local or not state.demand.is_failing:
            candidates = local
    connected = [
        record
        for record in candidates
        if record.spec.target_id in request.connected
    ]
    if request.may_repeat and connected:
        return connected[0]
    return candidates[0] if candidates else None


def _oldest_failure(records: list[TargetRecord]) -> TargetRecord | None:
    return min(records, key=lambda record: record.last_failed_us, default=None)
