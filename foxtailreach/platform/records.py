"""Decodes the records of the platform's keyed topics into typed values."""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from functools import lru_cache
from typing import Any

from loguru import logger

from foxtailreach.core.dispatch.deployment import (
    CustomerSpec,
    Deployment,
    RouteSpec,
    TargetSpec,
)
from foxtailreach.core.dispatch.messages import HostAnnounced, KeyedRecord
from foxtailreach.core.dispatch.mirror import (
    Change,
    StateMirror,
    TopicMirror,
)
from foxtailreach.core.messages import HostEntry
from foxtailreach.core.units import MILLISECOND_US
from foxtailreach.exceptions import ConfigurationError
from foxtailreach.platform.configuration import decode_configuration
from foxtailreach.platform.settings import parse_address

OPERATOR_TOPIC = 'keyed.op'
TARGETS_TOPIC = 'keyed.servers'
HOSTS_TOPIC = 'keyed.hosts'
CONFIGURATION_KEY = 'config'
EVACUATION_PREFIX = 'evacuate/'
# Decoded entries of hosts and targets that are kept.
MAX_CACHED_ENTRIES = 4096
_DECODE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)
# Weight of a customer's priority, which takes precedence over the route's.
CUSTOMER_PRIORITY_WEIGHT = 1000


def create_mirror() -> StateMirror:
    """Create an empty mirror of the topics that hosts need."""
    return StateMirror(
        (
            TopicMirror(OPERATOR_TOPIC, _classify_operator),
            TopicMirror(TARGETS_TOPIC, classify_target),
            TopicMirror(HOSTS_TOPIC, _classify_host),
        ),
    )


def decode_deployment(mirror: StateMirror) -> Deployment | None:
    """Return the configuration in the mirror; None if none can be decoded."""
    record = mirror.topics[OPERATOR_TOPIC].records.get(CONFIGURATION_KEY)
    return None if record is None else _decode_configuration(record.payload)


def decode_evacuated(mirror: StateMirror) -> frozenset[str]:
    """Return the failure domains that operators have evacuated."""
    return frozenset(
        key.removeprefix(EVACUATION_PREFIX)
        for key in mirror.topics[OPERATOR_TOPIC].records
        if key.startswith(EVACUATION_PREFIX)
    )


def decode_targets(mirror: StateMirror) -> list[TargetSpec]:
    """Return the listed and retained targets; skip malformed entries."""
    targets = []
    listed = mirror.topics[TARGETS_TOPIC].records
    for record in {**mirror.retained.records, **listed}.values():
        target = decode_target(record)
        if target is not None:
            targets.append(target)
    return targets


def decode_hosts(mirror: StateMirror) -> list[HostAnnounced]:
    """Return the registered hosts; skip malformed registrations."""
    hosts = []
    for record in mirror.topics[HOSTS_TOPIC].records.values():
        registration = _decode_host(record.payload)
        if registration is not None:
            hosts.append(registration)
    return hosts


def encode_host(registration: HostAnnounced) -> bytes:
    """Encode the registration of a host."""
    entry = registration.entry
    return json.dumps(
        {
            'host_id': entry.host_id,
            'domain': entry.domain,
            'address': entry.address,
            'peer_port': entry.peer_port,
            'capacity': entry.capacity,
            'incarnation': registration.incarnation,
        },
    ).encode()


def decode_target(record: KeyedRecord) -> TargetSpec | None:
    """Decode a target's entry; None if it is malformed."""
    return _decode_entry(record.key, record.payload).target


def classify_target(known: KeyedRecord | None, newer: KeyedRecord) -> Change:
    """Return whether a record is a heartbeat, a change or outdated."""
    new_entry = _decode_entry(newer.key, newer.payload)
    if known is None or new_entry.order is None:
        return Change.MATERIAL
    old_entry = _decode_entry(known.key, known.payload)
    if old_entry.order is not None and new_entry.order < old_entry.order:
        return Change.STALE
    new_spec, old_spec = new_entry.target, old_entry.target
    if new_spec is None or old_spec is None:
        return Change.MATERIAL
    if _with_warm_up_of(new_spec, old_spec) != old_spec:
        return Change.MATERIAL
    # The remaining warm-up time shrinks with each heartbeat; only a new
    # warm-up is a change.
    if new_spec.warm_up_left_us > old_spec.warm_up_left_us:
        return Change.MATERIAL
    return Change.REPEATED


