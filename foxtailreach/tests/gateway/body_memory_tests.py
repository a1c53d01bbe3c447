"""Tests of the memory for bodies, over every way a request can end."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailreach.core.verdict import Reason, Verdict
from foxtailreach.gateway.answer_memory import AnswerMemory
from foxtailreach.gateway.body_memory import BodyBudget, HeldBody
from foxtailreach.gateway.frontend import Frontend
from foxtailreach.gateway.http_types import (
    CallerAnswer,
    CallerRequest,
    Rejection,
    RequestTrace,
    refusal,
)
from foxtailreach.gateway.request_reader import ReaderOptions
from foxtailreach.tests.gateway.frontend_tests import HEAD, LIMITS, echo
from foxtailreach.tests.gateway.upstream_tests import HEADER_NAMES

BODY = b'a' * 900
# How a request ends, by the bytes that are sent and what happens then.
COMPLETE = HEAD + b'content-length: 900\r\n\r\n' + BODY
CHUNKED = (
    HEAD
    + b'transfer-encoding: chunked\r\n\r\n384\r\n'
    + BODY
    + b'\r\n0\r\n\r\n'
)
ENDS = {
    'answered': (COMPLETE, 'read'),
    'chunked': (CHUNKED, 'read'),
    'leaves-at-once': (COMPLETE, 'leave'),
    'chunked-leaves-at-once': (CHUNKED, 'leave'),
    'leaves-in-body': (COMPLETE[:-9], 'leave'),
    'leaves-while-served': (COMPLETE, 'wait'),
    'resets': (COMPLETE, 'reset'),
    'fails': (COMPLETE.replace(b'/a/', b'/fail/'), 'read'),
    'stalls': (
        COMPLETE[:-9].replace(b'x-id', b'x-left: 30\r\nx-id'),
        'read',
    ),
    'too-large': (
        CHUNKED.replace(b'384\r\n' + BODY, b'bb8\r\n' + BODY * 3),
        'read',
    ),
    'malformed': (CHUNKED.replace(b'0\r\n\r\n', b'zz\r\n'), 'read'),
    'pipelined': (COMPLETE * 20, 'leave'),
    'closing': (
        COMPLETE.replace(b'host', b'connection: close\r\nhost'),
        'leave',
    ),
    'no-key': (COMPLETE.replace(b'/a/', b'/reject/'), 'read'),
}


async def serve(request: CallerRequest) -> CallerAnswer:
    """Answer after a moment, or fail."""
    await asyncio.sleep(0.005)
    if request.path == b'/fail/':
        raise RuntimeError('a bug')
    return await echo(request)


async def reject(request: CallerRequest) -> Rejection | None:
    """Reject some requests by their head."""
    if request.path != b'/reject/':
        return None
    answer = refusal(401, Verdict.NOT_RUN, Reason.NO_KEY)
    return Rejection(answer, RequestTrace(request.request_id))


async def end_one(port: int, end: str) -> None:
    """Send a request that ends in one way."""
    payload, then = ENDS[end]
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(payload)
    with contextlib.suppress(OSError, TimeoutError):
        if then == 'read':
            await asyncio.wait_for(reader.read(65_536), 2)
        elif then == 'wait':
            await asyncio.sleep(0.003)
        elif then == 'reset':
            writer.transport.abort()
    writer.close()


@settings(max_examples=30, deadline=None)
@given(st.lists(st.sampled_from(sorted(ENDS)), min_size=1, max_size=12))
def test_no_memory_is_reserved_when_no_request_is_in_flight(
    ends: list[str],
) -> None:
    """Guards against a host that refuses all bodies from then on.

    A task that was cancelled before its first step kept its memory.
    """
    budget = BodyBudget(100_000)

    async def scenario() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        options = ReaderOptions(
            HEADER_NAMES,
            lambda: LIMITS,
            budget,
            AnswerMemory(1_000_000),
            reject,
        )
        server = Frontend(options, serve)
        server.listen(0, '127.0.0.1')
        (sock,) = server._sockets.values()
        port = sock.getsockname()[1]
        await asyncio.gather(*(end_one(port, end) for end in ends))
        async with asyncio.timeout(3):
            while server.connections:
                await asyncio.sleep(0.005)
        server.stop()

    asyncio.run(scenario())
    assert not budget.held_bytes


@given(
    st.lists(st.integers(0, 200_000), max_size=20),
    st.integers(0, 2_000_000),
)
def test_reserved_memory_covers_what_arrived(
    chunks: list[int], announced_bytes: int
) -> None:
    """A caller that announces much and sends little must not hold much."""
    budget = BodyBudget(3_000_000)
    held_body = HeldBody(budget)
    received_bytes = 0
    for chunk_bytes in chunks:
        received_bytes += chunk_bytes
        if not held_body.grow(received_bytes, announced_bytes):
            break
        assert 2 * received_bytes <= budget.held_bytes <= 3_000_000
        assert budget.held_bytes <= 2 * max(2 * received_bytes, 65_536)
    held_body.release()
    held_body.release()
    assert not budget.held_bytes


@pytest.mark.parametrize(('path', 'is_held'), [(b'/reject/', 0), (b'/a/', 1)])
def test_rejected_head_holds_no_body(path: bytes, is_held: int) -> None:
    """Guards against callers without a key that fill the memory."""
    budget = BodyBudget(100_000)

    async def scenario() -> bytes:
        options = ReaderOptions(
            HEADER_NAMES,
            lambda: LIMITS,
            budget,
            AnswerMemory(1_000_000),
            reject,
        )

        async def answer(request: CallerRequest) -> CallerAnswer:
            if request.rejection is not None:
                assert not request.body
                return request.rejection.answer
            return await echo(request)

        server = Frontend(options, answer)
        server.listen(0, '127.0.0.1')
        (sock,) = server._sockets.values()
        reader, writer = await asyncio.open_connection(*sock.getsockname())
        writer.write(COMPLETE.replace(b'/a/', path)[:-1])
        await asyncio.sleep(0.05)
        assert bool(budget.held_bytes) == bool(is_held)
        writer.write(b'a')
        head = await reader.readuntil(b'\r\n\r\n')
        # The connection stays usable.
        writer.write(HEAD + b'content-length: 2\r\n\r\nhi')
        assert b'200' in await reader.readuntil(b'hi')
        writer.close()
        server.stop()
        return head

    head = asyncio.run(scenario())
    assert head.startswith(b'HTTP/1.1 200' if is_held else b'HTTP/1.1 401')
    assert not budget.held_bytes
