"""Metrics of one gateway host."""

from __future__ import annotations

import importlib
from collections import Counter
from collections.abc import Mapping

from foxtailreach.core.verdict import Verdict
from foxtailreach.daemon.latencies import LatencyHistograms
from foxtailreach.gateway.http_types import (
    AttemptTrace,
    CallerAnswer,
    RequestTrace,
)

EXPORT_MODULE = 'foxtailreach.gateway.metrics_page'


class GatewayMetrics:
    """Counts answered requests and attempts.

    `requests` counts by verdict, status and reason, `sends` by service and
    outcome, `notices` the answers by service and what the target says.
    """

    __slots__ = ('latencies', 'notices', 'requests', 'sends')

    def __init__(self) -> None:
        """Start with no counts."""
        self.latencies = LatencyHistograms()
        self.requests: Counter[tuple[str, str, str]] = Counter()
        self.sends: Counter[tuple[str, str]] = Counter()
        self.notices: Counter[tuple[str, str]] = Counter()

    def record(
        self,
        trace: RequestTrace,
        answer: CallerAnswer,
        latency_us: int,
    ) -> None:
        """Count one answered request and its attempts.

        `latency_us` is recorded for requests that a target ran.
        """
        reason = '' if answer.reason is None else answer.reason.value
        self.requests[answer.verdict.value, str(answer.status), reason] += 1
        for attempt in trace.attempts:
            self.sends[trace.service, attempt.outcome.value] += 1
            self._count_notice(trace.service, attempt)
        if answer.verdict is Verdict.RAN:
            self.latencies.record(trace.service, trace.customer, latency_us)

    def _count_notice(self, service: str, attempt: AttemptTrace) -> None:
        if attempt.said.is_leaving:
            self.notices[service, 'leaving'] += 1
        if attempt.said.pause_us:
            self.notices[service, 'pause'] += 1

    def render(self, gauges: Mapping[str, float]) -> bytes:
        """Return the metrics in the Prometheus text format.

        The library for it is loaded at the first scrape, so that a host starts
        faster.
        """
        page = importlib.import_module(EXPORT_MODULE)
        rendered: bytes = page.render(self, gauges)
        return rendered
