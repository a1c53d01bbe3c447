"""Decoding of entries that another writer has put into the store.

Any bytes give either a value that can be used and sent, or nothing; what lies
beside them stays.
"""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.messages import KeyedRecord
from foxtailreach.core.messages import HostEntry
from foxtailreach.daemon.headers import parse_number
from foxtailreach.exceptions import ConfigurationError, ProtocolError
from foxtailreach.gateway.http_types import bounded_number
from foxtailreach.gateway.peers import PeerEndpoint
from foxtailreach.gateway.settings import is_usable_address
from foxtailreach.gateway.upstream import _KEEP_ALIVE_TIMEOUT
from foxtailreach.platform import records
from foxtailreach.platform.configuration import decode_configuration
from foxtailreach.platform.malformed import MALFORMED
from foxtailreach.platform.store import _decode_list, _decode_page
from foxtailreach.rpc.fleet import FLEET_CODEC
from foxtailreach.tests.platform.records_tests import (
    CONFIGURATION,
    HEARTBEAT,
)

DEEP = b'[' * 100_000
DEEP_CLOSED = DEEP + b']' * 100_000
DEEP_FIELD = b'{"service": ' + b'{"a":' * 50_000 + b'1' + b'}' * 50_000 + b'}'
HOST: dict[str, Any] = {
    'host_id': 'h1',
    'domain': 'north',
    'address': '10.0.0.1',
    'peer_port': 7560,
    'capacity': 86,
    'incarnation': 1_700_000_000_000,
}
TARGETS = records.TARGETS_TOPIC
HOSTS = records.HOSTS_TOPIC
ODD_TEXT = ('\ud800', 'a\nb', ' a', 'a' * 70_000, '', '\0')
ODD_NUMBERS = (10**30, 2**63, -1, 1e308, True, None, 'NaN')
ODD_ADDRESSES = (
    '10.0.0.9:0',
    '10.0.0.9:65536',
    '10.0.0.9:70000',
    '10.0.0.9:99999999999999999999',
    '10.0.0.9:-1',
    '10.0.0.9: 80',
    '10.0.0.9:8_0',
    '10.0.0.9:٨٠',
    'host.example:80',
    '256.0.0.1:80',
    '0.0.0.0:80',
    '224.0.0.1:80',
    '[::1]:80',
    '10.0.0.9\n:80',
)
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(codec=None)),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def odd_entries(valid: dict[str, Any], odd: dict[str, tuple[Any, ...]]) -> Any:
    return [
        pytest.param({**valid, name: found}, id=f'{name}-{index}')
        for name, values in odd.items()
        for index, found in enumerate(values)
    ]


def target_entry(key: str, payload: bytes, offset: int = 1) -> KeyedRecord:
    return KeyedRecord(key, payload, offset)


def assert_usable(target: Any, target_id: str) -> None:
    """Check that a decoded target can be connected to, granted and named."""
    assert is_usable_address(target.address, target.port)
    grant = messages.SlotGrant(
        1, target_id, target.address, target.port, target.started_ms, -1
    )
    assert FLEET_CODEC.decode(FLEET_CODEC.encode(grant)[4:]) == grant
    assert 0 < target.slots <= records.MAX_SLOTS
    assert 0 <= target.warm_up_left_us < 2**42


@pytest.mark.parametrize('payload', [DEEP, DEEP_CLOSED, DEEP_FIELD, b'\xff'])
@pytest.mark.parametrize('topic', [TARGETS, HOSTS, records.OPERATOR_TOPIC])
def test_deeply_nested_entry_ends_the_reader(
    topic: str, payload: bytes
) -> None:
    mirror = records.create_mirror()
    key = records.CONFIGURATION_KEY
    good = json.dumps(HEARTBEAT).encode()
    mirror.topics[topic].fold([KeyedRecord(key, payload, 1)], 2)
    mirror.topics[TARGETS].fold([KeyedRecord('i-good', good, 5)], 6)
    assert [target.target_id for target in records.decode_targets(mirror)] == [
        'i-good'
    ]
    assert records.decode_hosts(mirror) == []
    assert records.decode_deployment(mirror) is None


