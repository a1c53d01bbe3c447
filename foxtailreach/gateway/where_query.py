"""Parses the query for where a request would go."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from foxtailreach.core.dispatch.deployment import (
    CustomerSpec,
    Deployment,
    RouteSpec,
)
from foxtailreach.core.units import MILLISECOND_US
from foxtailreach.gateway.request_reader import (
    DEFAULT_TIME_LEFT_US,
    MAX_TIME_LEFT_MS,
)

# Bounds the size of the message to a broker.
MAX_NAME_LENGTH = 256
MAX_PATH_LENGTH = 8192
MAX_BODY_BYTES = 2**40
_METHOD = re.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]{1,32}")
_NAMES = frozenset(
    (
        'host',
        'path',
        'customer',
        'method',
        'body_bytes',
        'domain',
        'service',
        'time_left_ms',
    ),
)


class QueryError(ValueError):
    """A query is malformed; the message says why."""


@dataclass(slots=True, frozen=True)
class WhereQuery:
    """The request of a caller that is to be explained.

    `domain` is '' for that of the asked host, `service` '' for the one of the
    route that gets most requests, `customer` '' for a caller without a key.
    """

    host: str
    path: str
    customer: str
    method: str
    body_bytes: int
    domain: str
    service: str
    time_left_ms: int

    @classmethod
    def parse(cls, arguments: Mapping[str, list[bytes]]) -> WhereQuery:
        """Read the arguments of a URL; raises QueryError with the reason."""
        texts = _texts(arguments)
        method = texts['method'] or 'GET'
        if not _METHOD.fullmatch(method):
            raise QueryError(f'method {method!r} is not a token')
        default_ms = DEFAULT_TIME_LEFT_US // MILLISECOND_US
        return cls(
            host=texts['host'].partition(':')[0].lower(),
            path=texts['path'].partition('?')[0],
            customer=texts['customer'],
            method=method,
            body_bytes=_number('body_bytes', texts, 0, MAX_BODY_BYTES),
            domain=texts['domain'],
            service=texts['service'],
            time_left_ms=_number(
                'time_left_ms', texts, default_ms, MAX_TIME_LEFT_MS
            ),
        )

    def find_customer(self, deployment: Deployment) -> CustomerSpec | None:
        """Return the customer; raises QueryError if it does not exist."""
        if not self.customer:
            return None
        customer = deployment.customers.get(self.customer)
        if customer is None:
            raise QueryError(f'there is no customer {self.customer!r}')
        return customer

    def choose_service(self, route: RouteSpec) -> str:
        """Return the service; raises QueryError if the route has it not."""
        if not self.service:
            largest = max(route.shares, key=lambda share: share.weight)
            return largest.service
        if all(share.service != self.service for share in route.shares):
            raise QueryError(
                f'route {route.name!r} has no service {self.service!r}'
            )
        return self.service


def _texts(arguments: Mapping[str, list[bytes]]) -> dict[str, str]:
    """Return all arguments; '' for those that are not given."""
    unknown = sorted(arguments.keys() - _NAMES)
    if unknown:
        raise QueryError(f'unknown argument {unknown[0]!r}')
    texts = {name: _text(name, arguments) for name in _NAMES}
    for name in ('host', 'path'):
        if not texts[name]:
            raise QueryError(f'{name} is missing')
    if not texts['path'].startswith('/'):
        raise QueryError('path does not start with a slash')
    return texts


def _text(name: str, arguments: Mapping[str, list[bytes]]) -> str:
    given = arguments.get(name, [b''])
    if len(given) > 1:
        raise QueryError(f'{name} is given {len(given)} times')
    try:
        text = given[0].decode()
    except UnicodeDecodeError as error:
        raise QueryError(f'{name} is not UTF-8') from error
    longest = MAX_PATH_LENGTH if name == 'path' else MAX_NAME_LENGTH
    if len(text) > longest:
        raise QueryError(f'{name} is longer than {longest} characters')
    return text


def _number(
    name: str, texts: Mapping[str, str], default: int, highest: int
) -> int:
    digits = texts[name]
    if not digits:
        return default
    is_number = digits.isascii() and digits.isdigit()
    if not is_number or len(digits) > len(str(highest)):
        raise QueryError(f'{name} {digits[:40]!r} is not a number of that size')
    if int(digits) > highest:
        raise QueryError(f'{name} is more than {highest}')
    return int(digits)
