"""The metrics of one gateway host in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from foxtailreach.daemon.latency_collector import LatencyCollector
from foxtailreach.gateway.metrics import GatewayMetrics


def render(metrics: GatewayMetrics, gauges: Mapping[str, float]) -> bytes:
    """Return all metrics as text."""
    registry = CollectorRegistry()
    registry.register(LatencyCollector(metrics.latencies))
    registry.register(_CountCollector(metrics, gauges))
    return generate_latest(registry)


class _CountCollector(Collector):
    """Exports counts and gauges."""

    def __init__(
        self, metrics: GatewayMetrics, gauges: Mapping[str, float]
    ) -> None:
        self._metrics = metrics
        self._gauges = gauges

    def collect(self) -> Iterator[Metric]:
        """Build the Prometheus counters and gauges."""
        requests = CounterMetricFamily(
            'foxtailreach_requests',
            'Answered requests by verdict, status and reason.',
            labels=('verdict', 'status', 'reason'),
        )
        for request_labels, count in self._metrics.requests.items():
            requests.add_metric(request_labels, count)
        yield requests
        sends = CounterMetricFamily(
            'foxtailreach_sends',
            'Requests sent to targets by service and outcome.',
            labels=('service', 'outcome'),
        )
        for send_labels, count in self._metrics.sends.items():
            sends.add_metric(send_labels, count)
        yield sends
        notices = CounterMetricFamily(
            'foxtailreach_target_notices',
            'Answers in which a target says that it leaves or wants a pause.',
            labels=('service', 'notice'),
        )
        for notice_labels, count in self._metrics.notices.items():
            notices.add_metric(notice_labels, count)
        yield notices
        state = GaugeMetricFamily(
            'foxtailreach_state',
            'Ages in microseconds, counts and queue lengths of this host.',
            labels=('name',),
        )
        for name, gauge in self._gauges.items():
            state.add_metric((name,), gauge)
        yield state
