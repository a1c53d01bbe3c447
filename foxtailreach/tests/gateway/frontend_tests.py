"""Tests of requests and connections from callers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from tornado.testing import bind_unused_port

from foxtailreach.core.dispatch.deployment import CallerLimits
from foxtailreach.core.verdict import Verdict
from foxtailreach.gateway.frontend import Frontend
from foxtailreach.gateway.http_types import CallerAnswer, CallerRequest
from foxtailreach.tests.gateway.upstream_tests import HEADER_NAMES

LIMITS = CallerLimits(
    max_header_bytes=2000,
    max_body_bytes=1000,
    header_timeout_us=200_000,
    idle_timeout_us=300_000,
)
Handle = Callable[[CallerRequest], Awaitable[CallerAnswer]]


async def echo(request: CallerRequest) -> CallerAnswer:
    return CallerAnswer(200, b'OK', [], request.body, Verdict.RAN)


@contextlib.asynccontextmanager
async def frontend(
    handle: Handle = echo,
) -> AsyncIterator[tuple[Frontend, int]]:
    server = Frontend(HEADER_NAMES, lambda: LIMITS, handle)
    sock, port = bind_unused_port()
    server.add_socket(sock)
    try:
        yield server, port
    finally:
        server.stop()


async def send_chunks(port: int, *chunks: bytes) -> bytes:
    """Send chunks; return what arrives until the connection closes."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    for chunk in chunks:
        writer.write(chunk)
        await writer.drain()
        await asyncio.sleep(0.01)
    answer = await asyncio.wait_for(reader.read(), 2)
    writer.close()
    return answer


HEAD = b'POST /a/ HTTP/1.1\r\nhost: h\r\nx-id: r1\r\n'


@pytest.mark.parametrize(
    ('chunks', 'status'),
    [
        ((HEAD + b'content-length: 2\r\n\r\nhi',), b'200'),
        (
            (HEAD + b'transfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n',),
            b'200',
        ),
        ((HEAD[:20], HEAD[20:] + b'content-length: 2\r\n\r\nh', b'i'), b'200'),
        (
            (
                HEAD + b'content-length: 2\r\n'
                b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
            ),
            b'400',
        ),
        ((HEAD + b'content-length: 2\r\ncontent-length: 3\r\n\r\nhi',), b'400'),
        ((HEAD + b'content-length: 5000\r\n\r\n',), b'413'),
        ((HEAD + b'x-long: ' + b'a' * 3000 + b'\r\n\r\n',), b'431'),
        ((b'not http at all\r\n\r\n',), b'400'),
        ((HEAD,), b'408'),
    ],
)
def test_status_of_a_request(chunks: tuple[bytes, ...], status: bytes) -> None:
    async def scenario() -> bytes:
        async with frontend() as (_, port):
            return await send_chunks(port, *chunks)

    answer = asyncio.run(scenario())
    assert answer.startswith(b'HTTP/1.1 ' + status)
    assert answer.count(b'HTTP/1.1 ') == 1


def test_disconnect_cancels_the_request() -> None:
    async def scenario() -> None:
        ended = asyncio.Event()

        async def hang(request: CallerRequest) -> CallerAnswer:
            try:
                await asyncio.sleep(5)
            finally:
                ended.set()
            return await echo(request)

        async with frontend(hang) as (_, port):
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(HEAD + b'content-length: 0\r\n\r\n')
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.wait_for(ended.wait(), 0.5)

    asyncio.run(scenario())


def test_stopping_frontend_answers_with_close() -> None:
    async def scenario() -> bytes:
        async with frontend() as (server, port):
            server.is_stopping = True
            return await send_chunks(port, HEAD + b'content-length: 0\r\n\r\n')

    answer = asyncio.run(scenario())
    assert answer.startswith(b'HTTP/1.1 200')
    assert b'connection: close' in answer.lower()


def test_caller_that_asks_to_close_is_answered_first() -> None:
    async def scenario() -> bytes:
        async with frontend() as (_, port):
            return await send_chunks(
                port,
                HEAD + b'connection: close\r\ncontent-length: 2\r\n\r\nhi',
            )

    assert asyncio.run(scenario()).endswith(b'hi')
