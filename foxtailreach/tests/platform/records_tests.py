"""Tests of decoding the records of the platform's topics."""

from __future__ import annotations

import json
from typing import Any

import pytest

from foxtailreach.core.dispatch.deployment import RequestKind
from foxtailreach.core.dispatch.messages import KeyedRecord
from foxtailreach.core.dispatch.mirror import Change
from foxtailreach.platform import records

HEARTBEAT: dict[str, Any] = {
    'service': 'stock',
    'address': '10.0.0.9:8080',
    'zone': 'north',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'warmup_left_ms': 1500,
    'sequence': 4,
    'born': 1_700_000_000_000,
}
CONFIGURATION: dict[str, Any] = {
    'version': '0000000c',
    'resources': [
        {
            'resource_type': 'routes',
            'metadata': {'name': 'r1'},
            'spec': {
                'host': 'Shop.Example',
                'path_prefix': '/a/',
                'kind': 'unsafe',
                'timeout_ms': 2500,
                'target_latency_ms': 800,
                'priority': 1,
                'service': 'stock',
                'max_attempts': 2,
                'public': False,
            },
        },
        {
            'resource_type': 'routes',
            'metadata': {'name': 'r2'},
            'spec': {
                'host': 'shop.example',
                'path_prefix': '/a/b/',
                'kind': 'download',
                'target_latency_ms': 600,
                'traffic_split': [
                    {'service': 'stock', 'weight': 90},
                    {'service': 'other', 'weight': 10},
                ],
                'max_attempts': 3,
            },
        },
        {
            'resource_type': 'services',
            'metadata': {'name': 'stock'},
            'spec': {
                'max_connections': 360,
                'warmup_s': 3.0,
                'warmup_per_s': 2.6,
            },
        },
        {
            'resource_type': 'tenants',
            'metadata': {'name': 'c1'},
            'spec': {
                'api_keys': ['k1', 'k2'],
                'priority': 0,
                'rate_per_s': 21,
                'burst': 20,
            },
        },
        {
            'resource_type': 'limits',
            'metadata': {},
            'spec': {
                'max_header_bytes': 16384,
                'max_body_bytes': 67108864,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        },
    ],
}


def heartbeat_record(offset: int = 1, **changes: Any) -> KeyedRecord:
    fields = {**HEARTBEAT, **changes}
    fields = {key: value for key, value in fields.items() if value != 'absent'}
    return KeyedRecord('i-1', json.dumps(fields).encode(), offset)


def test_target_is_decoded() -> None:
    target = records.decode_target(heartbeat_record())
    assert target is not None
    assert (target.address, target.port) == ('10.0.0.9', 8080)
    assert target.domain == 'north'
    assert target.warm_up_left_us == 1_500_000
    assert not target.is_draining


@pytest.mark.parametrize(
    'changes',
    [
        {'service': 'absent'},
        {'service': 7},
        {'address': 'nowhere'},
        {'address': '10.0.0.9:http'},
        {'zone': None},
        {'slots': 0},
        {'slots': '2'},
        {'slots': True},
        {'state': 'resting'},
        {'warmup_left_ms': -5},
        {'born': 1.5},
        {'born': True},
    ],
)
def test_invalid_field_yields_no_target(
    changes: dict[str, Any],
) -> None:
    assert records.decode_target(heartbeat_record(**changes)) is None


@pytest.mark.parametrize('payload', [b'\xff\xfe', b'[]', b'null', b'{'])
def test_malformed_entry_yields_no_target(payload: bytes) -> None:
    assert records.decode_target(KeyedRecord('i-1', payload, 1)) is None


@pytest.mark.parametrize(
    ('newer', 'change'),
    [
        (heartbeat_record(2, sequence=5), Change.REPEATED),
        (heartbeat_record(2, sequence=5, warmup_left_ms=0), Change.REPEATED),
        (heartbeat_record(2, sequence=5, warmup_left_ms=3000), Change.MATERIAL),
        (heartbeat_record(2, sequence=5, state='draining'), Change.MATERIAL),
        (
            heartbeat_record(2, sequence=5, address='10.0.0.8:1'),
            Change.MATERIAL,
        ),
        (heartbeat_record(2, sequence=3), Change.STALE),
        (heartbeat_record(2, sequence=9, born=1_600_000_000_000), Change.STALE),
        (
            heartbeat_record(2, sequence=0, born=1_800_000_000_000),
            Change.MATERIAL,
        ),
    ],
)
def test_heartbeat_is_distinguished_from_a_change(
    newer: KeyedRecord, change: Change
) -> None:
    assert records.classify_target(heartbeat_record(), newer) is change


@pytest.mark.parametrize('born', ['soon', None, 1.5, -1, [], True])
def test_entry_whose_start_is_no_number_is_a_change(born: Any) -> None:
    """Another writer's entry names no target; it must not stop the reader."""
    malformed = heartbeat_record(2, sequence=9, born=born)
    known = heartbeat_record()
    assert records.classify_target(known, malformed) is Change.MATERIAL
    assert records.classify_target(malformed, known) is Change.MATERIAL
    assert records.decode_target(malformed) is None


def mirror_with(document: Any) -> Any:
    mirror = records.create_mirror()
    payload = json.dumps(document).encode()
    mirror.topics[records.OPERATOR_TOPIC].fold(
        [KeyedRecord('config', payload, 0)], 1
    )
    return mirror


def test_configuration_is_decoded() -> None:
    deployment = records.decode_deployment(mirror_with(CONFIGURATION))
    assert deployment is not None
    assert deployment.version == 12
    route = deployment.find_route('shop.example', '/a/x/y')
    assert route is not None
    assert route.kind is RequestKind.AT_MOST_ONCE
    deeper = deployment.find_route('shop.example', '/a/b/c')
    assert deeper is not None
    assert deeper.kind is RequestKind.DOWNLOAD
    assert [share.weight for share in deeper.shares] == [90, 10]
    customer = deployment.find_customer('k2')
    assert customer is not None
    assert customer.name == 'c1'
    assert deployment.find_customer('k3') is None


@pytest.mark.parametrize(
    ('host', 'path'),
    [('shop.example', '/a'), ('shop.example', '/'), ('other.example', '/a/')],
)
def test_no_route_matches(host: str, path: str) -> None:
    deployment = records.decode_deployment(mirror_with(CONFIGURATION))
    assert deployment is not None
    assert deployment.find_route(host, path) is None


@pytest.mark.parametrize(
    'document',
    [
        {},
        [],
        {'version': 'x', 'resources': []},
        {'version': '0000000d', 'resources': [{'resource_type': 'routes'}]},
    ],
)
def test_malformed_configuration_keeps_the_last_good_one(
    document: Any,
) -> None:
    mirror = mirror_with(CONFIGURATION)
    topic = mirror.topics[records.OPERATOR_TOPIC]
    payload = json.dumps(document).encode()
    assert not topic.fold([KeyedRecord('config', payload, 1)], 2)
    deployment = records.decode_deployment(mirror)
    assert deployment is not None
    assert deployment.version == 12


def test_older_version_is_rejected() -> None:
    mirror = mirror_with(CONFIGURATION)
    older = {**CONFIGURATION, 'version': '0000000b'}
    topic = mirror.topics[records.OPERATOR_TOPIC]
    assert not topic.fold(
        [KeyedRecord('config', json.dumps(older).encode(), 1)], 2
    )


def test_evacuation_starts_and_ends() -> None:
    mirror = mirror_with(CONFIGURATION)
    topic = mirror.topics[records.OPERATOR_TOPIC]
    topic.fold([KeyedRecord('evacuate/north', b'{}', 1)], 2)
    assert records.decode_evacuated(mirror) == {'north'}
    topic.fold([KeyedRecord('evacuate/north', b'', 2)], 3)
    assert not records.decode_evacuated(mirror)