@pytest.mark.parametrize(
    'fields',
    odd_entries(
        HEARTBEAT,
        {
            'address': ODD_ADDRESSES,
            'service': (*ODD_TEXT, 7),
            'zone': (*ODD_TEXT, 7),
            'slots': (*ODD_NUMBERS, 0, 10**6),
            'warmup_left_ms': (*ODD_NUMBERS, 10**9),
            'born': (*ODD_NUMBERS, 10**18),
            'state': (*ODD_TEXT, 'gone'),
        },
    ),
)
def test_odd_field_puts_an_unusable_target_in_use(
    fields: dict[str, Any],
) -> None:
    counted = MALFORMED.counts[TARGETS]
    mirror = records.create_mirror()
    odd = target_entry('i-odd', json.dumps(fields).encode())
    good = target_entry('i-good', json.dumps(HEARTBEAT).encode(), 2)
    mirror.topics[TARGETS].fold([odd, good], 3)
    targets = records.decode_targets(mirror)
    assert [target.target_id for target in targets] == ['i-good']
    assert MALFORMED.counts[TARGETS] >= counted


@pytest.mark.parametrize(
    'fields',
    odd_entries(
        HOST,
        {
            'address': ('10.0.0.999', 'host.example', '', '\ud800', 7),
            'peer_port': (*ODD_NUMBERS, 0, 65_536),
            'capacity': ODD_NUMBERS,
            'incarnation': ODD_NUMBERS,
            'host_id': ODD_TEXT,
            'domain': ODD_TEXT,
        },
    ),
)
def test_odd_registration_puts_an_unusable_host_in_use(
    fields: dict[str, Any],
) -> None:
    mirror = records.create_mirror()
    mirror.topics[HOSTS].fold(
        [
            KeyedRecord('odd', json.dumps(fields).encode(), 1),
            KeyedRecord('good', json.dumps(HOST).encode(), 2),
        ],
        3,
    )
    hosts = [one.entry.host_id for one in records.decode_hosts(mirror)]
    assert hosts == ['h1']


@pytest.mark.parametrize('odd_id', ['a\r\nb', '\ud800', ' ', 'i' * 5000])
def test_odd_id_puts_an_unusable_target_in_use(odd_id: str) -> None:
    payload = json.dumps(HEARTBEAT).encode()
    assert records.decode_target(target_entry(odd_id, payload)) is None


def test_odd_entry_keeps_the_true_one_out() -> None:
    """The target writes again after another writer took its key."""
    topic = records.create_mirror().topics[TARGETS]
    odd = {**HEARTBEAT, 'slots': 10**30, 'sequence': 10**11}
    topic.fold([target_entry('i-1', json.dumps(odd).encode(), 1)], 2)
    topic.fold([target_entry('i-1', json.dumps(HEARTBEAT).encode(), 2)], 3)
    assert records.decode_target(topic.records['i-1']) is not None


@given(st.binary() | JSON_VALUES.map(lambda found: json.dumps(found).encode()))
def test_any_bytes_are_decoded_or_skipped(payload: bytes) -> None:
    target = records.decode_target(target_entry('i-1', payload))
    assert target is None
    mirror = records.create_mirror()
    for topic in mirror.topics.values():
        topic.fold([KeyedRecord(records.CONFIGURATION_KEY, payload, 1)], 2)
    assert records.decode_hosts(mirror) == []
    assert records.decode_deployment(mirror) is None


@given(st.sampled_from(sorted(HEARTBEAT)), JSON_VALUES)
def test_target_with_any_field_is_usable_or_skipped(
    name: str, found: Any
) -> None:
    payload = json.dumps({**HEARTBEAT, name: found}).encode()
    target = records.decode_target(target_entry('i-1', payload))
    if target is not None:
        assert_usable(target, 'i-1')


@given(
    st.integers(0, len(CONFIGURATION['resources']) - 1),
    st.sampled_from(['name', 'service', 'host', 'api_keys', 'version']),
    JSON_VALUES,
)
def test_configuration_with_any_field_is_decoded_or_refused(
    index: int, name: str, found: Any
) -> None:
    document = json.loads(json.dumps(CONFIGURATION))
    if name == 'version':
        document['version'] = found
    elif name == 'name':
        document['resources'][index]['metadata'] = {'name': found}
    else:
        document['resources'][index]['spec'][name] = found
    try:
        deployment = decode_configuration(json.dumps(document).encode())
    except ConfigurationError:
        return
    for service in deployment.services:
        FLEET_CODEC.encode(messages.TurnedAway(service))
    for customer in deployment.customers:
        FLEET_CODEC.encode(messages.ChargeRequest(1, customer, is_retry=False))


def frame(key: bytes, payload: bytes) -> bytes:
    content = bytes([len(key)]) + key + payload
    return struct.pack('!I', len(content)) + content


