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

import enum
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
# With fewer requests, one failure says little about the share, and their rate
# is not known.
MIN_REQUESTS = 8
# With fewer requests per target in the window the floor is out of reach, and
# probes would only make requests fail.
MIN_REQUESTS_PER_TARGET = 0.4
# A target that failed can be healthy again after this time; a success that is
# older no longer proves that the target is healthy.
HEALTHY_AFTER_US = 2 * SECOND_US
# A target that failed counts again as one that may be healthy after a recovery
# time. It is adapted so that about three of four probes after it succeed: each
# success shortens it, each failure lengthens it.
INITIAL_RECOVERY_US = 3 * SECOND_US
MAX_RECOVERY_US = 5500 * MILLISECOND_US
RECOVERY_PER_SUCCESS = 0.98
RECOVERY_PER_FAILURE = 1.06
# With this many requests per target in the window, each target that may be
# healthy gets one, so that the floor holds among any part of them too.
AMPLE_REQUESTS_PER_TARGET = 1.5
# The requests of a shorter time say too little about their rate.
MIN_RATE_TIME_US = 300 * MILLISECOND_US
# A failure that follows a success this closely is mostly a single error, not
# the begin of a failure period.
SINGLE_ERROR_WITHIN_US = 500 * MILLISECOND_US
# Initial estimate: 0.3 of the targets fail at any time.
INITIAL_PROBE_SUCCESS = 0.7
# Weight of a new probe in the moving average: about the last 20 probes count.
PROBE_SUCCESS_GAIN = 0.05


class CoverageScope(enum.StrEnum):
    """For which targets of a service the coverage floor is kept."""

    NONE = 'none'
    WHOLE = 'the whole'
    ANY_PART = 'any part'


@dataclass(slots=True, frozen=True)
class CoverageDemand:
    """Whether the coverage floor must be kept, and with which margin.

    `margin` is in standard errors; `unproven_probability` is the probability
    that a target without fresh evidence is healthy, `recovery_us` the time
    after a failure from which on it applies; `is_failing` tells that many
    requests fail, `is_ample` that there are enough for all targets.
    `requests_per_target` counts the window at its present rate. A broker
    `is_taking_over` while it has seen less than the window. The floor is that
    of a whole service, of which the targets are one of `pools` parts.
    """

    is_needed: bool = False
    is_ample: bool = False
    requests_per_target: float = 0
    unserved_share: float = 0
    margin: float = 0
    unproven_probability: float = INITIAL_PROBE_SUCCESS**2
    recovery_us: int = INITIAL_RECOVERY_US
    is_failing: bool = False
    is_taking_over: bool = False
    pools: int = 1

    @property
    def scope(self) -> CoverageScope:
        """For which targets the floor is kept."""
        if not self.is_needed:
            return CoverageScope.NONE
        return CoverageScope.ANY_PART if self.is_ample else CoverageScope.WHOLE


@dataclass(slots=True, frozen=True)
class _Outcome:
    """`is_served` is also true for a probe that failed."""

    ended_us: int
    is_served: bool


