"""Decides which targets leave and re-enter service, within the floor."""

from __future__ import annotations

import math
from collections.abc import Mapping

from foxtailreach.config.objects import Service
from foxtailreach.core.pool.health import (
    EJECT_SCORE,
    HARD_FAILURES,
    PROBATION_SCORE,
    is_pool_sick,
)
from foxtailreach.core.pool.targets import TargetState, TargetStatus

_PERCENT = 100


def floor_targets(targets: Mapping[str, TargetState], service: Service) -> int:
    """Return how many targets must stay in service."""
    members = sum(not state.is_draining for state in targets.values())
    return math.ceil(members * service.floor_percent / _PERCENT)


def healthy_targets(targets: Mapping[str, TargetState]) -> int:
    """Count the targets in regular service."""
    return sum(
        state.status is TargetStatus.HEALTHY and not state.is_draining
        for state in targets.values()
    )


def may_eject(targets: Mapping[str, TargetState], service: Service) -> bool:
    """Tell whether the floor allows one ejection more."""
    return healthy_targets(targets) - 1 >= floor_targets(targets, service)


def should_eject(
    state: TargetState,
    targets: Mapping[str, TargetState],
    now_us: int,
) -> str:
    """Return the cause for which a target should be ejected, or ''."""
    health = state.health
    if health.hard_failures >= HARD_FAILURES:
        return 'connection failures'
    threshold = EJECT_SCORE
    if state.is_on_probation(now_us):
        threshold = PROBATION_SCORE
    if health.score < threshold:
        return ''
    others = [
        other.health
        for other in targets.values()
        if other is not state and other.status is TargetStatus.HEALTHY
    ]
    if not others or is_pool_sick(others):
        return ''
    if health.errors.score >= health.slow.score:
        return 'error rate'
    return 'latency'
