"""Measures the slopes behind docs/CAPACITY.md.

A slope is what one more host, request or object costs in memory, CPU time or
traffic. Each has a function here; `foxtailreach slopes` runs them all. Memory
is measured by tracemalloc, CPU time by the process clock.
"""

from __future__ import annotations

import gc
import hashlib
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from ipaddress import IPv4Address

from foxtailreach.bench.deployments import (
    key_of,
    load_deployment,
    offer_load,
    start_fleet,
)
from foxtailreach.bench.fleet import Fleet
from foxtailreach.bench.routing import without_limits
from foxtailreach.config.objects import (
    ChangeSet,
    Customer,
    FailureDomain,
    Key,
    Limit,
    Objects,
    Route,
    Service,
    Target,
)
from foxtailreach.config.records import ChangeRecord, encode_record
from foxtailreach.core import events, messages
from foxtailreach.core.catalog import Catalog
from foxtailreach.core.fold import Fold
from foxtailreach.core.limits.bucket import LeasingBucket
from foxtailreach.core.node import Node, NodeConfig
from foxtailreach.core.units import SECOND_US
from foxtailreach.rpc.codec import encode_frame

PLANNED_CUSTOMERS = 360_000
PLANNED_ROUTES = 33_000
PLANNED_TARGETS = 93_000
PLANNED_SERVICES = 2_100
PLANNED_DOMAINS = 15
PLANNED_HOSTS = 4_100
MEASURE_S = 10
FLEET_SIZES = (40, 120, 240)
_BYTES_PER_MB = 1_000_000
_MS_PER_S = 1000


@dataclass(slots=True, frozen=True)
class Slope:
    """What was measured, and the result with its unit."""

    subject: str
    figure: str


def measure_slopes() -> list[Slope]:
    """Measure all slopes, one after the other."""
    return [
        *measure_configuration(),
        *measure_gossip(),
        measure_host_change(),
        measure_request(),
        measure_buckets(),
    ]


def planned_objects(share: float) -> Objects:
    """Build a configuration with a share (0 to 1) of the planned size."""
    domains = [f'domain-{index}' for index in range(PLANNED_DOMAINS)]
    services = [
        f's-{number}' for number in range(int(PLANNED_SERVICES * share))
    ]
    customers = int(PLANNED_CUSTOMERS * share)
    address = IPv4Address('10.0.0.1')
    return Objects(
        domains={name: FailureDomain() for name in domains},
        services={name: Service() for name in services},
        targets={
            f't-{index}': Target(
                services[index % len(services)],
                domains[index % len(domains)],
                address,
                port=9000,
                slots=2,
            )
            for index in range(int(PLANNED_TARGETS * share))
        },
        routes={
            f'r-{index}': Route(services[index % len(services)], f'/r/{index}')
            for index in range(int(PLANNED_ROUTES * share))
        },
        limits={'small': Limit(5, 10)},
        customers={
            f'c-{index}': Customer('small') for index in range(customers)
        },
        keys={
            f'k-{index}': Key(
                f'c-{index}',
                hashlib.sha256(f'{index}'.encode()).hexdigest(),
            )
            for index in range(customers)
        },
    )


def measure_configuration() -> list[Slope]:
    """Measure loading the configuration at 10% and 100% of the planned size."""
    return [_measure_fold(share) for share in (0.1, 1.0)]


def measure_gossip() -> list[Slope]:
    """Measure control traffic and CPU time of idle fleets of each size."""
    return [_measure_idle_fleet(hosts) for hosts in FLEET_SIZES]


def measure_request() -> Slope:
    """Measure the core's CPU time for a request that crosses two hosts."""
    fleet = start_fleet(without_limits(load_deployment('scara')), seed=1)
    end_us = fleet.now_us + 5 * SECOND_US
    idle_s = _cpu_seconds(lambda: fleet.run_until(fleet.now_us + SECOND_US))
    offer_load(fleet, '/stoc/item', key_of('livada-bascov'), 500, end_us)
    start_us = fleet.now_us
    busy_s = _cpu_seconds(lambda: fleet.run_until(end_us))
    seconds = (end_us - start_us) / SECOND_US
    per_request_us = (busy_s - idle_s * seconds) * SECOND_US
    per_request_us /= max(1, len(fleet.answers))
    return Slope(
        'core CPU for a request, entry host and owner, model included',
        f'{per_request_us:.0f} us',
    )


