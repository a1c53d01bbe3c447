"""Rules of outlier ejection.

The floor is the number of targets that must stay in service, whatever their
health.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from foxtailreach.config.objects import Service
from foxtailreach.core.pool.health import (
    EJECT_CONNECT_FAILURES,
    EJECT_SCORE,
    PROBATION_SCORE,
    is_pool_degraded,
)
from foxtailreach.core.pool.targets import TargetState, TargetStatus

_PERCENT = 100


def floor_targets(targets: Mapping[str, TargetState], service: Service) -> int:
    """Return the floor: how many targets must stay in service."""
    members = sum(not state.is_draining for state in targets.values())
    return math.ceil(members * service.floor_percent / _PERCENT)


def healthy_targets(targets: Mapping[str, TargetState]) -> int:
    """Count the targets that are neither ejected, probed nor drained."""
    return sum(
        state.status is TargetStatus.HEALTHY and not state.is_draining
        for state in targets.values()
    )


def may_eject(targets: Mapping[str, TargetState], service: Service) -> bool:
    """Tell whether the floor allows one more ejection."""
    return healthy_targets(targets) - 1 >= floor_targets(targets, service)


def find_ejection_cause(
    state: TargetState,
    targets: Mapping[str, TargetState],
    now_us: int,
) -> str:
    """Return the cause for which to eject a target, or ''.

    Scores are ignored while the target has no healthy peers or most of them
    got worse as well.
    """
    health = state.health
    if health.connect_failures >= EJECT_CONNECT_FAILURES:
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
    if not others or is_pool_degraded(others):
        return ''
    if health.error_detector.score >= health.latency_detector.score:
        return 'error rate'
    return 'latency'
