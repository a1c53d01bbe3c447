"""Header fields that pass from callers to targets and back.

Hop-by-hop fields, fields that `Connection` names, the caller's key and
fields that only this system may set are removed at the edge.
"""

from __future__ import annotations

from collections.abc import Iterable

from tornado.httputil import HTTPHeaders

from foxtailreach.core.messages import Header

OWN_PREFIX = 'foxtailreach-'
VERDICT_HEADER = 'Foxtailreach-Verdict'
CUSTOMER_HEADER = 'Foxtailreach-Customer'
DEADLINE_HEADER = 'Foxtailreach-Deadline-Ms'
TIMEOUT_HEADER = 'Foxtailreach-Timeout-Ms'
KEY_HEADER = 'X-Api-Key'
BEARER_PREFIX = 'bearer '
MAX_NUMBER_DIGITS = 15
CHUNKED_LENGTH = -1

_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_IDENTITY = frozenset(
    (
        'authorization',
        'expect',
        'forwarded',
        'host',
        'x-api-key',
        'x-forwarded-for',
        'x-forwarded-host',
        'x-forwarded-proto',
        'x-real-ip',
    )
)
_FRAMING = frozenset(('content-length',))


def caller_key(headers: HTTPHeaders) -> str | None:
    """Return the caller's key, '' if there is none, None if keys differ."""
    keys = set(headers.get_list(KEY_HEADER))
    for credentials in headers.get_list('Authorization'):
        if credentials.lower().startswith(BEARER_PREFIX):
            keys.add(credentials[len(BEARER_PREFIX) :].strip())
    if len(keys) > 1:
        return None
    return next(iter(keys), '')


def request_headers(headers: HTTPHeaders) -> tuple[Header, ...]:
    """Return the fields of a request that may reach a target."""
    dropped = _HOP_BY_HOP | _IDENTITY | _FRAMING | _connection_fields(headers)
    return tuple(_filter(headers.get_all(), dropped))


def answer_headers(headers: HTTPHeaders) -> tuple[Header, ...]:
    """Return the fields of an answer that may reach a caller."""
    dropped = _HOP_BY_HOP | _connection_fields(headers)
    return tuple(_filter(headers.get_all(), dropped))


def body_length(headers: HTTPHeaders) -> int | None:
    """Return the length of a body: -1 if chunked, None if ambiguous.

    A request is ambiguous if two parsers could frame it differently.
    """
    lengths = headers.get_list('Content-Length')
    codings = headers.get_list('Transfer-Encoding')
    if codings:
        is_chunked = [coding.lower() for coding in codings] == ['chunked']
        return CHUNKED_LENGTH if is_chunked and not lengths else None
    if not lengths:
        return 0
    (length, *others) = lengths
    return None if others else parse_number(length)


def parse_number(text: str) -> int | None:
    """Return a number of ASCII digits; None if it is none or too long."""
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > MAX_NUMBER_DIGITS:
        return None
    return int(text)


def size_bytes(headers: HTTPHeaders) -> int:
    """Return the size of all header names and values."""
    return sum(len(name) + len(text) for name, text in headers.get_all())


def _connection_fields(headers: HTTPHeaders) -> frozenset[str]:
    named = headers.get('Connection', '').lower().split(',')
    return frozenset(name.strip() for name in named)


def _filter(
    fields: Iterable[tuple[str, str]],
    dropped: frozenset[str],
) -> Iterable[Header]:
    for name, text in fields:
        lowered = name.lower()
        if lowered not in dropped and not lowered.startswith(OWN_PREFIX):
            yield Header(name, text)
