"""What is sent to targets and accepted from them, as HTTP/1.1."""

from __future__ import annotations

import h11

# Smaller bodies are sent together with their head, in one packet if they fit.
MAX_JOINED_BYTES = 16_384
_SUCCESS = range(200, 300)
FIRST_INVALID_STATUS = 600
HTTP_VERSIONS = frozenset((b'1.0', b'1.1'))


class ConnectionLostError(Exception):
    """The connection broke or delivered no valid answer."""


def check_response(
    response: h11.Response | h11.InformationalResponse,
) -> None:
    """Raise ConnectionLostError on a status or version that is not valid.

    The parser admits three digits of any kind, and any version.
    """
    status = response.status_code
    if status >= FIRST_INVALID_STATUS:
        raise ConnectionLostError(f'invalid status {status}')
    if response.http_version not in HTTP_VERSIONS:
        raise ConnectionLostError(f'invalid version {response.http_version!r}')


def may_lack_id(response: h11.Response, *, is_first: bool) -> bool:
    """Tell whether an answer without an id can be that of the request.

    A target may refuse a request before it reads the id. On a reused
    connection it may as well be a late copy of another answer.
    """
    return is_first and response.status_code not in _SUCCESS


def serialize(
    request: h11.Request,
    body: bytes,
) -> tuple[h11.Connection, list[bytes]]:
    """Return the parser and what is to be sent; a large body is not copied."""
    parser = h11.Connection(h11.CLIENT)
    parts = [parser.send(request) or b'']
    if body:
        parts.append(parser.send(h11.Data(data=body)) or b'')
    parts.append(parser.send(h11.EndOfMessage()) or b'')
    if len(body) <= MAX_JOINED_BYTES:
        return parser, [b''.join(parts)]
    return parser, [part for part in parts if part]
