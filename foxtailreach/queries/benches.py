"""Runs the benchmarks and prints their results."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict

from foxtailreach.bench.latency import measure_latency
from foxtailreach.bench.routing import RoutingRow, compare_routing
from foxtailreach.bench.slopes import Slope, measure_slopes

Write = Callable[[str], None]


def print_routing(
    deployment: str,
    seed: int,
    write: Write,
    *,
    as_json: bool,
) -> None:
    """Compare routing strategies; print one line per measurement."""
    for row in compare_routing(deployment, seed):
        write(json.dumps(asdict(row)) if as_json else _routing_line(row))


def print_latency(seed: int, write: Write) -> None:
    """Measure latency with and without hosts; print one line per row."""
    for row in measure_latency(seed):
        write(
            f'{row.way:8} {row.rate_per_s:5}/s  p50 {row.p50_ms:6.1f} ms  '
            f'p99 {row.p99_ms:6.1f} ms  failed {row.failed}  '
            f'host CPU {row.host_cpu_ms_per_request:.2f} ms a request',
        )


def print_slopes(write: Write) -> None:
    """Measure and print the resource costs on the capacity page."""
    for slope in measure_slopes():
        write(_slope_line(slope))


def _routing_line(row: RoutingRow) -> str:
    return (
        f'{row.service:12} {row.load:4} {row.way:18} '
        f'p50 {row.p50_ms:6.1f} ms  p99 {row.p99_ms:7.1f} ms  '
        f'refused {row.refused_percent:5.2f}%  '
        f'sheds {row.sheds_per_request:4.2f}  '
        f'messages {row.messages_per_request:4.2f}  '
        f'connections {row.connections}'
    )


def _slope_line(slope: Slope) -> str:
    return f'{slope.subject}: {slope.figure}'