def request_priority(customer: CustomerSpec | None, route: RouteSpec) -> int:
    """Return the priority of a request; 0 is the highest."""
    if customer is None:
        return route.priority
    return customer.priority * CUSTOMER_PRIORITY_WEIGHT + route.priority


def _classify_operator(known: KeyedRecord | None, newer: KeyedRecord) -> Change:
    """Accept valid configurations that are not older than the known one."""
    if newer.key != CONFIGURATION_KEY:
        return Change.MATERIAL
    deployment = _decode_configuration(newer.payload)
    if deployment is None:
        return Change.STALE
    if known is not None:
        current = _decode_configuration(known.payload)
        if current is not None and deployment.version < current.version:
            return Change.STALE
    return Change.MATERIAL


def _classify_host(known: KeyedRecord | None, newer: KeyedRecord) -> Change:
    if known is not None and known.payload == newer.payload:
        return Change.REPEATED
    return Change.MATERIAL


@lru_cache(maxsize=MAX_CACHED_ENTRIES)
def _decode_host(payload: bytes) -> HostAnnounced | None:
    try:
        fields = json.loads(payload)
        entry = HostEntry(
            host_id=_string(fields, 'host_id'),
            domain=_string(fields, 'domain'),
            address=_string(fields, 'address'),
            peer_port=_unsigned_integer(fields, 'peer_port'),
            capacity=_unsigned_integer(fields, 'capacity'),
        )
        return HostAnnounced(entry, _unsigned_integer(fields, 'incarnation'))
    except _DECODE_ERRORS as error:
        logger.warning('malformed host registration: {!r}', error)
        return None


@dataclass(slots=True, frozen=True)
class _TargetEntry:
    """The decoded entry of a target; None for what is malformed.

    `order` is process start and heartbeat counter, which order entries.
    """

    target: TargetSpec | None
    order: tuple[int, int] | None


@lru_cache(maxsize=MAX_CACHED_ENTRIES)
def _decode_entry(target_id: str, payload: bytes) -> _TargetEntry:
    """Decode an entry once, as a change of any other decodes all of them."""
    target: TargetSpec | None = None
    order: tuple[int, int] | None = None
    try:
        fields = json.loads(payload)
        order = _started_ms(fields), _unsigned_integer(fields, 'sequence')
    except _DECODE_ERRORS as error:
        logger.debug('target {} has no order: {!r}', target_id, error)
    try:
        target = _decode_target(target_id, json.loads(payload))
    except _DECODE_ERRORS as error:
        logger.debug('malformed entry of target {}: {!r}', target_id, error)
    return _TargetEntry(target, order)


def _decode_target(target_id: str, fields: Any) -> TargetSpec:
    address = parse_address(_string(fields, 'address'))
    state = _string(fields, 'state')
    if state not in {'ready', 'draining'}:
        raise ValueError(f'unknown target state {state!r}')
    slots = _unsigned_integer(fields, 'slots')
    if slots < 1:
        raise ValueError('slots must be at least 1')
    return TargetSpec(
        target_id=target_id,
        service=_string(fields, 'service'),
        domain=_string(fields, 'zone'),
        address=address.host,
        port=address.port,
        slots=slots,
        is_draining=state == 'draining',
        # Time until the end of the warm-up, not until the target stops.
        warm_up_left_us=_unsigned_integer(fields, 'warmup_left_ms')
        * MILLISECOND_US,
        started_ms=_started_ms(fields),
    )


def _started_ms(fields: Any) -> int:
    """Return the wall-clock time of a target's start; 0 if it names none."""
    return _unsigned_integer(fields, 'born') if 'born' in fields else 0


def _with_warm_up_of(spec: TargetSpec, other: TargetSpec) -> TargetSpec:
    return replace(spec, warm_up_left_us=other.warm_up_left_us)


@lru_cache(maxsize=2)
def _decode_configuration(payload: bytes) -> Deployment | None:
    try:
        return decode_configuration(payload)
    except ConfigurationError as error:
        logger.error(
            'configuration refused, the last good one stays: {}', error
        )
        return None


def _string(fields: Any, name: str) -> str:
    value = fields[name]
    if not isinstance(value, str) or not value:
        raise TypeError(f'{name} must be a non-empty string')
    return value


def _unsigned_integer(fields: Any, name: str) -> int:
    value = fields[name]
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise TypeError(f'{name} must be a non-negative integer')
    return value
