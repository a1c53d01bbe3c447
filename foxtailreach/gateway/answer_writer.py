"""Encodes answers to callers and writes them as fast as these read."""

from __future__ import annotations

import asyncio

import h11
from tornado.iostream import IOStream

from foxtailreach.gateway.http_types import (
    CallerAnswer,
    find_header,
    forwarded_headers,
)
from foxtailreach.gateway.pending_answer import PendingAnswer

# Smaller answers are written at once, in one packet if they fit.
MAX_JOINED_BYTES = 16_384
WRITE_BYTES = 65_536


def encode_answer(
    parser: h11.Connection,
    pending: PendingAnswer,
    answer: CallerAnswer,
    id_header: bytes,
    *,
    must_close: bool,
) -> list[bytes | bytearray]:
    """Return the head, and the body if there is one.

    Raises h11.LocalProtocolError if they cannot be sent.
    """
    headers = forwarded_headers(answer.headers, frozenset())
    if pending.request is not None and pending.request.request_id:
        if not find_header(headers, id_header):
            text = pending.request.request_id.encode('latin-1')
            headers.append((id_header, text))
    length = str(len(answer.body)).encode()
    headers.append((b'content-length', length))
    if must_close:
        headers.append((b'connection', b'close'))
    response = h11.Response(
        status_code=answer.status,
        headers=headers,
        reason=answer.phrase,
    )
    parts: list[bytes | bytearray] = [parser.send(response) or b'']
    if answer.body and not pending.is_head:
        body = h11.Data(data=answer.body)  # type: ignore[arg-type]
        # `send` would copy the body.
        parts.extend(parser.send_with_data_passthrough(body) or ())
    parts.append(parser.send(h11.EndOfMessage()) or b'')
    return [part for part in parts if part]


async def write_parts(
    stream: IOStream, parts: list[bytes | bytearray], idle_s: float
) -> None:
    """Write an answer; a large body is not copied.

    Raises TimeoutError if the caller reads nothing for its idle time, and
    StreamClosedError if it has closed.
    """
    if sum(map(len, parts)) <= MAX_JOINED_BYTES:
        parts = [b''.join(parts)]
    for part in parts:
        view = memoryview(part)
        for start in range(0, len(part), WRITE_BYTES):
            async with asyncio.timeout(idle_s):
                await stream.write(view[start : start + WRITE_BYTES])