def measure_buckets(count: int = 20_000) -> Slope:
    """Measure the memory of a quota partition holder's token buckets."""
    partition_limit = Limit(2, 4)
    tracemalloc.start()
    buckets = {
        f'c-{index}': LeasingBucket(partition_limit, 0, 0)
        for index in range(count)
    }
    for bucket in buckets.values():
        bucket.grant_lease('entry', 1, 1, SECOND_US)
    retained_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return Slope(
        'a token bucket with one lease',
        f'{retained_bytes / count:.0f} bytes',
    )


def _measure_fold(share: float) -> Slope:
    change = ChangeSet('initial', 0, planned_objects(share))
    payload = encode_record(ChangeRecord(change))
    catalog = Catalog()
    fold = Fold(catalog.apply)
    tracemalloc.start()
    fold_s = _cpu_seconds(partial(fold.apply, 0, payload))
    gc.collect()
    retained_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    limits = Objects(limits={'small': Limit(6, 10)})
    small_change = encode_record(ChangeRecord(ChangeSet('small', 1, limits)))
    change_s = _cpu_seconds(partial(fold.apply, 1, small_change))
    return Slope(
        f'configuration at {share:.0%} of the planned size',
        f'{retained_bytes / _BYTES_PER_MB:.0f} MB kept, '
        f'{peak_bytes / _BYTES_PER_MB:.0f} MB peak, '
        f'first fold {fold_s:.1f} s (under tracemalloc), '
        f'snapshot {len(fold.encoded_snapshot()) / _BYTES_PER_MB:.1f} MB, '
        f'one small change {change_s * _MS_PER_S:.1f} ms',
    )


def _measure_idle_fleet(hosts: int) -> Slope:
    fleet = Fleet(load_deployment('scara'), seed=1)
    fleet.add_hosts(hosts)
    fleet.run_until(6 * SECOND_US)
    sent_bytes = 0

    def count_bytes(message: messages.PeerMessage) -> None:
        nonlocal sent_bytes
        sent_bytes += len(encode_frame(message))

    cpu_s = _cpu_seconds(
        lambda: fleet.run_until(fleet.now_us + MEASURE_S * SECOND_US),
    )
    fleet.on_message = count_bytes
    fleet.run_until(fleet.now_us + MEASURE_S * SECOND_US)
    idle_bytes = sent_bytes / hosts / MEASURE_S
    sent_bytes = 0
    killed_host = random.Random(1).choice(sorted(fleet.nodes))
    fleet.kill_host(killed_host, list_lag_us=5 * SECOND_US)
    fleet.run_until(fleet.now_us + MEASURE_S * SECOND_US)
    gossip_bytes = sent_bytes / hosts - idle_bytes * MEASURE_S
    return Slope(
        f'control of an idle fleet of {hosts} hosts',
        f'{idle_bytes:.0f} bytes/s sent and '
        f'{cpu_s / hosts / MEASURE_S:.2%} of a core per host; '
        f'{max(0, gossip_bytes):.0f} bytes per host for a killed host',
    )


def measure_host_change() -> Slope:
    """Measure the CPU time that a host's failure costs each other host."""
    objects = planned_objects(1)
    hosts = tuple(
        messages.HostEntry(
            f'h-{index}',
            f'domain-{index % PLANNED_DOMAINS}',
            '10.0.0.1',
            9000,
        )
        for index in range(PLANNED_HOSTS)
    )
    node = Node.from_config(
        NodeConfig('h-0', 'domain-0', 1),
        random.Random(1),
        now_us=0,
    )
    record = encode_record(ChangeRecord(ChangeSet('initial', 0, objects)))
    log = events.LogRead((messages.LogRecord(0, record),), 0, 1)
    node.handle(log, 0)
    first_s = _cpu_seconds(partial(node.handle, events.HostsListed(hosts), 1))
    gossip_update = messages.HostRumor('h-15', 0, messages.Liveness.DOWN)
    received = events.PeerReceived('h-30', gossip_update)
    change_s = _cpu_seconds(partial(node.handle, received, 2))
    return Slope(
        f'a host change at {PLANNED_HOSTS} hosts and all planned pools',
        f'{change_s * _MS_PER_S:.0f} ms, first ranking {first_s:.1f} s',
    )


def _cpu_seconds(action: Callable[[], object]) -> float:
    gc.collect()
    started_s = time.process_time()
    action()
    return time.process_time() - started_s
