"""Decodes the records of the platform's keyed topics into typed values."""

from __future__ import annotations

import json
from collections.abc import Mapping
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
from foxtailreach.core.dispatch.eras import EraRules
from foxtailreach.core.dispatch.messages import HostAnnounced, KeyedRecord
from foxtailreach.core.dispatch.mirror import (
    Change,
    StateMirror,
    TopicMirror,
)
from foxtailreach.core.messages import HostEntry
from foxtailreach.core.units import MILLISECOND_US
from foxtailreach.exceptions import ConfigurationError, ProtocolError
from foxtailreach.gateway.settings import MAX_PORT, is_usable_address
from foxtailreach.platform.configuration import decode_configuration
from foxtailreach.platform.fields import (
    is_usable_text,
    parse_object,
    read_address,
    read_integer,
    read_text,
)
from foxtailreach.platform.malformed import MALFORMED

OPERATOR_TOPIC = 'keyed.op'
TARGETS_TOPIC = 'keyed.servers'
HOSTS_TOPIC = 'keyed.hosts'
CONFIGURATION_KEY = 'config'
EVACUATION_PREFIX = 'evacuate/'
# Decoded entries of hosts and targets that are kept.
MAX_CACHED_ENTRIES = 4096
MAX_SLOTS = 10_000
MAX_WARM_UP_MS = 3_600_000
MAX_CAPACITY = 1_000_000
# Unix milliseconds far in the future, and more heartbeats than a target sends.
MAX_STARTED_MS = 10**14
MAX_HEARTBEATS = 10**12
# Weight of a customer's priority, which takes precedence over the route's.
CUSTOMER_PRIORITY_WEIGHT = 1000


def create_mirror() -> StateMirror:
    """Create an empty mirror of the topics that hosts need."""
    return StateMirror(
        (
            TopicMirror(
                OPERATOR_TOPIC,
                _classify_operator,
                rules=EraRules(
                    is_older=_is_older_configuration,
                    is_final=_is_configuration,
                    is_lasting=_is_configuration,
                ),
            ),
            TopicMirror(
                TARGETS_TOPIC,
                classify_target,
                _target_fingerprint,
                EraRules(
                    is_older=_is_older_entry,
                    is_final=_is_draining,
                    is_same_start=_is_entry_of_same_start,
                ),
            ),
            TopicMirror(HOSTS_TOPIC, _classify_host),
        ),
    )


def decode_deployment(mirror: StateMirror) -> Deployment | None:
    """Return the configuration in the mirror; None if none can be decoded."""
    record = mirror.topics[OPERATOR_TOPIC].records.get(CONFIGURATION_KEY)
    return None if record is None else _decode_configuration(record.payload)


