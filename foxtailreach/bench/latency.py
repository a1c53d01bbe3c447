"""Measures added latency with real processes on loopback.

Hosts, the fake platform, fake targets and load generators each run in a
process. The benchmark sends requests directly to a target, then through one
host, then through three hosts.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import multiprocessing
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from foxtailreach.bench.statistics import quantile
from foxtailreach.commands.publish import publish_files
from foxtailreach.daemon.platform import PlatformAddress
from foxtailreach.demo.environment import (
    LOOPBACK,
    PLATFORM_TIMEOUT_MS,
    free_ports,
)

TARGET_COUNT = 4
SLOTS = 64
SERVICE_MS = 0.01
START_WAIT_S = 1.5
SETTLE_S = 6
WARM_UP_S = 2
DURATION_S = 8
RATE_PER_S_PER_HOST = 390
HOST_COUNTS = (1, 3)
PORTS_PER_HOST = 3
KEY = 'bench-key'
MAX_CLIENTS = 400
_OK = 200
_MS_PER_S = 1000
_TICKS_PER_S = 100
# Fields of /proc/PID/stat, counted from 0.
_UTIME_FIELD = 13
_STIME_FIELD = 14

OBJECTS = """
[domains.d]
[services.s]
warm_up_ms = 0
cold_slots = {slots}
[routes.r]
service = "s"
path_prefix = "/"
[limits.l]
rate_per_s = 1000000
burst_requests = 1000000
[customers.c]
limit = "l"
[keys.k]
customer = "c"
digest_sha256 = "{digest}"
"""
TARGET = """
[targets.t-{port}]
service = "s"
domain = "d"
address = "127.0.0.1"
port = {port}
slots = {slots}
"""
SETTINGS = """
[host]
host_id = "h-{caller}"
domain = "d"
address = "127.0.0.1"
caller_port = {caller}
peer_port = {peer}
admin_port = {admin}
[platform]
address = "127.0.0.1"
port = {platform}
[log]
level = "ERROR"
"""


@dataclass(slots=True, frozen=True)
class LatencyRow:
    """Latency directly or through hosts (`way`), and the hosts' CPU time."""

    way: str
    rate_per_s: int
    p50_ms: float
    p99_ms: float
    failed: int
    host_cpu_ms_per_request: float


@dataclass(slots=True, frozen=True)
class LoadResult:
    """Results of one load generator process."""

    latencies_s: list[float]
    failed: int
    sent: int


def measure_latency(seed: int) -> Iterator[LatencyRow]:
    """Measure without hosts, then through each number of hosts."""
    with contextlib.ExitStack() as stack:
        ports = free_ports(TARGET_COUNT)
        for port in ports:
            options = (f'--slots={SLOTS}', f'--service-ms={SERVICE_MS}')
            _start(stack, 'foxtailreach.testing', 'target', f'{port}', *options)
        time.sleep(START_WAIT_S)
        yield _measure('direct', ports[:1], (), seed)
        for count in HOST_COUNTS:
            with contextlib.ExitStack() as fleet:
                caller_ports, pids = _start_fleet(fleet, count, ports)
                yield _measure(f'{count} hosts', caller_ports, pids, seed)


def _start_fleet(
    stack: contextlib.ExitStack,
    count: int,
    target_ports: Sequence[int],
) -> tuple[list[int], list[int]]:
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    (platform_port,) = free_ports(1)
    _start(stack, 'foxtailreach.testing', 'platform', f'{platform_port}')
    time.sleep(START_WAIT_S)
    objects = folder / 'objects.toml'
    objects.write_text(_objects(target_ports), encoding='utf-8')
    address = PlatformAddress(LOOPBACK, platform_port, PLATFORM_TIMEOUT_MS)
    publish_files(address, [objects])
    caller_ports, pids = [], []
    for _ in range(count):
        caller, pid = _start_host(stack, folder, platform_port)
        caller_ports.append(caller)
        pids.append(pid)
    time.sleep(SETTLE_S)
    return caller_ports, pids


