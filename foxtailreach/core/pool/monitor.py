"""Outlier ejection of a pool's targets, and their return to service."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from foxtailreach.config.objects import Service
from foxtailreach.core import effects
from foxtailreach.core.events import AttemptOutcome
from foxtailreach.core.pool import ejection
from foxtailreach.core.pool.attempts import Attempt
from foxtailreach.core.pool.health import (
    MAX_LEVEL,
    PeerComparison,
    is_pool_degraded,
    slow_level,
)
from foxtailreach.core.pool.targets import TargetState, TargetStatus
from foxtailreach.core.units import MILLISECOND_US

REFRESH_INTERVAL_US = 100 * MILLISECOND_US
SERVICE_TIME_GAIN = 0.05
DEFAULT_SERVICE_TIME_US = 20 * MILLISECOND_US
MIN_HANG_US = 1200 * MILLISECOND_US
MIN_HANG_LEVEL = 5
MAX_PROBING_SCORE = 2.5

Effects = list[effects.Effect]


class PoolMonitor:
    """Ejects and restores targets by the outcomes of their attempts."""

    __slots__ = (
        '_comparison',
        '_next_refresh_us',
        '_targets',
        'mean_service_us',
        'service',
    )

    def __init__(
        self,
        service: Service,
        targets: Mapping[str, TargetState],
        now_us: int,
    ) -> None:
        """Monitor `targets`, a live view of the owner's targets."""
        self.service = service
        self.mean_service_us = float(DEFAULT_SERVICE_TIME_US)
        self._targets = targets
        self._comparison = PeerComparison()
        self._next_refresh_us = now_us

    def record_answer(self, attempt: Attempt, now_us: int) -> None:
        """Record the status and latency of an answer that has begun."""
        state = attempt.state
        state.health.connect_failures = 0
        if attempt.is_shed:
            state.slow_start.record_overload(now_us)
            return
        state.health.record_result(failed=attempt.is_failed)
        if not attempt.is_failed and attempt.is_comparable:
            self._record_latency(attempt, now_us)

    def record_failure(
        self,
        attempt: Attempt,
        outcome: AttemptOutcome,
        now_us: int,
    ) -> None:
        """Record an attempt that ended without a complete answer."""
        match outcome:
            case AttemptOutcome.CONNECT_FAILED:
                attempt.state.record_connect_failure(now_us)
            case AttemptOutcome.PARTIAL | AttemptOutcome.TIMEOUT:
                attempt.state.health.record_result(failed=True)
            case _:
                return

    def tick(self, attempts: Collection[Attempt], now_us: int) -> Effects:
        """Refresh the reference latencies, eject targets, start probing."""
        if now_us < self._next_refresh_us:
            return []
        self._next_refresh_us = now_us + REFRESH_INTERVAL_US
        self._refresh()
        for attempt in attempts:
            self._count_overdue(attempt, now_us)
        new_effects = self._restore_to_floor(now_us)
        for state in self._targets.values():
            new_effects.extend(self.eject_if_due(state, attempts, now_us))
            is_due = now_us >= state.retry_at_us
            if state.status is TargetStatus.EJECTED and is_due:
                state.start_probing()
        return new_effects

    def eject_if_due(
        self,
        state: TargetState,
        attempts: Collection[Attempt],
        now_us: int,
    ) -> Effects:
        """Eject a target if there is a cause and the floor allows it.

        The floor does not protect a target that is being probed, because it
        is not counted as healthy.
        """
        if state.status is TargetStatus.EJECTED or state.is_draining:
            return []
        cause = self._find_cause(state, attempts, now_us)
        if not cause:
            return []
        is_probing = state.status is TargetStatus.PROBING
        if not is_probing and not ejection.may_eject(
            self._targets, self.service
        ):
            return []
        state.eject(now_us)
        return [effects.Note('target-ejected', state.name, cause)]

    def _refresh(self) -> None:
        healths = {
            name: state.health
            for name, state in self._targets.items()
            if state.status is TargetStatus.HEALTHY
        }
        if len(healths) > 1 and is_pool_degraded(healths.values()):
            for health in healths.values():
                health.reset_baseline()
        self._comparison.refresh(healths)

    def _restore_to_floor(self, now_us: int) -> Effects:
        """Restore targets up to the floor after others left the pool.

        Those with the lowest score come first.
        """
        floor = ejection.floor_targets(self._targets, self.service)
        missing = floor - ejection.healthy_targets(self._targets)
        if missing <= 0:
            return []
        ejected = sorted(
            (
                state
                for state in self._targets.values()
                if state.status is not TargetStatus.HEALTHY
                and not state.is_draining
            ),
            key=lambda state: state.health.score,
        )
        new_effects: Effects = []
        for state in ejected[:missing]:
            state.restore(self.service, now_us)
            new_effects.append(
                effects.Note('target-restored', state.name, 'floor')
            )
        return new_effects

    def _find_cause(
        self,
        state: TargetState,
        attempts: Collection[Attempt],
        now_us: int,
    ) -> str:
        if state.status is TargetStatus.PROBING:
            health = state.health
            is_failing = (
                health.connect_failures or health.score > MAX_PROBING_SCORE
            )
            return 'failed trial' if is_failing else ''
        if self._is_hung(state, attempts, now_us):
            return 'no answers'
        return ejection.find_ejection_cause(state, self._targets, now_us)

    def _record_latency(self, attempt: Attempt, now_us: int) -> None:
        state = attempt.state
        latency_us = now_us - attempt.started_us
        level = self._slow_level(attempt, now_us)
        if level:
            _count_slow(attempt, level)
        else:
            state.health.record_fast()
        state.health.add_sample(attempt.duration, latency_us)
        self.mean_service_us += SERVICE_TIME_GAIN * (
            latency_us - self.mean_service_us
        )
        if state.status is TargetStatus.PROBING and not level:
            state.record_probe_success(self.service, now_us)
        state.slow_start.record_success(now_us)

    def _slow_level(self, attempt: Attempt, now_us: int) -> int:
        reference_us = self._comparison.reference_us(
            attempt.state.name,
            attempt.duration,
        )
        if reference_us is None:
            return 0
        return slow_level(now_us - attempt.started_us, reference_us)

    def _count_overdue(self, attempt: Attempt, now_us: int) -> None:
        """Count the latency levels that a pending answer already reached."""
        if attempt.is_relayed or not attempt.is_comparable:
            return
        _count_slow(attempt, self._slow_level(attempt, now_us))

    def _is_hung(
        self,
        state: TargetState,
        attempts: Collection[Attempt],
        now_us: int,
    ) -> bool:
        """Tell whether all allowed requests of a target are far overdue."""
        waiting = [
            attempt
            for attempt in attempts
            if attempt.state is state and not attempt.is_relayed
        ]
        if len(waiting) < max(1, state.allowed):
            return False
        return all(
            now_us - attempt.started_us >= MIN_HANG_US
            and self._slow_level(attempt, now_us) >= MIN_HANG_LEVEL
            for attempt in waiting
        )


def _count_slow(attempt: Attempt, level: int) -> None:
    while attempt.slow_level < min(level, MAX_LEVEL):
        attempt.slow_level += 1
        attempt.state.health.record_slow_level(attempt.slow_level)
