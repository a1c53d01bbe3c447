"""The owner of a pool: queues requests and assigns them to targets.

All slots, cold starts, ejections and retries of a pool are decided in this
one place. Methods never block; they return effects for the host to carry
out.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

from foxtailreach.config.objects import Service, Target
from foxtailreach.core import effects, messages
from foxtailreach.core.budget import RetryBudget
from foxtailreach.core.crashes import CrashTracker
from foxtailreach.core.events import AttemptOutcome
from foxtailreach.core.pool.attempts import Attempt
from foxtailreach.core.pool.backlog import Backlog
from foxtailreach.core.pool.monitor import PoolMonitor
from foxtailreach.core.pool.queue import Job
from foxtailreach.core.pool.targets import TargetState, TargetStatus
from foxtailreach.core.units import MILLISECOND_US
from foxtailreach.core.verdict import Reason, Verdict, may_resend

SERVER_ERROR = 500
MAX_SKIPPED_JOBS = 8

Effects = list[effects.Effect]


class PoolOwner:
    """Schedules requests on the targets of one service in one domain.

    It starts no attempts before `activates_at_us` or while `is_suspended`.
    `is_closing` marks a pool that this host no longer owns and whose running
    requests have yet to finish.
    """

    __slots__ = (
        '_attempts',
        '_backlog',
        '_budget',
        '_crashes',
        '_jobs',
        '_monitor',
        '_next_attempt_id',
        '_rng',
        'activates_at_us',
        'is_active',
        'is_closing',
        'is_suspended',
        'pool_id',
        'service',
        'targets',
    )

    def __init__(
        self,
        pool_id: str,
        service: Service,
        crashes: CrashTracker,
        next_attempt_id: Callable[[], int],
        rng: random.Random,
        now_us: int,
    ) -> None:
        """Create the owner of an empty pool; see `update_targets`."""
        self.pool_id = pool_id
        self.service = service
        self.targets: dict[str, TargetState] = {}
        self.activates_at_us = now_us
        self.is_active = False
        self.is_closing = False
        self.is_suspended = False
        self._crashes = crashes
        self._next_attempt_id = next_attempt_id
        self._rng = rng
        self._attempts: dict[int, Attempt] = {}
        self._jobs: dict[str, Job] = {}
        self._backlog = Backlog()
        self._budget = RetryBudget(now_us)
        self._monitor = PoolMonitor(service, self.targets, now_us)

    @property
    def slots(self) -> int:
        """Number of concurrent requests that the targets may run now."""
        return sum(state.allowed for state in self.targets.values())

    @property
    def free_slots(self) -> int:
        """Number of slots without a request."""
        return sum(
            max(0, state.unused_slots) for state in self.targets.values()
        )

    @property
    def queued(self) -> int:
        """Number of jobs that wait for a slot."""
        return len(self._backlog)

    @property
    def is_idle(self) -> bool:
        """Whether no request is queued or running."""
        return not self._attempts and not self.queued

    def load(self) -> messages.PoolLoad:
        """Return the pool's load, for entry hosts and other owners."""
        return messages.PoolLoad(
            pool_id=self.pool_id,
            slots=self.slots if self.is_active else 0,
            busy=len(self._attempts),
            queued=self.queued,
            service_us=int(self._monitor.mean_service_us),
            age_us=0,
        )

    def update_targets(
        self,
        service: Service,
        targets: Mapping[str, Target],
        now_us: int,
    ) -> Effects:
        """Adopt the configured targets.

        Targets that are no longer configured are drained: they finish their
        running requests and get no new ones.
        """
        self.service = service
        self._monitor.service = service
        for name, target in targets.items():
            self._update_target(name, target, now_us)
        for name, state in self.targets.items():
            if name not in targets:
                state.is_draining = True
        self._drop_drained()
        return self._dispatch(now_us)

    def adopt_allowances(
        self,
        allowances: tuple[messages.TargetAllowance, ...],
        now_us: int,
    ) -> Effects:
        """Take over the allowances that the former owner handed over."""
        for allowance in allowances:
            state = self.targets.get(allowance.target)
            if state is None:
                continue
            state.inherited_in_flight = allowance.in_flight
            if not self.is_active:
                state.slow_start.reset(allowance.allowed, 0, now_us)
        self.activates_at_us = min(self.activates_at_us, now_us)
        return self._dispatch(now_us)

    def clear_inherited_in_flight(self) -> None:
        """Stop counting requests that the previous owner had running."""
        for state in self.targets.values():
            state.inherited_in_flight = 0

    def allowances(self) -> tuple[messages.TargetAllowance, ...]:
        """Return the allowances of the healthy targets for the next owner."""
        return tuple(
            messages.TargetAllowance(name, state.allowed, state.in_flight)
            for name, state in self.targets.items()
            if state.status is TargetStatus.HEALTHY
        )

    def submit(self, handoff: messages.Handoff, now_us: int) -> Effects:
        """Queue a request, or refuse it at once.

        It is refused if it is quarantined or past its deadline, if the pool
        has no slots or starts too late, or if the request would wait in the
        queue for longer than it may.
        """
        job = self._create_job(handoff, now_us)
        if self._crashes.is_quarantined(handoff.fingerprint):
            return [self._refuse(job, Reason.QUARANTINED)]
        if job.deadline_us <= now_us:
            return [self._refuse(job, Reason.DEADLINE)]
        if not self.slots or self.activates_at_us > job.expires_us:
            return [self._refuse(job, Reason.NO_TARGET)]
        wait_us = self.estimate_wait_us(handoff.customer, handoff.weight)
        if now_us + wait_us > job.expires_us:
            return [self._refuse(job, Reason.OVERLOAD, int(wait_us))]
        self._budget.record_request()
        self._jobs[job.request_id] = job
        self._backlog.push(job)
        return self._dispatch(now_us)

    def estimate_wait_us(self, customer: str, weight: int) -> float:
        """Estimate how long one more request of `customer` would queue."""
        slots = self.slots
        if self.free_slots > self.queued:
            return 0
        ahead = self._backlog.estimate_jobs_ahead(customer, weight)
        return ahead * self._monitor.mean_service_us / slots

    def cancel(self, request_id: str, now_us: int) -> Effects:
        """Cancel a request whose caller has disconnected."""
        job = self._jobs.get(request_id)
        if job is None:
            return []
        if job.is_queued:
            self._backlog.remove(job)
            return [self._finish(job, Verdict.NOT_RUN, Reason.CANCELLED)]
        return [
            self._cancel_attempt(attempt)
            for attempt in self._attempts.values()
            if attempt.job is job
        ]

    def attempt_head(
        self,
        attempt_id: int,
        status: int,
        now_us: int,
    ) -> Effects:
        """Relay the answer that has begun, or abort it for a retry."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return []
        attempt.is_shed = status in self.service.shed_statuses
        attempt.is_failed = not attempt.is_shed and status >= SERVER_ERROR
        if not attempt.is_cancelled:
            self._monitor.record_answer(attempt, now_us)
        verdict = attempt.verdict(was_sent=True)
        is_failure = attempt.is_shed or attempt.is_failed
        if is_failure and self._can_retry(attempt.job, verdict, now_us):
            attempt.is_retryable = True
        if attempt.is_shed or attempt.is_retryable or attempt.is_cancelled:
            return [effects.CancelAttempt(attempt_id)]
        attempt.is_relayed = True
        return [
            effects.RelayAnswer(attempt_id),
            *self._withdraw_crash_report(attempt, now_us),
        ]

    def attempt_ended(
        self,
        attempt_id: int,
        outcome: AttemptOutcome,
        now_us: int,
        *,
        was_sent: bool,
    ) -> Effects:
        """Record how an attempt ended, then dispatch queued jobs."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return []
        attempt.state.in_flight -= 1
        self._backlog.record_end(attempt.job)
        self._drop_drained()
        self._monitor.record_failure(attempt, outcome, now_us)
        attempts = self._attempts.values()
        return [
            *self._report_if_crashed(attempt, outcome, now_us),
            *self._finish_or_retry(attempt, outcome, now_us, was_sent=was_sent),
            *self._monitor.eject_if_due(attempt.state, attempts, now_us),
            *self._dispatch(now_us),
        ]

    def tick(self, now_us: int) -> Effects:
        """Expire queued jobs, check the targets and dispatch."""
        new_effects: Effects = [
            self._finish(job, Verdict.NOT_RUN, Reason.OVERLOAD)
            for job in self._backlog.pop_expired(now_us)
        ]
        attempts = self._attempts.values()
        new_effects.extend(self._monitor.tick(attempts, now_us))
        return [*new_effects, *self._dispatch(now_us)]

    def refuse_queued(self) -> Effects:
        """Refuse all queued jobs so that their origins retry elsewhere."""
        return [
            self._finish(job, Verdict.NOT_RUN, Reason.NOT_OWNER)
            for job in self._backlog.drain()
        ]

    def _update_target(self, name: str, target: Target, now_us: int) -> None:
        state = self.targets.get(name)
        if state is None:
            state = TargetState.from_config(name, target, self.service, now_us)
            self.targets[name] = state
        elif state.target.generation != target.generation or state.is_draining:
            state.start_cold(self.service, now_us)
        if state.slow_start.slots != target.slots:
            state.slow_start.resize(target.slots)
        state.target = target
        state.is_draining = target.state == 'draining'

    def _drop_drained(self) -> None:
        for name, state in list(self.targets.items()):
            if state.is_draining and not state.in_flight:
                self.targets.pop(name)

    def _create_job(self, handoff: messages.Handoff, now_us: int) -> Job:
        deadline_us = now_us + handoff.deadline_left_us
        return Job(
            handoff=handoff,
            enqueued_us=now_us,
            deadline_us=deadline_us,
            expires_us=min(deadline_us, now_us + handoff.queue_left_us),
            retries_left=handoff.retries_left,
        )

    def _dispatch(self, now_us: int) -> Effects:
        new_effects: Effects = []
        self.is_active = now_us >= self.activates_at_us
        if not self.is_active or self.is_suspended or not self.queued:
            return new_effects
        skipped: list[Job] = []
        while len(skipped) < MAX_SKIPPED_JOBS:
            job = self._backlog.pop() if self.free_slots > 0 else None
            if job is None:
                break
            state = self._pick_target(job, now_us)
            if state is None:
                skipped.append(job)
            else:
                new_effects.append(self._start(job, state, now_us))
        for job in skipped:
            self._backlog.put_back(job)
        return new_effects

    def _pick_target(self, job: Job, now_us: int) -> TargetState | None:
        candidates = [
            state
            for state in self.targets.values()
            if state.unused_slots > 0 and self._is_eligible(state, job, now_us)
        ]
        if not candidates:
            return None
        chosen = min(candidates, key=_dispatch_order)
        chosen.start_cold_if_idle(self.service, now_us)
        return chosen

    def _is_eligible(self, state: TargetState, job: Job, now_us: int) -> bool:
        if state.name in job.excluded or state.is_paused(now_us):
            return False
        if state.status is TargetStatus.PROBING:
            return job.handoff.idempotent
        return True

    def _start(
        self,
        job: Job,
        state: TargetState,
        now_us: int,
    ) -> effects.StartAttempt:
        attempt = Attempt(self._next_attempt_id(), job, state, now_us)
        self._attempts[attempt.attempt_id] = attempt
        state.in_flight += 1
        self._backlog.record_start(job)
        return effects.StartAttempt(
            attempt_id=attempt.attempt_id,
            head=job.handoff.head,
            customer=job.handoff.customer,
            origin=job.handoff.origin,
            target=state.name,
            address=str(state.target.address),
            port=state.target.port,
            deadline_us=job.deadline_us,
            must_connect=not job.handoff.idempotent,
        )

    def _report_if_crashed(
        self,
        attempt: Attempt,
        outcome: AttemptOutcome,
        now_us: int,
    ) -> Effects:
        if outcome is not AttemptOutcome.CONNECTION_LOST:
            return []
        fingerprint = attempt.job.handoff.fingerprint
        if not self._crashes.is_suspect(fingerprint):
            attempt.state.health.record_result(failed=True)
        report = self._crashes.report_crash(
            fingerprint,
            attempt.state.name,
            attempt.report_id,
            now_us,
        )
        return [effects.SpreadGossip(report)]

    def _withdraw_crash_report(self, attempt: Attempt, now_us: int) -> Effects:
        fingerprint = attempt.job.handoff.fingerprint
        if not self._crashes.is_suspect(fingerprint):
            return []
        report_id = attempt.report_id
        report = self._crashes.withdraw(fingerprint, report_id, now_us)
        return [effects.SpreadGossip(report)]

    def _finish_or_retry(
        self,
        attempt: Attempt,
        outcome: AttemptOutcome,
        now_us: int,
        *,
        was_sent: bool,
    ) -> Effects:
        job = attempt.job
        if outcome is AttemptOutcome.COMPLETE and attempt.is_relayed:
            return [self._finish(job, Verdict.RAN, None)]
        verdict = attempt.verdict(was_sent=was_sent)
        if verdict is not Verdict.NOT_RUN:
            job.may_have_run = True
        if attempt.is_retryable:
            return self._retry(attempt, now_us)
        is_final = attempt.is_relayed or attempt.is_cancelled or attempt.is_shed
        if not is_final and self._can_retry(job, verdict, now_us):
            return self._retry(attempt, now_us)
        return [self._finish(job, verdict, attempt.reason(outcome))]

    def _can_retry(self, job: Job, verdict: Verdict, now_us: int) -> bool:
        """Tell whether to retry a job; if so, spend a token of the budget."""
        handoff = job.handoff
        if self._crashes.is_quarantined(handoff.fingerprint):
            return False
        if handoff.head.is_streamed or job.retries_left <= 0:
            return False
        if now_us >= job.deadline_us:
            return False
        if not may_resend(verdict, idempotent=handoff.idempotent):
            return False
        return self._budget.spend_retry(now_us)

    def _retry(self, attempt: Attempt, now_us: int) -> Effects:
        job = attempt.job
        job.retries_left -= 1
        job.excluded.add(attempt.state.name)
        if not self._has_alternative(job):
            return [self._finish(job, Verdict.NOT_RUN, Reason.NO_TARGET)]
        max_queue_us = self.service.max_queue_ms * MILLISECOND_US
        job.expires_us = min(job.deadline_us, now_us + max_queue_us)
        self._backlog.push_front(job)
        return []

    def _has_alternative(self, job: Job) -> bool:
        return any(
            state.allowed > 0 and name not in job.excluded
            for name, state in self.targets.items()
        )

    def _finish(
        self,
        job: Job,
        verdict: Verdict,
        reason: Reason | None,
        retry_after_us: int = 0,
    ) -> effects.Effect:
        self._jobs.pop(job.request_id, None)
        if job.may_have_run and verdict is Verdict.NOT_RUN:
            verdict = Verdict.MAY_HAVE_RUN
        return effects.SendPeer(
            job.handoff.origin,
            messages.HandoffResult(
                request_id=job.request_id,
                verdict=verdict,
                reason=reason,
                retry_after_us=retry_after_us,
                loads=(self.load(),),
            ),
        )

    def _refuse(
        self,
        job: Job,
        reason: Reason,
        retry_after_us: int = 0,
    ) -> effects.Effect:
        return self._finish(job, Verdict.NOT_RUN, reason, retry_after_us)

    def _cancel_attempt(self, attempt: Attempt) -> effects.Effect:
        attempt.is_cancelled = True
        return effects.CancelAttempt(attempt.attempt_id)


def _dispatch_order(state: TargetState) -> tuple[bool, bool, int, int]:
    """Return the sort key of a target; the lowest gets the next request.

    Suspect targets come last and probed ones before them; then the fewest
    requests in flight and the longest unused decide. Equally loaded targets
    take turns, so that a cold or slow target keeps getting the requests that
    finish its slow start or reveal that it is slow.
    """
    is_regular = state.status is TargetStatus.HEALTHY
    return (
        state.is_suspect,
        not is_regular,
        state.in_flight,
        state.last_used_us,
    )