def _objects(target_ports: Sequence[int]) -> str:
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    parts = [OBJECTS.format(digest=digest, slots=SLOTS)]
    parts.extend(TARGET.format(port=port, slots=SLOTS) for port in target_ports)
    return ''.join(parts)


def _start_host(
    stack: contextlib.ExitStack,
    folder: Path,
    platform_port: int,
) -> tuple[int, int]:
    caller, peer, admin = free_ports(PORTS_PER_HOST)
    path = folder / f'{caller}.toml'
    text = SETTINGS.format(
        caller=caller,
        peer=peer,
        admin=admin,
        platform=platform_port,
    )
    path.write_text(text, encoding='utf-8')
    asyncio.run(_register_host(platform_port, f'h-{caller}', peer))
    pid = _start(stack, 'foxtailreach', 'serve', '--settings', f'{path}')
    return caller, pid


def _start(stack: contextlib.ExitStack, *arguments: str) -> int:
    process = subprocess.Popen((sys.executable, '-m', *arguments))
    stack.callback(process.wait)
    stack.callback(process.kill)
    return process.pid


async def _register_host(
    platform_port: int, host_id: str, peer_port: int
) -> None:
    entry = {
        'host_id': host_id,
        'domain': 'd',
        'address': LOOPBACK,
        'peer_port': peer_port,
    }
    with contextlib.closing(CurlAsyncHTTPClient(force_instance=True)) as client:
        url = f'http://{LOOPBACK}:{platform_port}/hosts/{host_id}'
        await client.fetch(url, method='PUT', body=json.dumps(entry))


def _measure(
    way: str,
    ports: Sequence[int],
    pids: Sequence[int],
    seed: int,
) -> LatencyRow:
    """Send the rate of one host to each port, each from its own process."""
    before_s = sum(map(_cpu_s, pids))
    context = multiprocessing.get_context('spawn')
    with ProcessPoolExecutor(len(ports), context) as pool:
        seeds = range(seed, seed + len(ports))
        loads = list(pool.map(_run_load, ports, seeds))
    used_s = sum(map(_cpu_s, pids)) - before_s
    latencies_s = [
        latency_s for load in loads for latency_s in load.latencies_s
    ]
    return LatencyRow(
        way=way,
        rate_per_s=RATE_PER_S_PER_HOST * len(ports),
        p50_ms=quantile(latencies_s, 0.5) * _MS_PER_S,
        p99_ms=quantile(latencies_s, 0.99) * _MS_PER_S,
        failed=sum(load.failed for load in loads),
        host_cpu_ms_per_request=used_s
        / sum(load.sent for load in loads)
        * _MS_PER_S,
    )


def _run_load(port: int, seed: int) -> LoadResult:
    return asyncio.run(_send_load(port, seed))


async def _send_load(port: int, seed: int) -> LoadResult:
    rng = random.Random(seed)
    latencies_s: list[float] = []
    statuses: list[int] = []
    started_s = time.monotonic()
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)

    async def send() -> None:
        sent_s = time.monotonic()
        request = HTTPRequest(
            f'http://{LOOPBACK}:{port}/item',
            headers={'X-Api-Key': KEY},
        )
        response = await client.fetch(request, raise_error=False)
        statuses.append(response.code)
        if sent_s > started_s + WARM_UP_S:
            latencies_s.append(time.monotonic() - sent_s)

    due_s = started_s
    with contextlib.closing(client):
        async with asyncio.TaskGroup() as group:
            while due_s < started_s + DURATION_S:
                await asyncio.sleep(max(0, due_s - time.monotonic()))
                group.create_task(send())
                due_s += rng.expovariate(RATE_PER_S_PER_HOST)
    failed = sum(status != _OK for status in statuses)
    return LoadResult(latencies_s, failed, len(statuses))


def _cpu_s(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text(encoding='ascii').split()
    return (
        int(fields[_UTIME_FIELD]) + int(fields[_STIME_FIELD])
    ) / _TICKS_PER_S