@pytest.mark.parametrize(
    'odd',
    [
        frame(b'\xff\xfe', b'{}'),
        frame(b'', b'{}'),
        frame(b'a\nb', b'{}'),
        struct.pack('!I', 0),
        struct.pack('!I', 2) + b'\x09a',
    ],
    ids=['no-text', 'empty-key', 'control', 'empty-record', 'cut-key'],
)
def test_odd_record_of_the_log_stops_the_reader(odd: bytes) -> None:
    """The offsets of the records behind it must not change."""
    body = struct.pack('!QQ', 12, 0) + odd + frame(b'i-1', b'{}')
    page = _decode_page(TARGETS, body, 10)
    assert page.records == (KeyedRecord('i-1', b'{}', 11),)
    assert (page.next_offset, page.is_last) == (12, True)


@pytest.mark.parametrize(
    'odd',
    [
        7,
        {},
        {'key': '\ud800', 'value': '', 'offset': 1},
        {'key': 'a', 'value': '!', 'offset': 1},
        {'key': 'a', 'value': '', 'offset': 10**30},
        {'key': 'a', 'value': 5, 'offset': 1},
    ],
)
def test_odd_entry_of_the_list_hides_its_neighbours(odd: Any) -> None:
    good = {
        'key': 'i-1',
        'value': base64.b64encode(b'{}').decode(),
        'offset': 3,
    }
    body = json.dumps({'items': [odd, good], 'more': False, 'end': 9}).encode()
    page = _decode_list(TARGETS, body, '')
    assert page.records == (KeyedRecord('i-1', b'{}', 3),)


@pytest.mark.parametrize(
    'body',
    [
        b'[]',
        DEEP,
        b'{"items": {}, "end": 1}',
        b'{"items": [], "end": 1e999}',
        b'{"items": [], "end": 1, "more": true}',
        b'{"items": [{"key": "a"}], "end": 1, "more": true}',
    ],
)
def test_odd_page_of_the_list_is_refused(body: bytes) -> None:
    with pytest.raises(ProtocolError):
        _decode_list(TARGETS, body, 'a')


@given(st.binary(max_size=200))
def test_any_datagram_is_a_message_or_refused(payload: bytes) -> None:
    try:
        message = FLEET_CODEC.decode(payload)
    except ProtocolError:
        return
    FLEET_CODEC.encode(message)


@pytest.mark.parametrize('depth', [1000, 2_000_000])
@pytest.mark.parametrize('nested', [b'\x1c', b'\x19\x1c', b'\x1b\x01\xcc'])
def test_deeply_nested_message_is_refused(nested: bytes, depth: int) -> None:
    with pytest.raises(ProtocolError):
        FLEET_CODEC.decode(nested * depth)


@pytest.mark.parametrize(
    ('address', 'port'),
    [('10.0.0.9', 70_000), ('host.example', 80), ('10.0.0.9', -1), ('', 80)],
)
def test_odd_address_of_a_host_closes_the_socket(
    address: str, port: int
) -> None:
    """The transport closes for good if it cannot use an address."""
    own = HostEntry('h1', 'north', '127.0.0.1', 1)

    async def announce_and_send() -> bool:
        endpoint = PeerEndpoint(
            lambda *_: None, lambda: messages.HostAnnounced(own, 1)
        )
        await endpoint.open('127.0.0.1', 0)
        endpoint.add_host(HostEntry('odd', 'north', address, port))
        endpoint.send('odd', messages.HostUnknown('h1'))
        await asyncio.sleep(0)
        assert endpoint._transport is not None
        is_open = not endpoint._transport.is_closing()
        endpoint.close()
        await asyncio.sleep(0)
        return is_open

    assert asyncio.run(announce_and_send())


@pytest.mark.parametrize(
    ('digits', 'expected'),
    [(b'0', 0), (b'250', 250), (b'9' * 18, 1000), (b'9' * 9000, 1000)],
)
def test_number_of_many_digits_is_bounded(digits: bytes, expected: int) -> None:
    """A caller's time left may have more digits than `int` accepts."""
    assert bounded_number(digits, 1000) == expected


@pytest.mark.parametrize(
    ('text', 'expected'),
    [('12', 12), ('', None), ('-1', None), ('²', None), ('1' * 9000, None)],
)
def test_length_of_any_text_is_a_number_or_none(
    text: str, expected: int | None
) -> None:
    assert parse_number(text) == expected


def test_keep_alive_time_of_many_digits_ends_the_request() -> None:
    found = _KEEP_ALIVE_TIMEOUT.search(b'timeout=' + b'9' * 9000)
    assert found is not None
    assert int(found[1]) < 10**9
