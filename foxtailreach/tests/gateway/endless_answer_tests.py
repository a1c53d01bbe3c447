"""Targets in trouble send bytes without end until the connection is closed."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from foxtailreach.core.dispatch.messages import SendOutcome
from foxtailreach.core.units import SECOND_US
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway.upstream import MAX_ANSWER_BYTES, Upstream
from foxtailreach.tests.gateway.upstream_tests import (
    HEADER_NAMES,
    OK,
    STALE,
    request,
    send,
    target,
)

HEAD = b'HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: s\r\n'
FILLING = b'x' * 60_000
CHUNK = b'%x\r\n%s\r\n' % (len(FILLING), FILLING)
# What is on its way when the connection closes.
SOCKET_BUFFERS_BYTES = 16 * 1024 * 1024

# Start of the answer, and the bytes that follow without end.
ENDLESS = {
    'no status line': (b'', FILLING),
    'no end of a line in the head': (HEAD + b'x-a: ', FILLING),
    'no end of the head': (HEAD, b'x-a: b\r\n' * 1000),
    'interim answers': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 1000),
    'answers to other requests': (
        b'',
        STALE.replace(b'length: 2', b'length: 60000').replace(b'no', FILLING),
    ),
    'body without length': (HEAD + b'\r\n', FILLING),
    'chunks': (HEAD + b'transfer-encoding: chunked\r\n\r\n', CHUNK),
    'chunks of one byte': (
        HEAD + b'transfer-encoding: chunked\r\n\r\n',
        b'1\r\nx\r\n' * 10_000,
    ),
    'chunk size': (HEAD + b'transfer-encoding: chunked\r\n\r\n', b'0' * 60_000),
    'trailers': (
        HEAD + b'transfer-encoding: chunked\r\n\r\n0\r\n',
        b'x-a: b\r\n' * 1000,
    ),
    'long body': (HEAD + b'content-length: 9999999999\r\n\r\n', FILLING),
}


class EndlessTarget:
    """Sends a start, then the same bytes until the connection is closed."""

    def __init__(self, start: bytes, repeated: bytes) -> None:
        """Count the bytes that the connection accepts."""
        self.sent_bytes = 0
        self.is_closed = asyncio.Event()
        self._start = start
        self._repeated = repeated

    async def answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request without end."""
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self._start)
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(self._repeated)
                await writer.drain()
                self.sent_bytes += len(self._repeated)
        self.is_closed.set()


@pytest.mark.parametrize('name', ENDLESS)
def test_endless_answer_ends_before_the_deadline(name: str) -> None:
    """Neither memory nor time of the host may be used up by one target."""
    start, repeated = ENDLESS[name]

    async def main() -> None:
        endless = EndlessTarget(start, repeated)
        upstream = Upstream(HEADER_NAMES, lambda *_: '')
        async with target(endless.answer) as (grant, _):
            started_us = boot_time_us()
            answer = await send(upstream, grant, request(), time_left_s=20)
            assert answer.outcome is SendOutcome.LOST
            assert answer.cause
            assert answer.cause
            assert boot_time_us() - started_us < 5 * SECOND_US
            async with asyncio.timeout(5):
                await endless.is_closed.wait()
            bound_bytes = MAX_ANSWER_BYTES + SOCKET_BUFFERS_BYTES
            assert endless.sent_bytes < bound_bytes

    asyncio.run(main())


@pytest.mark.parametrize(
    ('chunk_bytes', 'chunks', 'pause_s'),
    [(1, 150, 0), (1, 1200, 0.001), (40, 10_000, 0), (4000, 1000, 0)],
)
def test_answer_in_many_chunks_is_read_whole(
    chunk_bytes: int, chunks: int, pause_s: float
) -> None:
    """Targets may send what they have, also a word at a time."""
    chunk = b'%x\r\n%s\r\n' % (chunk_bytes, b'x' * chunk_bytes)

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(HEAD + b'transfer-encoding: chunked\r\n\r\n')
        for _ in range(chunks):
            writer.write(chunk)
            await writer.drain()
            if pause_s:
                await asyncio.sleep(pause_s)
        writer.write(b'0\r\n\r\n')

    async def main() -> None:
        upstream = Upstream(HEADER_NAMES, lambda *_: '')
        async with target(answer) as (grant, _):
            result = await send(upstream, grant, request(), time_left_s=20)
        assert result.outcome is SendOutcome.SERVED
        assert len(result.body) == chunk_bytes * chunks

    asyncio.run(main())


def test_endless_bytes_after_an_answer_close_the_connection() -> None:
    async def main() -> None:
        endless = EndlessTarget(OK, FILLING)
        upstream = Upstream(HEADER_NAMES, lambda *_: '')
        async with target(endless.answer) as (grant, _):
            answer = await send(upstream, grant, request())
            assert answer.outcome is SendOutcome.SERVED
            assert answer.body == b'hi'
            await asyncio.sleep(0.1)
            assert not upstream.connected_targets(boot_time_us())
            async with asyncio.timeout(5):
                await endless.is_closed.wait()
            assert endless.sent_bytes < SOCKET_BUFFERS_BYTES

    asyncio.run(main())
