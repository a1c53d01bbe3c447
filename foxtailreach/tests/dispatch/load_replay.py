"""Replays a service whose targets fail most requests for seconds at a time.

The operators' benchmark models targets in the same way: each alternates
between healthy and failing, while its health check passes all the time.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.deployment import RequestKind
from foxtailreach.core.dispatch.messages import SendOutcome
from foxtailreach.core.units import SECOND_US
from foxtailreach.tests.dispatch.fixtures import (
    START_US,
    FailurePeriods,
    create_broker,
    grants,
    slot_report,
    slot_request,
)

# Share of requests that fail at healthy targets.
RANDOM_ERROR_SHARE = 0.012
# The coverage floor applies to windows of this length in which more than a
# tenth and less than half of the requests are not served.
WINDOW_S = 2.0
WINDOW_STEP_S = 0.5
FLOOR_SHARE = 0.7
UNSERVED_MIN = 0.1
UNSERVED_MAX = 0.5
# Windows before this time are not checked, since the broker starts without
# evidence.
EVIDENCE_READY_S = 8.0


@dataclass(slots=True, frozen=True)
class FailureLoad:
    """Targets with their failure periods, and the requests to them.

    `failing_share` is the share of requests that fail during a failure period;
    `mean_latency_ms` applies to the requests that succeed.
    """

    targets: int = 19
    slots: int = 2
    requests_per_s: float = 25
    mean_healthy_s: float = 6.3
    mean_failing_s: float = 2.7
    failing_share: float = 0.85
    mean_latency_ms: int = 220
    requests: int = 5000
    is_repeatable: bool = False


@dataclass(slots=True, frozen=True)
class Send:
    """One request to a target, and its outcome."""

    at_s: float
    target: int
    is_failed: bool


def healthy_targets(
    failure_periods: list[list[tuple[float, float]]],
    end_s: float,
) -> list[int]:
    """List the targets that were healthy for two windows before `end_s`."""
    return [
        index
        for index, target_periods in enumerate(failure_periods)
        if not any(
            start_s < end_s and stop_s > end_s - 2 * WINDOW_S
            for start_s, stop_s in target_periods
        )
    ]


def violates_floor(
    healthy: list[int],
    used: set[int],
    unserved_share: float,
) -> bool:
    """Tell whether too few of the healthy targets were used in a window."""
    used_share = sum(index in used for index in healthy) / len(healthy)
    is_floor_required = UNSERVED_MIN < unserved_share < UNSERVED_MAX
    return is_floor_required and 0 < used_share < FLOOR_SHARE


@dataclass(slots=True)
class LoadReplay:
    """Outcomes of the requests, and the failure periods of each target."""

    load: FailureLoad
    failure_periods: list[list[tuple[float, float]]]
    sends: list[Send] = field(default_factory=list)

    def failed_share(self) -> float:
        """Return the share of sends that failed."""
        return sum(send.is_failed for send in self.sends) / len(self.sends)

    def floor_violations(self, counted_targets: int) -> float:
        """Return the share of windows that violate the coverage floor.

        At most `counted_targets` of the healthy targets count, drawn at random;
        the others were disturbed in some other way.
        """
        rng = random.Random(counted_targets)
        windows = violations = 0
        end_s = EVIDENCE_READY_S
        while end_s < self.sends[-1].at_s:
            windows += 1
            violations += self._violates_floor(end_s, counted_targets, rng)
            end_s += WINDOW_STEP_S
        return violations / windows

    def uncovered_share(self, counted_targets: int) -> float:
        """Return the share of windows with too few healthy targets in use.

        Of the healthy targets, `counted_targets` drawn at random count; whether
        requests fail does not.
        """
        rng = random.Random(counted_targets)
        windows = uncovered = 0
        end_s = EVIDENCE_READY_S
        while end_s < self.sends[-1].at_s:
            healthy = healthy_targets(self.failure_periods, end_s)
            counted = rng.sample(healthy, min(counted_targets, len(healthy)))
            used = self._used(end_s).intersection(counted)
            windows += 1
            uncovered += len(used) < FLOOR_SHARE * len(counted)
            end_s += WINDOW_STEP_S / 5
        return uncovered / windows

    def _used(self, end_s: float) -> set[int]:
        """Return the targets that got a request in a window."""
        return {
            send.target
            for send in self.sends
            if end_s - WINDOW_S <= send.at_s < end_s
        }

    def _violates_floor(
        self,
        end_s: float,
        counted_targets: int,
        rng: random.Random,
    ) -> bool:
        window = [
            send for send in self.sends if end_s - WINDOW_S <= send.at_s < end_s
        ]
        healthy = healthy_targets(self.failure_periods, end_s)
        if not window or not healthy:
            return False
        healthy = rng.sample(healthy, min(counted_targets, len(healthy)))
        used = self._used(end_s)
        failed_share = sum(send.is_failed for send in window) / len(window)
        return violates_floor(healthy, used, failed_share)


def replay(load: FailureLoad, seed: int) -> LoadReplay:
    """Send the requests through a broker in virtual time."""
    rng = random.Random(seed)
    horizon_s = 1.2 * load.requests / load.requests_per_s
    periods = FailurePeriods(
        load.mean_healthy_s,
        load.mean_failing_s,
        rng,
        horizon_s,
    )
    result = LoadReplay(load, periods.draw(load.targets))
    broker = create_broker(load.targets, slots=load.slots)
    ends: list[tuple[int, int, messages.SlotReport]] = []
    sent = 0
    now_us = next_us = START_US
    kind = RequestKind.AT_MOST_ONCE
    if load.is_repeatable:
        kind = RequestKind.IDEMPOTENT
    while sent < load.requests:
        if ends and ends[0][0] <= next_us:
            now_us, _, report = heapq.heappop(ends)
            new_effects = broker.report('h1', report, now_us)
        else:
            now_us = next_us
            sent += 1
            request = slot_request(
                sent,
                kind=kind,
                may_repeat=load.is_repeatable,
            )
            new_effects = broker.request_slot('h1', 'd1', request, now_us)
            pause_s = rng.expovariate(load.requests_per_s)
            next_us += int(pause_s * SECOND_US)
        new_effects += broker.tick(now_us)
        for grant in grants(new_effects):
            ended = _draw_outcome(result, grant, now_us, rng)
            heapq.heappush(ends, ended)
    return result


def _draw_outcome(
    result: LoadReplay,
    grant: messages.SlotGrant,
    now_us: int,
    rng: random.Random,
) -> tuple[int, int, messages.SlotReport]:
    """Draw the outcome of one request and record it.

    Return the time of its end, its `ask_id` and its report.
    """
    load = result.load
    at_s = (now_us - START_US) / SECOND_US
    target = int(grant.target_id[1:])
    is_failing = any(
        start_s <= at_s < stop_s
        for start_s, stop_s in result.failure_periods[target]
    )
    failing_share = load.failing_share if is_failing else RANDOM_ERROR_SHARE
    is_failed = rng.random() < failing_share
    latency_us = 1000
    if not is_failed:
        latency_us = int(rng.gammavariate(4, load.mean_latency_ms * 1000 / 4))
    result.sends.append(Send(at_s, target, is_failed))
    outcome = SendOutcome.FAILED if is_failed else SendOutcome.SERVED
    report = slot_report(grant, outcome, latency_us)
    return now_us + latency_us, grant.ask_id, report
