"""Latency histograms as Prometheus summaries."""

from __future__ import annotations

from prometheus_client.core import SummaryMetricFamily
from prometheus_client.registry import Collector

from foxtailreach.daemon.latencies import LatencyHistograms

QUANTILES = (50.0, 90.0, 99.0, 99.9)
_US_PER_S = 1_000_000
_PERCENT = 100


class LatencyCollector(Collector):
    """Exports latency histograms."""

    def __init__(self, latencies: LatencyHistograms) -> None:
        """Export what `latencies` holds at each scrape."""
        self._latencies = latencies

    def collect(self) -> list[SummaryMetricFamily]:
        """Build the Prometheus summaries."""
        family = SummaryMetricFamily(
            'foxtailreach_latency_seconds',
            'Time from the request to the last byte of its answer.',
            labels=('service', 'customer', 'quantile'),
        )
        for key, histogram in self._latencies.histograms.items():
            service, customer = key
            for quantile in QUANTILES:
                latency_us = histogram.get_value_at_percentile(quantile)
                family.add_sample(
                    'foxtailreach_latency_seconds',
                    {
                        'service': service,
                        'customer': customer,
                        'quantile': str(quantile / _PERCENT),
                    },
                    latency_us / _US_PER_S,
                )
            family.add_sample(
                'foxtailreach_latency_seconds_count',
                {'service': service, 'customer': customer},
                histogram.get_total_count(),
            )
        return [family]
