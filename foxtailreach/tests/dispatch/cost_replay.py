"""Replays services whose requests differ in cost, with failing targets.

Some requests take several times the mean and time out at their route's
timeout; failing targets either answer with an error at once, or hang.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.broker import Broker
from foxtailreach.core.dispatch.deployment import RequestKind
from foxtailreach.core.dispatch.messages import SendOutcome
from foxtailreach.core.dispatch.request_costs import CostEstimate, RequestCosts
from foxtailreach.core.dispatch.target_record import TargetStatus
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.tests.dispatch.fixtures import (
    START_US,
    FailurePeriods,
    create_broker,
    grants,
    refusals,
    slot_request,
)

FAILING_SHARE = 0.85
# A target counts as wrongly ejected if it has been healthy for this long:
# a failure ejects it for 6 s.
HEALTHY_FOR_S = 6.5
SAMPLE_INTERVAL_US = 200 * MILLISECOND_US
# Estimates are learned before this time; nothing is counted.
READY_S = 20.0


class ServiceMeanCosts(RequestCosts):
    """Costs of one class and without long requests, as before."""

    def estimate(self, request_class: int, body_bytes: int) -> CostEstimate:
        """Return the mean of the service."""
        mean_us = int(self.service_mean_us)
        return CostEstimate(mean_us, mean_us // 2, 0, 0)

    def slowness(self, target_id: str) -> float:
        """Return that no target is slower than another."""
        return 1

    def _review(self) -> None:
        """Call for no estimates of classes."""


@dataclass(slots=True, frozen=True)
class CostClass:
    """Requests of one class; times as on the design page."""

    request_class: int
    requests_per_s: float
    work_ms: int
    objective_ms: int
    deadline_ms: int
    timeout_ms: int
    kind: RequestKind = RequestKind.AT_MOST_ONCE
    body_bytes: int = 0


@dataclass(slots=True, frozen=True)
class CostLoad:
    """One service: its targets, how they fail, and its classes.

    `burst` multiplies the rates in 3 of each 13 seconds. Targets `slow_every`
    apart take `slow_factor` times as long.
    """

    targets: int
    slots: int
    classes: tuple[CostClass, ...]
    tail_share: float = 0
    tail_factor: float = 7
    does_hang: bool = False
    error_share: float = 0
    burst: float = 1
    mean_healthy_s: float = 9.5
    mean_failing_s: float = 4.0
    slow_every: int = 0
    slow_factor: float = 1
    duration_s: float = 60


@dataclass(slots=True)
class CostReplay:
    """Counts of requests, and samples of the states of targets."""

    requests: int = 0
    failed: int = 0
    refused: int = 0
    late: int = 0
    healthy_samples: int = 0
    wrong_samples: int = 0
    detection_s: list[float] = field(default_factory=list)
    to_failing: int = 0
    sends: list[str] = field(default_factory=list)
    spared: int = 0

    def shares(self) -> dict[str, float]:
        """Return the shares by which two replays are compared."""
        return {
            'failed': self.failed / self.requests,
            'refused': self.refused / self.requests,
            'late': self.late / self.requests,
            'wrongly ejected': self.wrong_samples / self.healthy_samples,
            'to failing': self.to_failing / self.requests,
            'detected after s': (
                sum(self.detection_s) / max(1, len(self.detection_s))
            ),
        }


class _Replay:
    """One replay in progress."""

    def __init__(self, load: CostLoad, seed: int, costs: RequestCosts) -> None:
        self.rng = random.Random(seed)
        self.load = load
        self.broker: Broker = create_broker(load.targets, slots=load.slots)
        self.broker.costs = costs
        self.result = CostReplay()
        horizon_s = load.duration_s + READY_S
        periods = FailurePeriods(
            load.mean_healthy_s, load.mean_failing_s, self.rng, horizon_s
        )
        self.periods = periods.draw(load.targets)
        self.end_us = START_US + int(horizon_s * SECOND_US)
        self.events: list[tuple[int, int, Callable[[int], None]]] = []
        self.order = itertools.count()
        self.asked: dict[int, tuple[CostClass, int, float]] = {}
        self.undetected: dict[tuple[int, int], float] = {}

    def at(self, at_us: int, action: Callable[[int], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (at_us, next(self.order), action))

    def run(self) -> CostReplay:
        """Play all events until the end."""
        for cost_class in self.load.classes:
            self.at(START_US, self._arrival(cost_class))
        self.at(START_US, self._sample)
        while self.events and self.events[0][0] < self.end_us:
            now_us, _, action = heapq.heappop(self.events)
            action(now_us)
        self.result.spared = self.broker.tail_rule.spared
        return self.result

    def _is_counted(self, now_us: int) -> bool:
        return now_us > START_US + READY_S * SECOND_US

    def _is_failing(self, target: int, at_s: float, for_s: float = 0) -> bool:
        return any(
            start_s <= at_s and stop_s > at_s - for_s
            for start_s, stop_s in self.periods[target]
        )

    def _arrival(self, cost_class: CostClass) -> Callable[[int], None]:
        def arrive(now_us: int) -> None:
            ask_id = next(self.order)
            request = slot_request(
                ask_id,
                kind=cost_class.kind,
                time_left_us=cost_class.deadline_ms * MILLISECOND_US,
                objective_left_us=cost_class.objective_ms * MILLISECOND_US,
                may_repeat=False,
                request_class=cost_class.request_class,
                body_bytes=cost_class.body_bytes,
            )
            # The work is a property of the request, whatever its target is.
            work = self.rng.gammavariate(4, 0.25) * cost_class.work_ms
            if self.rng.random() < self.load.tail_share:
                work = self.load.tail_factor * cost_class.work_ms
            self.asked[ask_id] = (cost_class, now_us, work)
            if self._is_counted(now_us):
                self.result.requests += 1
            self._handle(
                self.broker.request_slot('h1', 'd1', request, now_us), now_us
            )
            second = (now_us - START_US) / SECOND_US % 13
            rate = cost_class.requests_per_s
            rate *= self.load.burst if second < 3 else 1
            pause_s = self.rng.expovariate(rate)
            self.at(now_us + int(pause_s * SECOND_US), arrive)

        return arrive

    def _handle(
        self, new_effects: list[messages.SendHost], now_us: int
    ) -> None:
        for refusal in refusals(new_effects):
            _, asked_us, _ = self.asked.pop(refusal.ask_id)
            self.result.refused += self._is_counted(asked_us)
        for grant in grants(new_effects):
            self._send(grant, now_us)

    def _send(self, grant: messages.SlotGrant, now_us: int) -> None:
        cost_class, asked_us, work_ms = self.asked.pop(grant.ask_id)
        target = int(grant.target_id[1:])
        is_failing = self._is_failing(target, (now_us - START_US) / SECOND_US)
        share = FAILING_SHARE if is_failing else self.load.error_share
        is_failed = self.rng.random() < share
        if self.load.slow_every and target % self.load.slow_every == 0:
            work_ms *= self.load.slow_factor
        timeout_us = cost_class.timeout_ms * MILLISECOND_US
        deadline_us = asked_us + cost_class.deadline_ms * MILLISECOND_US
        limit_us = min(timeout_us, deadline_us - now_us)
        latency_us = int(work_ms * MILLISECOND_US)
        if is_failed and is_failing and self.load.does_hang:
            latency_us = limit_us
        outcome = SendOutcome.SERVED
        if latency_us >= limit_us:
            latency_us, outcome = limit_us, SendOutcome.TIMED_OUT
        elif is_failed:
            latency_us, outcome = MILLISECOND_US, SendOutcome.FAILED
        self.result.sends.append(grant.target_id)
        if self._is_counted(asked_us):
            total_us = now_us + latency_us - asked_us
            is_served = outcome is SendOutcome.SERVED
            is_late = total_us > cost_class.objective_ms * MILLISECOND_US
            self.result.failed += not is_served
            self.result.late += is_served and is_late
            self.result.to_failing += is_failing
        report = messages.SlotReport(
            ask_id=grant.ask_id,
            service_name='svc',
            target_id=grant.target_id,
            started_ms=grant.started_ms,
            outcome=outcome,
            latency_us=latency_us,
            fingerprint=0,
            request_class=cost_class.request_class,
            body_bytes=cost_class.body_bytes,
        )

        def end(ended_us: int) -> None:
            self._handle(self.broker.report('h1', report, ended_us), ended_us)

        self.at(now_us + latency_us, end)

    def _sample(self, now_us: int) -> None:
        """Compare the states of the targets with what the broker believes."""
        self._handle(self.broker.tick(now_us), now_us)
        at_s = (now_us - START_US) / SECOND_US
        mean_us = int(self.broker.costs.service_mean_us)
        for index, record in enumerate(self.broker.records.values()):
            is_ejected = record.status(now_us, mean_us) is TargetStatus.EJECTED
            if not self._is_counted(now_us):
                continue
            if not self._is_failing(index, at_s, HEALTHY_FOR_S):
                self.result.healthy_samples += 1
                self.result.wrong_samples += is_ejected
            self._detect(index, record.last_grant_us, at_s, is_ejected)
        self.at(now_us + SAMPLE_INTERVAL_US, self._sample)

    def _detect(
        self, index: int, last_grant_us: int, at_s: float, is_ejected: bool
    ) -> None:
        """Time the ejection of targets that got requests while they failed."""
        for number, (start_s, stop_s) in enumerate(self.periods[index]):
            key = (index, number)
            granted_s = (last_grant_us - START_US) / SECOND_US
            if start_s <= at_s < stop_s and key not in self.undetected:
                is_first = at_s - start_s < SAMPLE_INTERVAL_US / SECOND_US
                is_known = is_first or granted_s < start_s
                if start_s < READY_S or is_ejected and is_known:
                    self.undetected[key] = -1
                elif granted_s >= start_s and is_ejected:
                    self.undetected[key] = at_s - start_s
                    self.result.detection_s.append(at_s - start_s)


def replay_costs(
    load: CostLoad, seed: int, *, uses_costs: bool = True
) -> CostReplay:
    """Play a load with or without estimates of costs."""
    costs = RequestCosts() if uses_costs else ServiceMeanCosts()
    return _Replay(load, seed, costs).run()


STATION = CostClass(1, 90, 520, 2014, 3022, 2000, kind=RequestKind.IDEMPOTENT)
RESERVATION = CostClass(2, 260, 400, 2015, 5038, 3000)
UPLOAD = CostClass(3, 31, 195, 3234, 10_721, 10_721, RequestKind.UPLOAD, 60_000)
SEAT_LOOKUP = CostClass(4, 94, 64, 579, 3436, 3436, kind=RequestKind.IDEMPOTENT)
ACCEPTANCE = CostClass(5, 287, 160, 1094, 6564, 6564)
L_RESERVATION = CostLoad(73, 6, (RESERVATION,), tail_share=0.03, burst=1.55)
L_STATION = CostLoad(33, 6, (STATION,), tail_share=0.03, burst=1.55)
P_MIXED = CostLoad(19, 2, (UPLOAD, SEAT_LOOKUP), burst=1.6)
P_ACCEPTANCE = CostLoad(71, 2, (ACCEPTANCE,), burst=1.3)
