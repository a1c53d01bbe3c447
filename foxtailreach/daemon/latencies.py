"""Latency histograms by service and customer."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2

LatencyKey = tuple[str, str]


class LatencyHistograms:
    """Keeps a latency histogram for each service and customer."""

    __slots__ = ('histograms',)

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