class RecentOutcomes:
    """Grants and outcomes of the last seconds, refusals included.

    The number of requests is that of their first grants. Outcomes are fewer:
    those of requests whose caller left, or whose host was lost, are not known.
    """

    __slots__ = (
        '_granted_us',
        '_outcomes',
        '_probe_success_rate',
        '_recovery_us',
        '_started_us',
    )

    def __init__(self, now_us: int) -> None:
        """Create a record without requests."""
        self._started_us = now_us
        self._granted_us: deque[int] = deque()
        self._outcomes: deque[_Outcome] = deque()
        self._probe_success_rate = INITIAL_PROBE_SUCCESS
        self._recovery_us = float(INITIAL_RECOVERY_US)

    def record_grant(self, now_us: int) -> None:
        """Count the first grant of a request."""
        self._granted_us.append(now_us)

    def record_request(self, now_us: int, *, is_served: bool) -> None:
        """Count a request and whether it was served."""
        self._outcomes.append(_Outcome(now_us, is_served))

    def record_probe(
        self, now_us: int, *, is_served: bool, is_after_failure: bool = False
    ) -> None:
        """Update the success rate of targets without fresh evidence.

        The request counts as served, so that a failed probe does not cause
        further probes. If it was the first to its target after a failure, the
        recovery time follows.
        """
        if is_after_failure:
            factor = RECOVERY_PER_SUCCESS if is_served else RECOVERY_PER_FAILURE
            self._recovery_us = min(
                MAX_RECOVERY_US,
                max(HEALTHY_AFTER_US, self._recovery_us * factor),
            )
        self._outcomes.append(_Outcome(now_us, is_served=True))
        change = is_served - self._probe_success_rate
        self._probe_success_rate += PROBE_SUCCESS_GAIN * change

    def demand(self, targets: int, now_us: int) -> CoverageDemand:
        """Return the coverage demand of a service with `targets` targets."""
        horizon_us = now_us - FAILING_WINDOW_US
        while self._outcomes and self._outcomes[0].ended_us < horizon_us:
            self._outcomes.popleft()
        requests_per_target = self._requests(now_us) / max(1, targets)
        if requests_per_target < MIN_REQUESTS_PER_TARGET:
            return CoverageDemand(requests_per_target=requests_per_target)
        unserved = sum(not outcome.is_served for outcome in self._outcomes)
        unserved_share = unserved / max(MIN_REQUESTS, len(self._outcomes))
        margin = MARGIN_PER_UNSERVED_SHARE * unserved_share
        return CoverageDemand(
            is_needed=True,
            is_ample=requests_per_target >= AMPLE_REQUESTS_PER_TARGET,
            requests_per_target=requests_per_target,
            unserved_share=unserved_share,
            margin=min(MAX_MARGIN, max(MIN_MARGIN, margin)),
            # A healthy target succeeds now and did so a while ago.
            unproven_probability=self._probe_success_rate**2,
            recovery_us=int(self._recovery_us),
            is_failing=unserved_share > FAILING_SHARE,
            is_taking_over=now_us - self._started_us < FAILING_WINDOW_US,
        )

    def _requests(self, now_us: int) -> float:
        """Return how many requests the window holds at their present rate.

        A broker that has just taken over has seen a part of the window only.
        """
        horizon_us = now_us - FAILING_WINDOW_US
        while self._granted_us and self._granted_us[0] < horizon_us:
            self._granted_us.popleft()
        count = len(self._granted_us)
        if count < MIN_REQUESTS:
            return count
        seen_us = min(
            FAILING_WINDOW_US,
            max(MIN_RATE_TIME_US, now_us - self._started_us),
        )
        return count * FAILING_WINDOW_US / seen_us


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
    and a loss of hosts leaves no time to widen the use. A broker that takes
    over begins with those that have been idle for longest.
    """
    if not demand.is_needed:
        return []
    probabilities = [
        (health_probability(record, demand, now_us), record)
        for record in records
        if record.accepts_work and not record.is_paused(now_us)
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
    if demand.is_taking_over:
        idle.sort(key=_idle_since_us)
    else:
        idle.sort(key=_likelihood, reverse=True)
    return [record for _, record in idle]


def count_idle(records: Iterable[TargetRecord], now_us: int) -> int:
    """Count the usable targets that have had no request for a while."""
    return sum(
        record.accepts_work
        and not record.is_paused(now_us)
        and now_us - record.last_grant_us > IN_USE_WINDOW_US
        for record in records
    )


def has_failed_last(record: TargetRecord) -> bool:
    """Tell whether nothing has succeeded since the target failed."""
    return record.last_failed_us > record.last_served_us


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
    then, it rises linearly to `unproven_probability` until the recovery time
    has passed, after a single error at once.
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
    if failed_age_us >= demand.recovery_us:
        return demand.unproven_probability
    ended_share = (failed_age_us - HEALTHY_AFTER_US) / (
        demand.recovery_us - HEALTHY_AFTER_US
    )
    return ended_share * demand.unproven_probability


def _idle_since_us(pair: tuple[float, TargetRecord]) -> int:
    return pair[1].last_grant_us


def _likelihood(pair: tuple[float, TargetRecord]) -> tuple[float, int, int]:
    probability, record = pair
    return probability, record.last_served_us, -record.last_failed_us


def _is_due(record: TargetRecord, demand: CoverageDemand, now_us: int) -> bool:
    """Tell whether an idle target gets a request as long as these are ample."""
    if not demand.is_ample:
        return False
    if record.last_served_us > record.last_failed_us:
        return True
    if _is_single_error(record):
        return True
    return now_us - record.last_failed_us >= demand.recovery_us


def _is_single_error(record: TargetRecord) -> bool:
    evidence_age_us = record.last_failed_us - record.last_served_us
    return 0 <= evidence_age_us < SINGLE_ERROR_WITHIN_US


def _required_share(healthy: float, demand: CoverageDemand) -> float:
    """Return the floor plus a margin for the error of the estimate.

    `healthy` is the expected number of healthy targets. The errors of the pools
    of a service partly cancel out.
    """
    counted = max(1, healthy) * demand.pools
    error = math.sqrt(FLOOR_SHARE * (1 - FLOOR_SHARE) / counted)
    return min(1, FLOOR_SHARE + demand.margin * error)