def decode_evacuated(mirror: StateMirror) -> frozenset[str]:
    """Return the failure domains that operators have evacuated.

    An evacuation that a restored store lacks counts for a while.
    """
    return frozenset(
        key.removeprefix(EVACUATION_PREFIX)
        for key in (
            *mirror.topics[OPERATOR_TOPIC].records,
            *mirror.retained_orders.keys,
        )
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
        registration = decode_host(record)
        if registration is not None:
            hosts.append(registration)
    return hosts


def decode_host(record: KeyedRecord) -> HostAnnounced | None:
    """Decode the registration of a host; None if it is malformed."""
    return _decode_host(record.payload)


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


def _target_fingerprint(record: KeyedRecord) -> bytes:
    """Return what all hosts know of a target, whichever entry they read.

    Heartbeats, and the time that is left of a warm-up, differ between them.
    """
    target = decode_target(record)
    if target is None:
        return record.payload
    return repr(replace(target, warm_up_left_us=0)).encode()


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


def _is_configuration(record: KeyedRecord) -> bool:
    return record.key == CONFIGURATION_KEY


def _is_older_configuration(known: KeyedRecord, other: KeyedRecord) -> bool:
    """Tell whether a configuration has a lower version than a known one."""
    if other.key != CONFIGURATION_KEY:
        return False
    current = _decode_configuration(known.payload)
    offered = _decode_configuration(other.payload)
    if current is None or offered is None:
        return False
    return offered.version < current.version


def _is_draining(record: KeyedRecord) -> bool:
    target = decode_target(record)
    return target is not None and target.is_draining


def _is_older_entry(known: KeyedRecord, other: KeyedRecord) -> bool:
    """Tell whether a target's entry is outdated by one of any era.

    A target that drains does so until it starts again; it may have to write
    that again, and hosts may read an older or malformed entry of it before.
    """
    known_order, other_order = _lasting_order(known), _lasting_order(other)
    if known_order is None:
        return False
    if other_order is None:
        return _is_draining(known)
    return other_order < known_order


def _is_entry_of_same_start(left: KeyedRecord, other: KeyedRecord) -> bool:
    """Tell whether an entry says that a process that has left is ready."""
    former, listed = decode_target(left), decode_target(other)
    if former is None or listed is None or listed.is_draining:
        return False
    return 0 < listed.started_ms <= former.started_ms


def _lasting_order(record: KeyedRecord) -> tuple[int, bool, int] | None:
    """Order entries by start, draining and heartbeat; None if malformed.

    Without the time of its start, a target cannot show that it started again.
    """
    entry = _decode_entry(record.key, record.payload)
    if entry.order is None or entry.target is None:
        return None
    started_ms, heartbeats = entry.order
    is_final = entry.target.is_draining and started_ms > 0
    return (started_ms, is_final, heartbeats)


def _classify_host(known: KeyedRecord | None, newer: KeyedRecord) -> Change:
    if known is not None and known.payload == newer.payload:
        return Change.REPEATED
    return Change.MATERIAL


@lru_cache(maxsize=MAX_CACHED_ENTRIES)
def _decode_host(payload: bytes) -> HostAnnounced | None:
    try:
        return _read_host(parse_object(payload))
    except ProtocolError as error:
        MALFORMED.record(HOSTS_TOPIC, '', error)
        return None


def _read_host(fields: Mapping[str, Any]) -> HostAnnounced:
    host = read_text(fields, 'address')
    port = read_integer(fields, 'peer_port', 1, MAX_PORT)
    if not is_usable_address(host, port):
        raise ProtocolError('address is no usable address')
    entry = HostEntry(
        host_id=read_text(fields, 'host_id'),
        domain=read_text(fields, 'domain'),
        address=host,
        peer_port=port,
        capacity=read_integer(fields, 'capacity', 0, MAX_CAPACITY),
    )
    return HostAnnounced(entry, read_integer(fields, 'incarnation'))


@dataclass(slots=True, frozen=True)
class _TargetEntry:
    """The decoded entry of a target; None for what is malformed.

    `order` is process start and heartbeat counter, which order entries.
    """

    target: TargetSpec | None = None
    order: tuple[int, int] | None = None


@lru_cache(maxsize=MAX_CACHED_ENTRIES)
def _decode_entry(target_id: str, payload: bytes) -> _TargetEntry:
    """Decode an entry once, as a change of any other decodes all of them.

    A malformed entry has no order, so that the next one replaces it.
    """
    try:
        fields = parse_object(payload)
        target = _decode_target(target_id, fields)
    except ProtocolError as error:
        MALFORMED.record(TARGETS_TOPIC, target_id, error)
        return _TargetEntry()
    try:
        heartbeats = read_integer(fields, 'sequence', 0, MAX_HEARTBEATS)
    except ProtocolError as error:
        MALFORMED.record(TARGETS_TOPIC, target_id, error)
        return _TargetEntry(target)
    return _TargetEntry(target, (target.started_ms, heartbeats))


def _decode_target(target_id: str, fields: Mapping[str, Any]) -> TargetSpec:
    if not is_usable_text(target_id):
        raise ProtocolError('the id is no usable text')
    address = read_address(fields, 'address')
    state = read_text(fields, 'state')
    if state not in {'ready', 'draining'}:
        raise ProtocolError(f'unknown target state {state!r}')
    warm_up_ms = read_integer(fields, 'warmup_left_ms', 0, MAX_WARM_UP_MS)
    return TargetSpec(
        target_id=target_id,
        service=read_text(fields, 'service'),
        domain=read_text(fields, 'zone'),
        address=address.host,
        port=address.port,
        slots=read_integer(fields, 'slots', 1, MAX_SLOTS),
        is_draining=state == 'draining',
        # Time until the end of the warm-up, not until the target stops.
        warm_up_left_us=warm_up_ms * MILLISECOND_US,
        started_ms=_started_ms(fields),
    )


def _started_ms(fields: Mapping[str, Any]) -> int:
    """Return the wall-clock time of a target's start; 0 if it names none."""
    if 'born' not in fields:
        return 0
    return read_integer(fields, 'born', 0, MAX_STARTED_MS)


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
