"""Prometheus metrics of one gateway host."""

from __future__ import annotations

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    generate_latest,
)

from foxtailreach.core.verdict import Verdict
from foxtailreach.daemon.latencies import LatencyCollector
from foxtailreach.gateway.http_types import CallerAnswer, RequestTrace


class GatewayMetrics:
    """Metrics in a separate registry."""

    def __init__(self) -> None:
        """Register all metrics."""
        registry = CollectorRegistry()
        self._registry = registry
        self._latencies = LatencyCollector()
        registry.register(self._latencies)
        self._requests = Counter(
            'foxtailreach_requests',
            'Answered requests by verdict, status and reason.',
            ('verdict', 'status', 'reason'),
            registry=registry,
        )
        self._sends = Counter(
            'foxtailreach_sends',
            'Requests sent to targets by service and outcome.',
            ('service', 'outcome'),
            registry=registry,
        )
        self.gauge = Gauge(
            'foxtailreach_state',
            'Ages in microseconds, counts and queue lengths of this host.',
            ('name',),
            registry=registry,
        )

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
        self._requests.labels(answer.verdict, answer.status, reason).inc()
        for attempt in trace.attempts:
            self._sends.labels(trace.service, attempt.outcome).inc()
        if answer.verdict is Verdict.RAN:
            self._latencies.record(trace.service, trace.customer, latency_us)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self._registry)
