"""Compares routing strategies on the demo's configurations."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from foxtailreach.bench.baselines import IndependentChoice, SlotLeases
from foxtailreach.bench.deployments import (
    HOSTS,
    key_of,
    load_deployment,
    offer_load,
    start_fleet,
)
from foxtailreach.bench.fleet import MEAN_SERVICE_US, ModelTarget
from foxtailreach.bench.statistics import quantile
from foxtailreach.config.objects import Limit, Objects
from foxtailreach.core.units import SECOND_US

LOADS = (0.6, 0.8, 0.9, 1.1)
DURATION_US = 10 * SECOND_US
SETTLE_US = 6 * SECOND_US
UNLIMITED = Limit(1_000_000, 1_000_000)
_US_PER_MS = 1000


@dataclass(slots=True, frozen=True)
class RoutingRow:
    """Results of a routing strategy (`way`) for a service at a load.

    `load` is the ratio of the request rate to the service's capacity.
    """

    way: str
    service: str
    load: float
    p50_ms: float
    p99_ms: float
    refused_percent: float
    sheds_per_request: float
    messages_per_request: float
    connections: int


def compare_routing(
    deployment: str,
    seed: int,
    duration_us: int = DURATION_US,
) -> Iterator[RoutingRow]:
    """Measure each strategy for the two larger services at each load."""
    objects = without_limits(load_deployment(deployment))
    for service in list(objects.services)[:2]:
        for load in LOADS:
            yield _measure_core(objects, service, load, seed, duration_us)
            for strategy in (IndependentChoice, SlotLeases):
                yield _measure_baseline(
                    strategy,
                    objects,
                    service,
                    load,
                    seed,
                    duration_us,
                )


def without_limits(objects: Objects) -> Objects:
    """Return a configuration in which no customer is ever refused."""
    limits = dict.fromkeys(objects.limits, UNLIMITED)
    return replace(objects, limits=limits)


def capacity_per_s(objects: Objects, service: str) -> float:
    """Return the requests per second that a service can complete."""
    slots = sum(
        target.slots
        for target in objects.targets.values()
        if target.service == service
    )
    return slots * SECOND_US / MEAN_SERVICE_US


def _measure_core(
    objects: Objects,
    service: str,
    load: float,
    seed: int,
    duration_us: int,
) -> RoutingRow:
    fleet = start_fleet(objects, seed)
    route = objects.routes[service]
    rate_per_s = load * capacity_per_s(objects, service)
    start_us = fleet.now_us + SETTLE_US
    end_us = start_us + duration_us
    customers = list(objects.customers)
    for customer in customers:
        offer_load(
            fleet,
            f'{route.path_prefix}/item',
            key_of(customer),
            rate_per_s / len(customers),
            end_us,
        )
    fleet.run_until(start_us)
    fleet.answers.clear()
    fleet.counters.sheds = 0
    fleet.counters.connections.clear()
    before = _request_messages(fleet.counters.messages_by_type)
    fleet.run_until(end_us + 2 * SECOND_US)
    after = _request_messages(fleet.counters.messages_by_type)
    served = [one.latency_us for one in fleet.answers if not one.refusal]
    return _to_row(
        'owner (this core)',
        service,
        load,
        served,
        len(fleet.answers) - len(served),
        fleet.counters.sheds,
        after - before,
        len(fleet.counters.connections),
    )


def _request_messages(sent_by_type: dict[str, int]) -> int:
    """Count the messages that requests cause, without control traffic."""
    return sum(
        sent_by_type.get(message_type, 0)
        for message_type in ('Handoff', 'Forwarded', 'HandoffResult')
    )


def _measure_baseline(
    strategy: type[IndependentChoice | SlotLeases],
    objects: Objects,
    service: str,
    load: float,
    seed: int,
    duration_us: int,
) -> RoutingRow:
    domains = sorted(objects.domains)
    hosts = {
        f'host-{index:04}': domains[index % len(domains)]
        for index in range(HOSTS)
    }
    targets = [
        ModelTarget(name, target.domain, target.slots)
        for name, target in objects.targets.items()
        if target.service == service
    ]
    model = strategy(targets, hosts, seed)
    rate_per_s = load * capacity_per_s(objects, service)
    model.schedule_arrivals(rate_per_s, duration_us)
    model.run_until(duration_us + 2 * SECOND_US)
    return _to_row(
        strategy.__name__,
        service,
        load,
        model.counts.latencies_us,
        model.counts.refused,
        model.counts.sheds,
        model.counts.messages,
        len(model.counts.connections),
    )


def _to_row(
    strategy: str,
    service: str,
    load: float,
    latencies_us: list[int],
    refused: int,
    sheds: int,
    messages: int,
    connections: int,
) -> RoutingRow:
    total = len(latencies_us) + refused
    return RoutingRow(
        way=strategy,
        service=service,
        load=load,
        p50_ms=quantile(latencies_us, 0.5) / _US_PER_MS,
        p99_ms=quantile(latencies_us, 0.99) / _US_PER_MS,
        refused_percent=100 * refused / max(1, total),
        sheds_per_request=sheds / max(1, total),
        messages_per_request=messages / max(1, total),
        connections=connections,
    )
