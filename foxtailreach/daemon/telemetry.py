"""Structured logs, trace spans and latency metrics of one host."""

from __future__ import annotations

import sys
from contextlib import ExitStack
from io import StringIO
from pathlib import Path
from typing import TextIO

from hdrh.histogram import HdrHistogram
from loguru import logger
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
)
from opentelemetry.sdk.trace.sampling import ParentBasedTraceIdRatio
from opentelemetry.trace import Tracer
from prometheus_client import CollectorRegistry, Counter, generate_latest
from prometheus_client.core import SummaryMetricFamily
from prometheus_client.registry import Collector

from foxtailreach.config.defaults import LogSection
from foxtailreach.core.effects import FinishCaller
from foxtailreach.core.verdict import Refusal

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
_US_PER_S = 1_000_000
_PERCENT = 100

LatencyKey = tuple[str, str]


def configure_logging(section: LogSection) -> None:
    """Send log lines to standard error, as text or as JSON."""
    logger.remove()
    logger.add(
        sys.stderr,
        level=section.level,
        serialize=section.format == 'json',
        backtrace=False,
        diagnose=False,
    )


def create_tracer(
    section: LogSection,
    host_id: str,
    stack: ExitStack,
) -> Tracer:
    """Create a tracer that exports to the settings' file or the log."""
    provider = TracerProvider(
        sampler=ParentBasedTraceIdRatio(section.trace_sample_ratio),
        resource=Resource.create({'service.name': host_id}),
        shutdown_on_exit=False,
    )
    if section.trace_file:
        stream: TextIO = stack.enter_context(
            Path(section.trace_file).open('a', encoding='utf-8'),
        )
        exporter = ConsoleSpanExporter(out=stream, formatter=_span_line)
    else:
        exporter = ConsoleSpanExporter(out=_LogStream(), formatter=_span_line)
    provider.add_span_processor(BatchSpanProcessor(exporter))
    stack.callback(provider.shutdown)
    return provider.get_tracer('foxtailreach')


class _LogStream(StringIO):
    """Turns each span that is written into a log line."""

    def write(self, text: str) -> int:
        logger.info('span: {}', text.rstrip())
        return len(text)


class LatencyCollector(Collector):
    """Latency histograms per service and customer."""

    def __init__(self) -> None:
        """Start without histograms."""
        self.histograms: dict[LatencyKey, HdrHistogram] = {}

    def record(self, finished: FinishCaller) -> None:
        """Add the latency of an answered request."""
        key = (finished.service, finished.customer)
        histogram = self.histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(
                MIN_LATENCY_US,
                MAX_LATENCY_US,
                SIGNIFICANT_DIGITS,
            )
            self.histograms[key] = histogram
        histogram.record_value(max(MIN_LATENCY_US, finished.latency_us))

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


class Metrics:
    """Counters and histograms of one host."""

    def __init__(self) -> None:
        """Register the metrics in a registry of their own."""
        self.registry = CollectorRegistry()
        self.latencies = LatencyCollector()
        self.registry.register(self.latencies)
        self.answered = Counter(
            'foxtailreach_answered',
            'Requests answered by a target.',
            ('service', 'customer'),
            registry=self.registry,
        )
        self.refused = Counter(
            'foxtailreach_refused',
            'Requests refused, by reason and verdict.',
            ('reason', 'verdict'),
            registry=self.registry,
        )
        self.notes = Counter(
            'foxtailreach_notes',
            'State changes, such as ejections.',
            ('name',),
            registry=self.registry,
        )

    def record_finished(self, finished: FinishCaller) -> None:
        """Count an answered request."""
        self.latencies.record(finished)
        self.answered.labels(finished.service, finished.customer).inc()

    def record_refused(self, refusal: Refusal) -> None:
        """Count a refusal."""
        self.refused.labels(refusal.reason, refusal.verdict).inc()

    def render(self) -> bytes:
        """Return the Prometheus text page."""
        return generate_latest(self.registry)


def _span_line(span: ReadableSpan) -> str:
    return f'{span.to_json(indent=None)}\n'
