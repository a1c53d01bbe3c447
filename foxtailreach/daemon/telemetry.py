"""Structured logs, trace spans and latency metrics of one host."""

from __future__ import annotations

import sys
from contextlib import ExitStack
from io import StringIO
from pathlib import Path
from typing import TextIO

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

from foxtailreach.config.settings import LogSection
from foxtailreach.core.effects import FinishRequest
from foxtailreach.core.verdict import Refusal
from foxtailreach.daemon.latencies import LatencyHistograms
from foxtailreach.daemon.latency_collector import LatencyCollector


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
    """Create a tracer that exports to `trace_file`, or else to the log."""
    provider = TracerProvider(
        sampler=ParentBasedTraceIdRatio(section.trace_sample_ratio),
        resource=Resource.create({'service.name': host_id}),
        shutdown_on_exit=False,
    )
    if section.trace_file:
        stream: TextIO = stack.enter_context(
            Path(section.trace_file).open('a', encoding='utf-8'),
        )
        exporter = ConsoleSpanExporter(out=stream, formatter=_format_span)
    else:
        exporter = ConsoleSpanExporter(out=_LogStream(), formatter=_format_span)
    provider.add_span_processor(BatchSpanProcessor(exporter))
    stack.callback(provider.shutdown)
    return provider.get_tracer('foxtailreach')


class _LogStream(StringIO):
    """Turns each span that is written into a log line."""

    def write(self, text: str) -> int:
        logger.info('span: {}', text.rstrip())
        return len(text)


class Metrics:
    """Counters and histograms of one host."""

    def __init__(self) -> None:
        """Register the metrics in a separate registry."""
        self.registry = CollectorRegistry()
        self.latencies = LatencyHistograms()
        self.registry.register(LatencyCollector(self.latencies))
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

    def record_finished(self, finished: FinishRequest) -> None:
        """Count an answered request and record its latency."""
        self.latencies.record(
            finished.service,
            finished.customer,
            finished.latency_us,
        )
        self.answered.labels(finished.service, finished.customer).inc()

    def record_refused(self, refusal: Refusal) -> None:
        """Count a refusal."""
        self.refused.labels(refusal.reason, refusal.verdict).inc()

    def render(self) -> bytes:
        """Return the Prometheus text page."""
        return generate_latest(self.registry)


def _format_span(span: ReadableSpan) -> str:
    return f'{span.to_json(indent=None)}\n'
