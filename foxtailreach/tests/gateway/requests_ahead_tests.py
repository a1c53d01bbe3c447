"""Requests that callers send ahead of the answers to earlier ones."""

from __future__ import annotations

import asyncio
import contextlib
import tracemalloc
from collections.abc import AsyncIterator

import pytest

from foxtailreach.core.verdict import Verdict
from foxtailreach.gateway.answer_memory import AnswerMemory
from foxtailreach.gateway.body_memory import BodyBudget
from foxtailreach.gateway.frontend import Frontend, Handle
from foxtailreach.gateway.host_memory import (
    CONNECTION_BYTES,
    HostMemory,
    request_bytes,
)
from foxtailreach.gateway.http_types import CallerAnswer, CallerRequest
from foxtailreach.gateway.read_ahead import ReadAhead
from foxtailreach.gateway.request_reader import ReaderOptions
from foxtailreach.tests.gateway.frontend_tests import HEAD, LIMITS, echo
from foxtailreach.tests.gateway.upstream_tests import HEADER_NAMES

MEMORY_BYTES = 4_000_000
CALLERS = 40
REQUEST = HEAD + b'x-long: ' + b'a' * 1800 + b'\r\ncontent-length: 0\r\n\r\n'
# What one connection sends, far more than is read ahead.
SENT = REQUEST * 200


@contextlib.asynccontextmanager
async def serving(
    handle: Handle, memory: HostMemory
) -> AsyncIterator[tuple[Frontend, int]]:
    """Serve with an account of the host's memory."""
    options = ReaderOptions(
        HEADER_NAMES,
        lambda: LIMITS,
        BodyBudget(MEMORY_BYTES, memory),
        AnswerMemory(MEMORY_BYTES, memory),
        read_ahead=ReadAhead(memory),
    )
    server = Frontend(options, handle)
    server.listen(0, '127.0.0.1')
    (sock,) = server._sockets.values()
    try:
        yield server, sock.getsockname()[1]
    finally:
        server.stop()


async def connect_many(port: int) -> list[asyncio.StreamWriter]:
    """Open connections, each with many requests at once."""
    writers = []
    for _ in range(CALLERS):
        _, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(SENT)
        writers.append(writer)
    return writers


async def until_closed(server: Frontend) -> None:
    async with asyncio.timeout(3):
        while server.connections:
            await asyncio.sleep(0.01)


def test_requests_ahead_are_held_within_the_memory() -> None:
    """Guards against a host that is killed for its memory (review 8).

    Each request ahead kept all bytes that had arrived, which nothing counted.
    """
    memory = HostMemory(MEMORY_BYTES)
    release = asyncio.Event()

    async def hold(request: CallerRequest) -> CallerAnswer:
        await release.wait()
        return await echo(request)

    async def scenario() -> None:
        async with serving(hold, memory) as (server, port):
            writers = await connect_many(port)
            tracemalloc.start()
            await asyncio.sleep(0.5)
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            most = CALLERS * (CONNECTION_BYTES + request_bytes(REQUEST))
            assert most < memory.held_bytes <= MEMORY_BYTES
            # A part belongs to the senders.
            assert peak_bytes < 2 * MEMORY_BYTES
            release.set()
            await asyncio.sleep(0.1)
            for writer in writers:
                writer.transport.abort()
            await until_closed(server)

    asyncio.run(scenario())
    assert not memory.held_bytes


@pytest.mark.parametrize('ends', ['read', 'leave'])
def test_requests_ahead_are_read_when_there_is_memory_again(ends: str) -> None:
    """All are answered, in their order, when none fits beside another."""
    memory = HostMemory(CONNECTION_BYTES + 2 * request_bytes(REQUEST))
    handled: list[str] = []

    async def work(request: CallerRequest) -> CallerAnswer:
        handled.append(request.request_id)
        await asyncio.sleep(0.01)
        return CallerAnswer(
            200, b'OK', [], request.request_id.encode(), Verdict.RAN
        )

    async def scenario() -> bytes:
        async with serving(work, memory) as (server, port):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            for index in range(30):
                writer.write(REQUEST.replace(b'r1', b'n%02d' % index))
            received = b''
            async with asyncio.timeout(3):
                while received.count(b'HTTP/1.1 200') < 30:
                    received += await reader.read(65_536)
                    if ends == 'leave':
                        break
            writer.close()
            await until_closed(server)
            return received

    received = asyncio.run(scenario())
    assert not memory.held_bytes
    if ends == 'read':
        names = [f'n{index:02d}' for index in range(30)]
        assert handled == names
        places = [received.index(f'\r\n\r\n{name}'.encode()) for name in names]
        assert places == sorted(places)


