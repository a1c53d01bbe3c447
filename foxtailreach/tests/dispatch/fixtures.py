"""Builders of brokers, messages and failure periods for tests."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.broker import Broker
from foxtailreach.core.dispatch.budgets import RetryPolicy
from foxtailreach.core.dispatch.deployment import (
    RequestKind,
    ServiceSpec,
    TargetSpec,
)
from foxtailreach.core.dispatch.messages import SendOutcome
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

SERVICE = ServiceSpec('svc', 360, 3 * SECOND_US, 2.6)
RETRY_POLICY = RetryPolicy(ratio=0.1, window_us=10 * SECOND_US, slack=30)
START_US = 100 * SECOND_US


def spec(index: int, **changes: object) -> TargetSpec:
    """Describe the target with this index."""
    base = TargetSpec(f't{index}', 'svc', 'd1', '10.0.0.1', 8000 + index, 2)
    return replace(base, **changes)  # type: ignore[arg-type]


def slot_request(ask_id: int, **changes: object) -> messages.SlotRequest:
    """Build a request for a slot."""
    base = messages.SlotRequest(
        ask_id=ask_id,
        service_name='svc',
        kind=RequestKind.AT_MOST_ONCE,
        priority=1,
        time_left_us=2500 * MILLISECOND_US,
        objective_left_us=800 * MILLISECOND_US,
        is_repeat=False,
        may_repeat=False,
        is_surplus=False,
        fingerprint=0,
    )
    return replace(base, **changes)  # type: ignore[arg-type]


def create_broker(
    targets: int = 4, now_us: int = START_US, **changes: object
) -> Broker:
    """Create a broker with targets that are ready for requests."""
    broker = Broker(SERVICE, RETRY_POLICY, random.Random(1), now_us)
    broker.update_targets(
        SERVICE,
        [spec(index, **changes) for index in range(targets)],
        frozenset(),
        now_us,
    )
    return broker


def slot_report(
    grant: messages.SlotGrant,
    outcome: SendOutcome = SendOutcome.SERVED,
    latency_us: int = 220 * MILLISECOND_US,
    fingerprint: int = 0,
) -> messages.SlotReport:
    """Build the report on a granted request."""
    return messages.SlotReport(
        ask_id=grant.ask_id,
        service_name='svc',
        target_id=grant.target_id,
        started_ms=grant.started_ms,
        outcome=outcome,
        latency_us=latency_us,
        fingerprint=fingerprint,
    )


def grants(new_effects: list[messages.SendHost]) -> list[messages.SlotGrant]:
    """Return the grants among new effects."""
    return [
        effect.message
        for effect in new_effects
        if isinstance(effect.message, messages.SlotGrant)
    ]


def refusals(
    new_effects: list[messages.SendHost],
) -> list[messages.SlotRefused]:
    """Return the refusals among new effects."""
    return [
        effect.message
        for effect in new_effects
        if isinstance(effect.message, messages.SlotRefused)
    ]


@dataclass(slots=True)
class FailurePeriods:
    """Draws the failure periods of targets.

    Healthy and failing times are exponentially distributed.
    """

    mean_healthy_s: float
    mean_failing_s: float
    rng: random.Random
    horizon_s: float

    def draw(self, targets: int) -> list[list[tuple[float, float]]]:
        """Return start and end of each target's failure periods, in seconds."""
        result = []
        for _ in range(targets):
            start_s = self.rng.uniform(
                -self.mean_healthy_s,
                self.mean_healthy_s,
            )
            periods = []
            while start_s < self.horizon_s:
                end_s = start_s + self.rng.expovariate(1 / self.mean_failing_s)
                periods.append((start_s, end_s))
                start_s = end_s + self.rng.expovariate(1 / self.mean_healthy_s)
            result.append(periods)
        return result
