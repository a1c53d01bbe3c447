"""Describes the brokers of a host for its log and metrics."""

from __future__ import annotations

from collections.abc import Mapping

from foxtailreach.core.dispatch.broker import Broker
from foxtailreach.core.dispatch.cover import (
    CoverageDemand,
    CoverageScope,
    count_idle,
)
from foxtailreach.core.effects import Note
from foxtailreach.core.units import SECOND_US

NOTE_INTERVAL_US = SECOND_US
COST_NOTE_INTERVAL_US = 10 * SECOND_US


class BrokerNotes:
    """Writes notes on brokers, each kind and pool at a limited rate."""

    __slots__ = ('_noted_scopes', '_noted_us')

    def __init__(self) -> None:
        """Start without notes."""
        self._noted_us: dict[tuple[str, str], int] = {}
        self._noted_scopes: dict[str, CoverageScope] = {}

    def collect(self, brokers: Mapping[str, Broker], now_us: int) -> list[Note]:
        """Describe what has changed at the brokers of these pools."""
        notes: list[Note] = []
        for name, broker in brokers.items():
            self._add_coverage(notes, name, broker, now_us)
            self._add_refusals(notes, name, broker, now_us)
            self._add_costs(notes, name, broker, now_us)
        return notes

    def forget(self, name: str) -> None:
        """Forget the notes on a broker that has ended."""
        self._noted_scopes.pop(name, None)
        for kind in ('coverage', 'queue', 'costs'):
            self._noted_us.pop((kind, name), None)

    def _add_coverage(
        self, notes: list[Note], name: str, broker: Broker, now_us: int
    ) -> None:
        demand = broker.coverage(now_us)
        noted = self._noted_scopes.get(name, CoverageScope.NONE)
        key = ('coverage', name)
        if demand.scope is noted or not self._is_due(
            key, NOTE_INTERVAL_US, now_us
        ):
            return
        self._noted_us[key] = now_us
        self._noted_scopes[name] = demand.scope
        notes.append(Note(*key, _describe_coverage(broker, demand, now_us)))

    def _add_refusals(
        self, notes: list[Note], name: str, broker: Broker, now_us: int
    ) -> None:
        key = ('queue', name)
        if not self._is_due(key, NOTE_INTERVAL_US, now_us):
            return
        detail = broker.refusals.describe_new()
        if detail:
            self._noted_us[key] = now_us
            notes.append(Note(*key, detail))

    def _add_costs(
        self, notes: list[Note], name: str, broker: Broker, now_us: int
    ) -> None:
        key = ('costs', name)
        if broker.costs.is_active and self._is_due(
            key, COST_NOTE_INTERVAL_US, now_us
        ):
            self._noted_us[key] = now_us
            notes.append(Note(*key, _describe_costs(broker)))

    def _is_due(
        self, key: tuple[str, str], interval_us: int, now_us: int
    ) -> bool:
        noted_us = self._noted_us.get(key)
        return noted_us is None or now_us - noted_us > interval_us


def broker_gauges(name: str, broker: Broker) -> dict[str, int]:
    """Return the metrics of the broker of a pool."""
    sample = broker.tail_rule.sample
    gauges = {
        f'waiting_{name}': broker.queue_length,
        f'waiting_work_us_{name}': broker.queued_work_us,
        f'known_classes_{name}': broker.costs.known_classes,
        f'spared_targets_{name}': broker.tail_rule.spared,
        f'sampled_service_us_{name}': sample.actual_us,
        f'estimated_service_us_{name}': sample.estimated_us,
    }
    for cause, count in broker.refusals.counts.items():
        gauges[f'refused_{cause}_{name}'] = count
    return gauges


def _describe_coverage(
    broker: Broker, demand: CoverageDemand, now_us: int
) -> str:
    idle = count_idle(broker.records.values(), now_us)
    return (
        f'kept for {demand.scope}: '
        f'{demand.requests_per_target:.2f} requests a target, '
        f'{demand.unserved_share:.3f} not served, '
        f'recovery {demand.recovery_us} us, '
        f'{idle} of {len(broker.records)} targets idle'
    )


def _describe_costs(broker: Broker) -> str:
    sample = broker.tail_rule.sample
    return (
        f'{broker.costs.known_classes} classes; a request of class '
        f'{sample.request_class} took {sample.actual_us} us, estimated '
        f'{sample.estimated_us} us; {broker.tail_rule.spared} targets spared'
    )
