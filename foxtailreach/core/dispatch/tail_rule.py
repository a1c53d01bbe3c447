"""Decides whether a long request is evidence against its target.

Where a learned share of the requests takes several times the mean, one long
request at a target that serves later ones in time ejects nothing.
"""

from __future__ import annotations

from typing import NamedTuple

from foxtailreach.core.dispatch.messages import SendOutcome, SlotReport
from foxtailreach.core.dispatch.request_costs import (
    TAIL_SHARE,
    CostEstimate,
    RequestCosts,
)
from foxtailreach.core.dispatch.target_load import (
    LONG_TIMEOUT_FACTOR,
    SLOW_FACTOR,
    LongRequest,
)
from foxtailreach.core.dispatch.target_record import TargetRecord

_FAILURES = frozenset(
    (SendOutcome.FAILED, SendOutcome.LOST, SendOutcome.MISDIRECTED),
)


class CostSample(NamedTuple):
    """Estimated and actual service time of one served request."""

    request_class: int = 0
    estimated_us: int = 0
    actual_us: int = 0


class TailRule:
    """Learns costs from the reports of a service, and judges long requests.

    `spared` counts the long requests that did not eject their target, `sample`
    is the last request that was served.
    """

    __slots__ = ('sample', 'spared')

    def __init__(self) -> None:
        """Start without reports."""
        self.spared = 0
        self.sample = CostSample()

    def apply(
        self,
        record: TargetRecord,
        costs: RequestCosts,
        report: SlotReport,
        now_us: int,
    ) -> None | bool:
        """Learn from a report.

        Return whether its request was slow, or None if the report says nothing
        of the health of its target.
        """
        match report.outcome:
            case SendOutcome.SERVED | SendOutcome.TIMED_OUT:
                return self._apply_timed(record, costs, report, now_us)
            case failure if failure in _FAILURES:
                record.load.record_failed()
        return False

    def _apply_timed(
        self,
        record: TargetRecord,
        costs: RequestCosts,
        report: SlotReport,
        now_us: int,
    ) -> None | bool:
        estimate = costs.estimate(report.request_class, report.body_bytes)
        is_served = report.outcome is SendOutcome.SERVED
        mean_us = estimate.mean_us if costs.is_active else costs.service_mean_us
        is_slow = is_served and report.latency_us > SLOW_FACTOR * mean_us
        if record.is_warming_up(now_us):
            return is_slow
        if is_served:
            self.sample = CostSample(
                report.request_class, estimate.mean_us, report.latency_us
            )
            costs.record_service_time(report.latency_us)
        if is_served and not is_slow:
            _record_in_time(record, costs, report, now_us)
        elif is_slow or report.latency_us > LONG_TIMEOUT_FACTOR * mean_us:
            return self._apply_long(record, report, estimate, now_us)
        return is_slow

    def _apply_long(
        self,
        record: TargetRecord,
        report: SlotReport,
        estimate: CostEstimate,
        now_us: int,
    ) -> None | bool:
        is_unusual = record.load.record_long(
            LongRequest(
                now_us - report.latency_us,
                now_us,
                report.request_class,
                report.body_bytes,
                estimate.tail_share,
            ),
            now_us,
        )
        if is_unusual or estimate.tail_share < TAIL_SHARE:
            return report.outcome is SendOutcome.SERVED
        self.spared += 1
        return None


def _record_in_time(
    record: TargetRecord,
    costs: RequestCosts,
    report: SlotReport,
    now_us: int,
) -> None:
    costs.record(
        report.request_class,
        report.body_bytes,
        report.latency_us,
        report.target_id,
        report.answer_bytes,
    )
    for long in record.load.record_served(now_us - report.latency_us):
        costs.record_long(
            long.request_class,
            long.body_bytes,
            long.ended_us - long.sent_us,
        )
