"""Refusals reach callers that are still sending."""

from __future__ import annotations

import asyncio

import pytest

from foxtailreach.gateway.frontend import Frontend
from foxtailreach.tests.gateway.frontend_tests import HEAD, frontend

LARGE = b'a' * 400_000
# What is sent, and the status that must arrive although more follows.
REFUSED = {
    'too large': (HEAD + b'content-length: 2000000\r\n\r\n', b'413'),
    'malformed': (HEAD + b'transfer-encoding: chunked\r\n\r\nzz\r\n', b'400'),
    'two lengths': (
        HEAD + b'content-length: 2\r\ncontent-length: 3\r\n\r\n',
        b'400',
    ),
    'long head': (HEAD + b'x-long: ' + b'a' * 5000, b'431'),
}


async def send_and_read(port: int, start: bytes) -> bytes:
    """Send much behind a request; then read its answer."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(start)
    for _ in range(5):
        writer.write(LARGE)
        await asyncio.sleep(0.02)
    answer = await asyncio.wait_for(reader.read(), 3)
    writer.close()
    return answer


@pytest.mark.parametrize('kind', REFUSED)
def test_refusal_reaches_a_caller_that_still_sends(kind: str) -> None:
    """Guards against a reset that destroys the answer.

    The caller did not learn that its request has not run.
    """
    start, status = REFUSED[kind]

    async def scenario() -> bytes:
        async with frontend() as (_, port):
            return await send_and_read(port, start)

    answer = asyncio.run(scenario())
    assert answer.startswith(b'HTTP/1.1 ' + status)
    assert b'"not-run"' in answer


def test_refusal_of_a_connection_reaches_its_caller() -> None:
    async def fill(server: Frontend, port: int) -> list[asyncio.StreamWriter]:
        """Open all connections, each with the start of a request."""
        writers = []
        while not server.limit.refused:
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(HEAD)
            writers.append(writer)
            await asyncio.sleep(0.001)
        return writers

    async def scenario() -> bytes:
        async with frontend() as (server, port):
            server.limit._max_connections = 20
            writers = await fill(server, port)
            answer = await send_and_read(port, HEAD + b'x-a: b\r\n')
            for writer in writers:
                writer.close()
            return answer

    answer = asyncio.run(scenario())
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'"not-run"' in answer


def test_refused_caller_that_never_closes_is_not_kept() -> None:
    async def scenario() -> None:
        async with frontend() as (server, port):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(REFUSED['too large'][0])
            async with asyncio.timeout(3):
                await reader.read()
                while server.connections:
                    await asyncio.sleep(0.05)
            writer.close()

    asyncio.run(scenario())
