"""Keeps most of the healthy targets of a service in use.

Load pattern: placement prefers the few targets that succeeded most recently.
When those start to fail, or hosts are lost with requests in flight, over a
tenth of the requests fails within a second. Operators require a coverage
floor: during any such 2 s, at least 0.7 of the healthy targets are in use.
That is too short to probe the others, so they are probed at all times: as few
as the floor needs while nothing fails, and more as soon as failures rise.
Health is not observable; each target counts with its probability of being
healthy. That holds for all targets together, not for those alone that a fault
of links or of other targets leaves undisturbed. So while requests are ample, no
target that may be healthy stays idle for longer than `IN_USE_WINDOW_US`.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from foxtailreach.core.dispatch.target_record import TargetRecord
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

# A target is in use if it got a request within this time. The floor applies to
# windows of 2 s; a request takes up to 0.2 s until it is sent.
IN_USE_WINDOW_US = 1800 * MILLISECOND_US
# The share of the healthy targets that must be in use.
FLOOR_SHARE = 0.7
# The number of healthy targets is an estimate, with a larger error for services
# with few targets. So the floor is raised by this many standard errors times
# the share of unserved requests: two at a tenth, where the floor applies.
MARGIN_PER_UNSERVED_SHARE = 20
# Bounds of the margin, in standard errors.
MIN_MARGIN = 0.5
MAX_MARGIN = 2.2
# The floor applies at a tenth of unserved requests; this lower share detects a
# rise within a second.
FAILING_SHARE = 0.06
FAILING_WINDOW_US = 1500 * MILLISECOND_US
# With fewer requests, one failure says little about the share.
MIN_REQUESTS = 8
# With fewer requests per target in the window the floor is out of reach, and
# probes would only make requests fail.
MIN_REQUESTS_PER_TARGET = 0.4
# A target that failed can be healthy again after this time; a success that is
# older no longer proves that the target is healthy.
HEALTHY_AFTER_US = 2 * SECOND_US
# Nearly all failure periods have ended this long after a failure; they last
# 2.7 s on average.
FAILURE_PERIOD_END_US = 4 * SECOND_US
# With this many requests per target in the window, each target that may be
# healthy gets one, so that the floor holds among any part of them too.
AMPLE_REQUESTS_PER_TARGET = 3.5
# Above this share of failed requests, probes included, a disturbance can soon
# bring the floor into force; then fewer requests per target are ample.
DISTURBED_SHARE = 0.03
AMPLE_WHILE_DISTURBED = 2.0
# A failure that follows a success this closely is mostly a single error, not
# the begin of a failure period.
SINGLE_ERROR_WITHIN_US = 500 * MILLISECOND_US
# Initial estimate: 0.3 of the targets fail at any time.
INITIAL_PROBE_SUCCESS = 0.7
# Weight of a new probe in the moving average: about the last 20 probes count.
PROBE_SUCCESS_GAIN = 0.05


@dataclass(slots=True, frozen=True)
class CoverageDemand:
    """Whether the coverage floor must be kept, and with which margin.

    `margin` is in standard errors; `unproven_probability` is the probability
    that a target without fresh evidence is healthy; `is_failing` tells that
    many requests fail, `is_ample` that there are enough for all targets.
    """

    is_needed: bool = False
    is_ample: bool = False
    margin: float = 0
    unproven_probability: float = INITIAL_PROBE_SUCCESS**2
    is_failing: bool = False


@dataclass(slots=True, frozen=True)
class _Outcome:
    """`is_served` is also true for a probe that failed."""

    ended_us: int
    is_served: bool
    is_failed: bool


class RecentOutcomes:
    """Outcomes of the requests of the last seconds, refusals included."""

    __slots__ = ('_outcomes', '_probe_success_rate')

    def __init__(self) -> None:
        """Create a record without requests."""
        self._outcomes: deque[_Outcome] = deque()
        self._probe_success_rate = INITIAL_PROBE_SUCCESS

    def record_request(self, now_us: int, *, is_served: bool) -> None:
        """Count a request and whether it was served."""
        self._outcomes.append(
            _Outcome(now_us, is_served, is_failed=not is_served)
        )

    def record_probe(self, now_us: int, *, is_served: bool) -> None:
        """Update the success rate of targets without fresh evidence.

        The request counts as served, so that a failed probe does not cause
        further probes.
        """
        self._outcomes.append(
            _Outcome(now_us, is_served=True, is_failed=not is_served)
        )
        change = is_served - self._probe_success_rate
        self._probe_success_rate += PROBE_SUCCESS_GAIN * change

    def demand(self, targets: int, now_us: int) -> CoverageDemand:
        """Return the coverage demand of a service with `targets` targets."""
        horizon_us = now_us - FAILING_WINDOW_US
        while self._outcomes and self._outcomes[0].ended_us < horizon_us:
            self._outcomes.popleft()
        count = len(self._outcomes)
        if count < MIN_REQUESTS_PER_TARGET * targets:
            return CoverageDemand()
        unserved = sum(not outcome.is_served for outcome in self._outcomes)
        unserved_share = unserved / max(MIN_REQUESTS, count)
        failed = sum(outcome.is_failed for outcome in self._outcomes)
        failed_share = failed / max(MIN_REQUESTS, count)
        margin = MARGIN_PER_UNSERVED_SHARE * unserved_share
        return CoverageDemand(
            is_needed=True,
            is_ample=_is_ample(count / max(1, targets), failed_share),
            margin=min(MAX_MARGIN, max(MIN_MARGIN, margin)),
            # A healthy target succeeds now and did so a while ago.
            unproven_probability=self._probe_success_rate**2,
            is_failing=unserved_share > FAILING_SHARE,
        )


def _is_ample(requests_per_target: float, failed_share: float) -> bool:
    """Tell whether each target that may be healthy gets a request.

    The estimate counts an idle target with a low probability, so the floor over
    all targets can be kept without those that have been idle for long. Such
    targets are most of the ones that a disturbance leaves.
    """
    if failed_share > DISTURBED_SHARE:
        return requests_per_target >= AMPLE_WHILE_DISTURBED
    return requests_per_target >= AMPLE_REQUESTS_PER_TARGET


def underused_targets(
    records: Iterable[TargetRecord],
    demand: CoverageDemand,
    now_us: int,
    *,
    is_probe: bool = False,
) -> list[TargetRecord]:
    """List the targets that need a request, the likeliest healthy ones first.

    While requests are ample, these are all that may be healthy. Otherwise
    return an empty list while enough of the healthy targets are in use. For a
    probe that is all of them: it costs only a retry, keeps the evidence fresh,
    and a loss of hosts leaves no time to widen the use.
    """
    if not demand.is_needed:
        return []
    probabilities = [
        (health_probability(record, demand, now_us), record)
        for record in records
        if record.accepts_work
    ]
    idle = [
        (probability, record)
        for probability, record in probabilities
        if probability and now_us - record.last_grant_us > IN_USE_WINDOW_US
    ]
    total = sum(probability for probability, _ in probabilities)
    used = total - sum(probability for probability, _ in idle)
    if not is_probe and used >= _required_share(total, demand) * total:
        idle = [pair for pair in idle if _is_due(pair[1], demand, now_us)]
    idle.sort(
        key=lambda pair: (
            pair[0],
            pair[1].last_served_us,
            -pair[1].last_failed_us,
        ),
        reverse=True,
    )
    return [record for _, record in idle]


def lacks_fresh_evidence(record: TargetRecord, now_us: int) -> bool:
    """Tell whether a request to the target would be a probe."""
    served_last = record.last_served_us > record.last_failed_us
    return not served_last or now_us - record.last_served_us >= HEALTHY_AFTER_US


def health_probability(
    record: TargetRecord,
    demand: CoverageDemand,
    now_us: int,
) -> float:
    """Estimate the probability that a target has been healthy for a while.

    It is 0 for `HEALTHY_AFTER_US` after a failure. Without a success since
    then, it rises linearly to `unproven_probability` within a further
    `FAILURE_PERIOD_END_US`, after a single error at once.
    """
    failed_age_us = now_us - record.last_failed_us
    if failed_age_us < HEALTHY_AFTER_US:
        return 0
    if not lacks_fresh_evidence(record, now_us):
        return 1
    if record.last_served_us > record.last_failed_us:
        return demand.unproven_probability
    if _is_single_error(record):
        return demand.unproven_probability
    ended_share = (failed_age_us - HEALTHY_AFTER_US) / FAILURE_PERIOD_END_US
    return min(1, ended_share) * demand.unproven_probability


def _is_due(record: TargetRecord, demand: CoverageDemand, now_us: int) -> bool:
    """Tell whether an idle target gets a request as long as these are ample."""
    if not demand.is_ample:
        return False
    if record.last_served_us > record.last_failed_us:
        return True
    if _is_single_error(record):
        return True
    failed_age_us = now_us - record.last_failed_us
    return failed_age_us >= HEALTHY_AFTER_US + FAILURE_PERIOD_END_US


def _is_single_error(record: TargetRecord) -> bool:
    evidence_age_us = record.last_failed_us - record.last_served_us
    return 0 <= evidence_age_us < SINGLE_ERROR_WITHIN_US


def _required_share(healthy: float, demand: CoverageDemand) -> float:
    """Return the floor plus a margin for the error of the estimate.

    `healthy` is the expected number of healthy targets.
    """
    error = math.sqrt(FLOOR_SHARE * (1 - FLOOR_SHARE) / max(1, healthy))
    return min(1, FLOOR_SHARE + demand.margin * error)
