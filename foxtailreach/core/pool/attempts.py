"""Attempts to run a request on a target."""

from __future__ import annotations

from dataclasses import dataclass

from foxtailreach.core.events import AttemptOutcome
from foxtailreach.core.pool.queue import Job
from foxtailreach.core.pool.targets import TargetState
from foxtailreach.core.verdict import Reason, Verdict


@dataclass(slots=True, eq=False)
class Attempt:
    """A request that was sent, or is being sent, to a target.

    `is_shed` means that the target refused it with a shed status of its
    service. `slow_level` is the highest latency level counted so far.
    """

    attempt_id: int
    job: Job
    state: TargetState
    started_us: int
    is_failed: bool = False
    is_shed: bool = False
    is_retryable: bool = False
    is_relayed: bool = False
    is_cancelled: bool = False
    slow_level: int = 0

    @property
    def duration(self) -> str:
        """Duration class of the request's route."""
        return self.job.handoff.duration

    @property
    def is_comparable(self) -> bool:
        """Whether the latency can be compared with that of other targets.

        The latency of a streamed request also depends on the caller.
        """
        return not self.job.handoff.head.is_streamed

    @property
    def report_id(self) -> str:
        """Fleet-wide unique identifier of a crash report on this attempt."""
        return f'{self.job.request_id}/{self.attempt_id}'

    def verdict(self, *, was_sent: bool) -> Verdict:
        """Tell whether the target may have run the request."""
        if self.is_shed or not was_sent:
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN

    def reason(self, outcome: AttemptOutcome) -> Reason:
        """Return why the attempt produced no complete answer."""
        if self.is_shed:
            return Reason.OVERLOAD
        if self.is_cancelled:
            return Reason.CANCELLED
        if outcome is AttemptOutcome.TIMEOUT:
            return Reason.DEADLINE
        return Reason.TARGET_FAILED