def test_request_behind_the_last_answer_is_not_run() -> None:
    """Its caller sends it again, so it must not run here as well."""
    memory = HostMemory(CONNECTION_BYTES + 2 * request_bytes(REQUEST))
    handled: list[str] = []

    async def close_after(request: CallerRequest) -> CallerAnswer:
        handled.append(request.request_id)
        await asyncio.sleep(0.05)
        answer = await echo(request)
        answer.must_close = True
        return answer

    async def scenario() -> bytes:
        async with serving(close_after, memory) as (_, port):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(REQUEST + REQUEST.replace(b'r1', b'r2'))
            with contextlib.suppress(ConnectionError):
                await asyncio.wait_for(reader.read(), 2)
            writer.close()
            await asyncio.sleep(0.05)
            return b''

    asyncio.run(scenario())
    assert handled == ['r1']
    assert not memory.held_bytes


@pytest.mark.parametrize('ends', ['close', 'reset'])
def test_caller_that_leaves_has_no_request_running(ends: str) -> None:
    """Also if further requests wait to be read, so that nothing is read."""
    memory = HostMemory(CONNECTION_BYTES + 2 * request_bytes(REQUEST))
    running: set[str] = set()

    async def work(request: CallerRequest) -> CallerAnswer:
        running.add(request.request_id)
        try:
            await asyncio.sleep(0.05 if request.request_id == 'r1' else 5)
        finally:
            running.remove(request.request_id)
        return CallerAnswer(200, b'OK', [], b'x' * 1_000_000, Verdict.RAN)

    async def scenario() -> None:
        async with serving(work, memory) as (server, port):
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            later = REQUEST.replace(b'r1', b'r2')
            writer.write(REQUEST + later * 40)
            await asyncio.sleep(0.02)
            if ends == 'close':
                writer.close()
            else:
                writer.transport.abort()
            async with asyncio.timeout(1):
                while server.connections or running:
                    await asyncio.sleep(0.01)

    asyncio.run(scenario())
    assert not memory.held_bytes


EXPECTING = (
    HEAD.replace(b'r1', b'r2')
    + b'expect: 100-continue\r\nconnection: close\r\ncontent-length: 2\r\n\r\n'
)


@pytest.mark.parametrize('waits', [True, False])
def test_body_is_asked_for_behind_earlier_answers(waits: bool) -> None:
    """Guards against 100 Continue in the middle of an answer (review 7)."""
    body = b'x' * 3_000_000

    async def work(request: CallerRequest) -> CallerAnswer:
        if request.request_id == 'r2':
            return await echo(request)
        await asyncio.sleep(0.05)
        return CallerAnswer(200, b'OK', [], body, Verdict.RAN)

    async def scenario() -> bytes:
        async with serving(work, HostMemory(100_000_000)) as (_, port):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(REQUEST + EXPECTING)
            if not waits:
                await asyncio.sleep(0.02)
                writer.write(b'hi')
            received = b''
            async with asyncio.timeout(5):
                while not received.endswith(b'hi'):
                    received += await reader.read(65_536)
                    if waits and received.endswith(b'100 \r\n\r\n'):
                        writer.write(b'hi')
            writer.close()
            return received

    received = asyncio.run(scenario())
    start = received.index(b'\r\n\r\n') + 4
    assert received[start : start + len(body)] == body
    rest = received[start + len(body) :]
    assert rest.startswith(b'HTTP/1.1 100' if waits else b'HTTP/1.1 200')
    assert rest.count(b'HTTP/1.1 200') == 1
