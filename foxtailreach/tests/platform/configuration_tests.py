"""Tests of configurations with words and values that are not known here.

One unknown word once made every host refuse the whole configuration.
"""

from __future__ import annotations

import copy
import json
from collections.abc import Iterator
from typing import Any

import pytest

from foxtailreach.core.dispatch.deployment import Deployment, RequestKind
from foxtailreach.exceptions import ConfigurationError
from foxtailreach.platform.configuration import decode_configuration
from foxtailreach.tests.platform.records_tests import CONFIGURATION

MISSING = object()
REPLACEMENTS: tuple[Any, ...] = (
    MISSING,
    None,
    True,
    0,
    -1,
    7,
    1.5,
    float('nan'),
    float('inf'),
    10**40,
    '',
    'unheard-of',
    [],
    [None, 3, {}],
    {},
    {'a': 1},
)
REPEATABLE_WORDS = {'safe', 'download'}
Path = tuple[str | int, ...]


def decode(document: Any) -> Deployment:
    return decode_configuration(json.dumps(document).encode())


def with_route_field(field: str, value: Any) -> Any:
    document = copy.deepcopy(CONFIGURATION)
    document['resources'][0]['spec'][field] = value
    return document


def paths(node: Any, path: Path = ()) -> Iterator[Path]:
    """List the paths of all values below the top level of a document."""
    if isinstance(node, dict):
        children: list[tuple[Any, Any]] = list(node.items())
    elif isinstance(node, list):
        children = list(enumerate(node))
    else:
        children = []
    for key, child in children:
        yield (*path, key)
        yield from paths(child, (*path, key))


def replaced(path: Path, value: Any) -> Any:
    document = copy.deepcopy(CONFIGURATION)
    node: Any = document
    for key in path[:-1]:
        node = node[key]
    if value is MISSING:
        del node[path[-1]]
    else:
        node[path[-1]] = value
    return document


def kind_words(document: Any) -> set[str]:
    """Return the names of routes that are written as repeatable."""
    names = set()
    for resource in document['resources']:
        spec = resource.get('spec') if isinstance(resource, dict) else None
        if not isinstance(spec, dict):
            continue
        word = spec.get('kind')
        metadata = resource.get('metadata')
        name = metadata.get('name') if isinstance(metadata, dict) else ''
        if isinstance(word, str) and word in REPEATABLE_WORDS:
            names.add(name if isinstance(name, str) else '')
    return names


RESOURCE_PATHS = [
    path for path in paths(CONFIGURATION) if path[0] == 'resources'
]


@pytest.mark.parametrize(
    ('word', 'kind'),
    [
        ('safe', RequestKind.IDEMPOTENT),
        ('unsafe', RequestKind.AT_MOST_ONCE),
        ('download', RequestKind.DOWNLOAD),
        ('upload', RequestKind.UPLOAD),
        ('unheard-of', RequestKind.AT_MOST_ONCE),
        (None, RequestKind.AT_MOST_ONCE),
        (7, RequestKind.AT_MOST_ONCE),
    ],
)
def test_kind_of_a_route(word: Any, kind: RequestKind) -> None:
    route = decode(with_route_field('kind', word)).find_route(
        'shop.example', '/a/'
    )
    assert route is not None
    assert route.kind is kind


@pytest.mark.parametrize('kind', [RequestKind.AT_MOST_ONCE, RequestKind.UPLOAD])
def test_requests_that_run_at_most_once_are_not_repeatable(
    kind: RequestKind,
) -> None:
    assert not kind.is_repeatable


@pytest.mark.parametrize('path', RESOURCE_PATHS, ids=str)
def test_fault_of_one_value_leaves_the_rest_in_force(path: Path) -> None:
    """No value, whatever it is, takes other resources out of service."""
    whole = decode(CONFIGURATION)
    for value in REPLACEMENTS:
        document = replaced(path, value)
        if not isinstance(document.get('resources'), list):
            continue
        deployment = decode(document)
        repeatable = kind_words(document)
        for by_prefix in deployment.routes.values():
            for route in by_prefix.values():
                if route.kind.is_repeatable:
                    assert route.name in repeatable
        if len(path) > 1:
            touched = CONFIGURATION['resources'][path[1]]['metadata'].get(
                'name'
            )
            assert_others_unchanged(whole, deployment, touched)


def assert_others_unchanged(
    whole: Deployment, deployment: Deployment, touched: str | None
) -> None:
    for host, by_prefix in whole.routes.items():
        for prefix, route in by_prefix.items():
            if route.name != touched:
                assert deployment.routes[host][prefix] == route
    for name, service in whole.services.items():
        if name != touched:
            assert deployment.services[name] == service
    for name, customer in whole.customers.items():
        if name != touched:
            assert deployment.customers[name] == customer
            assert name in deployment.key_digests.values()


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('service', MISSING),
        ('service', 7),
        ('traffic_split', [{'service': 'stock'}]),
        ('traffic_split', [{'service': 'stock', 'weight': 0}]),
        ('traffic_split', 'stock'),
    ],
)
def test_route_without_a_service_hides_the_shorter_prefix(
    field: str, value: Any
) -> None:
    """Its requests would otherwise run at the service of another route."""
    document = replaced(('resources', 1, 'spec', 'traffic_split'), MISSING)
    spec = document['resources'][1]['spec']
    if value is not MISSING:
        spec[field] = value
    deployment = decode(document)
    route = deployment.find_route('shop.example', '/a/b/c')
    assert route is not None
    assert not route.shares
    assert deployment.faults


@pytest.mark.parametrize(
    'value', ['20', -1, True, float('nan'), [], {'rate': 3}]
)
def test_unreadable_limit_is_not_taken_for_none(value: Any) -> None:
    document = replaced(('resources', 3, 'spec', 'rate_per_s'), value)
    customer = decode(document).find_customer('k1')
    assert customer is not None
    assert not customer.has_known_limit


@pytest.mark.parametrize('name', [MISSING, 7, ''])
def test_keys_are_required_though_a_customer_cannot_be_read(name: Any) -> None:
    document = replaced(('resources', 3, 'metadata', 'name'), name)
    deployment = decode(document)
    assert deployment.customers
    assert deployment.find_customer('k1') is None


@pytest.mark.parametrize(
    'document',
    [
        [],
        None,
        'text',
        {'version': '0c'},
        {'version': 12, 'resources': []},
        {'version': '', 'resources': []},
        {'version': '0c', 'resources': {}},
    ],
)
def test_document_that_cannot_be_read_is_refused(document: Any) -> None:
    with pytest.raises(ConfigurationError):
        decode(document)


@pytest.mark.parametrize('payload', [b'', b'{', b'\xff\xfe', b'[' * 100_000])
def test_bytes_that_are_no_document_are_refused(payload: bytes) -> None:
    with pytest.raises(ConfigurationError):
        decode_configuration(payload)


def test_valid_configuration_has_no_faults() -> None:
    assert not decode(CONFIGURATION).faults


def test_fault_names_resource_and_field() -> None:
    faults = decode(with_route_field('kind', 'unheard-of')).faults
    assert [
        (fault.object_type, fault.name, fault.field_name) for fault in faults
    ] == [('routes', 'r1', 'kind')]
