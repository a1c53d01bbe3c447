"""Latency histograms, exported as Prometheus summaries."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram
from prometheus_client.core import SummaryMetricFamily
from prometheus_client.registry import Collector

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
_US_PER_S = 1_000_000
_PERCENT = 100

LatencyKey = tuple[str, str]


class LatencyCollector(Collector):
    """Keeps a latency histogram for each service and customer."""

    def __init__(self) -> None:
        """Start without histograms."""
        self.histograms: dict[LatencyKey, HdrHistogram] = {}

    def record(self, service: str, customer: str, latency_us: int) -> None:
        """Add the latency of an answered request."""
        key = (service, customer)
        histogram = self.histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(
                MIN_LATENCY_US,
                MAX_LATENCY_US,
                SIGNIFICANT_DIGITS,
            )
            self.histograms[key] = histogram
        histogram.record_value(max(MIN_LATENCY_US, latency_us))

    def collect(self) -> list[SummaryMetricFamily]:
        """Build the Prometheus summaries."""
        family = SummaryMetricFamily(
            'foxtailreach_latency_seconds',
            'Time from the request to the last byte of its answer.',
            labels=('service', 'customer', 'quantile'),
        )
        for (service, customer), histogram in self.histograms.items():
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
