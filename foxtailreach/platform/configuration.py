"""Decodes the operators' configuration into a `Deployment`.

Operators may use words that this version does not know, and fields may hold
values that it cannot use. A document that cannot be read as a whole is refused,
so that the last good one stays in force. Any other fault affects only the
resource that has it, in the way that is safe for callers.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterable
from dataclasses import replace
from typing import Any, TypeVar

from foxtailreach.core.dispatch.deployment import (
    CallerLimits,
    ConfigurationFault,
    CustomerSpec,
    Deployment,
    RequestKind,
    RouteSpec,
    ServiceShare,
    ServiceSpec,
    digest_key,
    index_routes,
)
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.exceptions import ConfigurationError
from foxtailreach.platform.fields import is_usable_text

_KINDS = {
    'safe': RequestKind.IDEMPOTENT,
    'unsafe': RequestKind.AT_MOST_ONCE,
    'download': RequestKind.DOWNLOAD,
    'upload': RequestKind.UPLOAD,
}
_RESOURCE_TYPES = frozenset(('routes', 'services', 'tenants', 'limits'))
_HEX_BASE = 16
# 63 bits at most.
_VERSION = re.compile('0*[0-9a-fA-F]{1,15}')
# Larger numbers do not fit into the messages between hosts.
MAX_NUMBER = 10**9
DEFAULT_OBJECTIVE_MS = 1000
MISSING = object()

SpecT = TypeVar('SpecT')


def decode_configuration(payload: bytes) -> Deployment:
    """Decode a configuration; its faults are listed in the result.

    Raises ConfigurationError if it is no document with a version and a list of
    resources, or if none of its routes can be used.
    """
    try:
        document = json.loads(payload)
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(f'not JSON: {error}') from error
    if not isinstance(document, dict):
        raise ConfigurationError('not an object')
    resources = document.get('resources')
    if not isinstance(resources, list):
        raise ConfigurationError('resources is not a list')
    version = _version(document.get('version'))
    return _build_deployment(version, [_Resource(entry) for entry in resources])


class _Resource:
    """Reads the fields of one resource and records their faults."""

    __slots__ = ('_spec', 'faults', 'name', 'resource_type')

    def __init__(self, entry: Any) -> None:
        """Find type, name and fields; each may be of any type."""
        self.faults: list[ConfigurationFault] = []
        table = _as_table(entry)
        resource_type = table.get('resource_type')
        self.resource_type = ''
        if isinstance(resource_type, str):
            self.resource_type = resource_type
        name = _as_table(table.get('metadata')).get('name')
        self.name = name if isinstance(name, str) and _is_text(name) else ''
        self._spec = _as_table(table.get('spec'))
        if self.resource_type not in _RESOURCE_TYPES:
            self.report('resource_type', 'the resource is ignored')
        elif self.resource_type != 'limits' and not self.name:
            self.report('name', 'the resource has no name')
        elif not isinstance(table.get('spec'), dict):
            self.report('spec', 'the resource has no fields')

    def report(self, field_name: str, effect: str) -> None:
        """Record a fault."""
        self.faults.append(
            ConfigurationFault(
                self.resource_type, self.name, field_name, effect
            ),
        )

    def raw(self, field_name: str) -> Any:
        """Return a field as it was written, or `MISSING`."""
        found = self._spec.get(field_name)
        return MISSING if found is None else found

    def text(self, field_name: str, effect: str) -> str:
        """Return a text, or '' if the field holds none."""
        found = self.raw(field_name)
        if _is_text(found):
            return str(found)
        self.report(field_name, effect)
        return ''

    def number(
        self,
        field_name: str,
        default: float,
        lowest: float = 0,
    ) -> float:
        """Return a number; `default` if it is missing or unusable."""
        found = self.raw(field_name)
        if found is MISSING:
            return default
        if _is_number(found) and lowest <= found <= MAX_NUMBER:
            return float(found)
        self.report(field_name, f'{default:g} is used instead')
        return default

    def has_unusable_number(self, field_name: str) -> bool:
        """Tell whether a field holds something else than a number from 0."""
        found = self.raw(field_name)
        if found is MISSING:
            return False
        return not (_is_number(found) and 0 <= found <= MAX_NUMBER)

    def duration_us(
        self, field_name: str, unit_us: int, default: float = 0
    ) -> int:
        """Return a duration that is written in another unit."""
        return int(self.number(field_name, default) * unit_us)


def _build_deployment(version: int, resources: list[_Resource]) -> Deployment:
    by_type = {
        resource_type: [
            resource
            for resource in resources
            if resource.resource_type == resource_type
        ]
        for resource_type in _RESOURCE_TYPES
    }
    limits = by_type['limits'][:1]
    routes = [_route(resource) for resource in by_type['routes']]
    if routes and not any(route and route.shares for route in routes):
        raise ConfigurationError('no route can be used')
    services = [_service(resource) for resource in _named(by_type['services'])]
    customers = by_type['tenants']
    deployment = Deployment(
        version=version,
        routes=index_routes(route for route in routes if route is not None),
        services={service.name: service for service in services},
        customers={
            resource.name: _customer(resource) for resource in customers
        },
        key_digests={
            digest_key(key): resource.name
            for resource in _named(customers)
            for key in _keys(resource)
        },
        limits=_limits(limits[0]) if limits else CallerLimits(),
    )
    faults = [fault for resource in resources for fault in resource.faults]
    return replace(deployment, faults=tuple(faults))


def _named(resources: Iterable[_Resource]) -> list[_Resource]:
    return [resource for resource in resources if resource.name]


def _version(text: Any) -> int:
    if not isinstance(text, str):
        raise ConfigurationError('version is not a text')
    if not _VERSION.fullmatch(text):
        raise ConfigurationError(f'version {text!r:.80} is not a number')
    return int(text, _HEX_BASE)


def _route(resource: _Resource) -> RouteSpec | None:
    """Decode a route; None if it does not say which requests it matches.

    A route whose service cannot be read is kept without one. Its requests must
    not fall to another route with a shorter prefix.
    """
    host = resource.text('host', 'the route is ignored')
    path_prefix = resource.text('path_prefix', 'the route is ignored')
    if not host or not path_prefix:
        return None
    return RouteSpec(
        name=resource.name,
        host=host.lower(),
        path_prefix=path_prefix,
        kind=_kind(resource),
        shares=_shares(resource),
        objective_us=resource.duration_us(
            'target_latency_ms', MILLISECOND_US, DEFAULT_OBJECTIVE_MS
        ),
        timeout_us=resource.duration_us('timeout_ms', MILLISECOND_US),
        max_attempts=max(1, int(resource.number('max_attempts', 1))),
        priority=int(resource.number('priority', 0)),
        is_open=_is_open(resource),
    )


def _kind(resource: _Resource) -> RequestKind:
    """Return the kind of a route's requests.

    Requests of an unknown kind run at most once.
    """
    word = resource.raw('kind')
    if isinstance(word, str) and word in _KINDS:
        return _KINDS[word]
    resource.report('kind', 'requests run at most once')
    return RequestKind.AT_MOST_ONCE


def _shares(resource: _Resource) -> tuple[ServiceShare, ...]:
    effect = 'requests are refused'
    split = resource.raw('traffic_split')
    if split is MISSING or _is_empty_list(split):
        service = resource.text('service', effect)
        return (ServiceShare(service, 1),) if service else ()
    parts = split if isinstance(split, list) else []
    shares = [_share(_as_table(part)) for part in parts]
    usable = tuple(share for share in shares if share is not None)
    if len(usable) < len(parts):
        resource.report('traffic_split', 'parts without a weight are left out')
    if not any(share.weight for share in usable):
        resource.report('traffic_split', effect)
        return ()
    return usable


def _share(part: dict[Any, Any]) -> ServiceShare | None:
    service: Any = part.get('service')
    weight: Any = part.get('weight')
    if not isinstance(service, str) or not _is_text(service):
        return None
    if not _is_number(weight) or not 0 <= weight <= MAX_NUMBER:
        return None
    return ServiceShare(service, weight)


def _is_open(resource: _Resource) -> bool:
    is_public = resource.raw('public')
    if is_public is MISSING or isinstance(is_public, bool):
        return is_public is True
    resource.report('public', 'callers need a key')
    return False


def _service(resource: _Resource) -> ServiceSpec:
    return ServiceSpec(
        name=resource.name,
        max_connections=int(resource.number('max_connections', 0)),
        warm_up_us=resource.duration_us('warmup_s', SECOND_US),
        warm_up_rate_per_s=resource.number('warmup_per_s', 0),
    )


def _customer(resource: _Resource) -> CustomerSpec:
    is_limit_unusable = any(
        resource.has_unusable_number(field_name)
        for field_name in ('rate_per_s', 'burst')
    )
    if is_limit_unusable:
        resource.report('rate_per_s', 'requests are refused as not run')
    return CustomerSpec(
        name=resource.name,
        priority=int(resource.number('priority', 0)),
        rate_per_s=resource.number('rate_per_s', 0),
        burst_requests=resource.number('burst', 0),
        has_known_limit=not is_limit_unusable,
    )


def _keys(resource: _Resource) -> list[str]:
    listed = resource.raw('api_keys')
    if listed is MISSING:
        return []
    entries = listed if isinstance(listed, list) else [listed]
    keys = [key for key in entries if _is_text(key)]
    if keys != listed:
        resource.report('api_keys', 'keys that are not texts are left out')
    return keys


def _limits(resource: _Resource) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(
            resource.number('max_header_bytes', default.max_header_bytes, 1)
        ),
        max_body_bytes=int(
            resource.number('max_body_bytes', default.max_body_bytes)
        ),
        header_timeout_us=resource.duration_us(
            'header_timeout_ms',
            MILLISECOND_US,
            default.header_timeout_us / MILLISECOND_US,
        ),
        idle_timeout_us=resource.duration_us(
            'idle_timeout_ms',
            MILLISECOND_US,
            default.idle_timeout_us / MILLISECOND_US,
        ),
    )


def _as_table(found: Any) -> dict[Any, Any]:
    return found if isinstance(found, dict) else {}


def _is_text(found: Any) -> bool:
    return isinstance(found, str) and is_usable_text(found)


def _is_empty_list(found: Any) -> bool:
    return isinstance(found, list) and not found


def _is_number(found: Any) -> bool:
    if isinstance(found, bool) or not isinstance(found, int | float):
        return False
    return isinstance(found, int) or math.isfinite(found)
