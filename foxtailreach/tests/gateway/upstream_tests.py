"""Tests of the outcomes of target answers, and of connection reuse."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from foxtailreach.core.dispatch.messages import SendOutcome, SlotGrant
from foxtailreach.core.units import SECOND_US
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway.http_types import CallerRequest, HeaderNames
from foxtailreach.gateway.upstream import TargetAnswer, Upstream

HEADER_NAMES = HeaderNames(
    leaving=b'server-leaving',
    request_id=b'x-id',
    time_left_ms=b'x-left',
    signature=b'x-signed',
    customer=b'x-customer',
    expected_target=b'x-expected',
    not_executed=b'x-not-executed',
    key_scheme=b'token',
)
OK = (
    b'HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: s\r\ncontent-length: 2\r\n\r\nhi'
)
STALE = OK.replace(b'r1', b'r0').replace(b'hi', b'no')
NAMELESS = OK.replace(b'x-id: r1\r\n', b'').replace(b'hi', b'no')
NAMELESS_REFUSAL = (
    b'HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n'
)
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: s\r\n'
    b'transfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n'
)
REFUSAL = (
    b'HTTP/1.1 503 Full\r\nx-id: r1\r\nx-not-executed: 1\r\n'
    b'content-length: 0\r\n\r\n'
)
UNFRAMED = b'HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: s\r\n\r\nhi'

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def reset(writer: asyncio.StreamWriter) -> None:
    """Close with a reset instead of a clean end."""
    sock = writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def reply_with(*chunks: bytes, ends: str = 'stays') -> Script:
    """Build a target that sends the same chunks for each request.

    Afterwards its connection stays, closes or resets, as `ends` says.
    """

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.readuntil(b'\r\n\r\n'):
            for chunk in chunks:
                writer.write(chunk)
                await writer.drain()
                await asyncio.sleep(0.01)
            if ends == 'closes':
                writer.close()
                return
            if ends == 'resets':
                reset(writer)
                return

    return run


@contextlib.asynccontextmanager
async def target(script: Script) -> AsyncIterator[tuple[SlotGrant, list[int]]]:
    accepted = [0]

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        accepted[0] += 1
        with contextlib.suppress(ConnectionError, EOFError):
            await script(reader, writer)

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield SlotGrant(1, 't1', '127.0.0.1', port, 0, -1), accepted
    finally:
        server.close()


def request(request_id: str = 'r1', method: bytes = b'GET') -> CallerRequest:
    return CallerRequest(
        method=method,
        path=b'/a/b?q=1',
        headers=[
            (b'Host', b'h.example'),
            (b'X-Id', request_id.encode()),
            (b'Authorization', b'Token secret'),
            (b'X-Customer', b'forged'),
            (b'Connection', b'x-hop'),
            (b'X-Hop', b'1'),
        ],
        body=b'' if method == b'GET' else b'body',
        received_us=boot_time_us(),
        request_id=request_id,
        time_left_us=SECOND_US,
        key='secret',
    )


async def send(
    upstream: Upstream,
    grant: SlotGrant,
    caller_request: CallerRequest,
    time_left_s: float = 0.4,
) -> TargetAnswer:
    deadline_us = boot_time_us() + int(time_left_s * SECOND_US)
    repeatable = caller_request.method == b'GET'
    return await upstream.send(
        caller_request,
        grant,
        'customer-1',
        deadline_us,
        is_repeatable=repeatable,
    )


# Script of the target, outcome, and whether the connection is kept.
ANSWER_CASES = {
    'whole answer': (reply_with(OK), SendOutcome.SERVED, True),
    'interim answer first': (
        reply_with(b'HTTP/1.1 103 Early Hints\r\n\r\n', OK),
        SendOutcome.SERVED,
        True,
    ),
    'answer to an earlier request first': (
        reply_with(STALE + OK),
        SendOutcome.SERVED,
        False,
    ),
    'success that names no request': (
        reply_with(NAMELESS, ends='closes'),
        SendOutcome.LOST,
        False,
    ),
    'success that names no request first': (
        reply_with(NAMELESS + OK),
        SendOutcome.SERVED,
        False,
    ),
    'refusal that names no request': (
        reply_with(NAMELESS_REFUSAL),
        SendOutcome.SHED,
        True,
    ),
    'only answers to other requests': (
        reply_with(STALE, ends='closes'),
        SendOutcome.LOST,
        False,
    ),
    'second answer behind the first': (
        reply_with(OK + OK),
        SendOutcome.SERVED,
        False,
    ),
    'no length and a clean end': (
        reply_with(UNFRAMED, ends='closes'),
        SendOutcome.SERVED,
        False,
    ),
    'no length and a reset': (
        reply_with(UNFRAMED, ends='resets'),
        SendOutcome.LOST,
        False,
    ),
    'ends early': (reply_with(OK[:-1], ends='closes'), SendOutcome.LOST, False),
    'no answer at all': (reply_with(ends='closes'), SendOutcome.LOST, False),
    'silence': (reply_with(), SendOutcome.TIMED_OUT, False),
    'not http': (
        reply_with(b'\x00\x01garbage\r\n\r\n'),
        SendOutcome.LOST,
        False,
    ),
    'success without a signature': (
        reply_with(OK.replace(b'x-signed', b'x-other')),
        SendOutcome.LOST,
        True,
    ),
    'encoded body': (
        reply_with(
            OK.replace(b'x-signed', b'content-encoding: gzip\r\nx-signed')
        ),
        SendOutcome.LOST,
        True,
    ),
    'server error': (
        reply_with(OK.replace(b'200 OK', b'500 No')),
        SendOutcome.FAILED,
        True,
    ),
    'shed': (
        reply_with(
            b'HTTP/1.1 503 Full\r\nx-not-executed: 1\r\n'
            b'content-length: 0\r\n\r\n'
        ),
        SendOutcome.SHED,
        True,
    ),
    'another target at the address': (
        reply_with(OK.replace(b'200 OK', b'421 Misdirected')),
        SendOutcome.MISDIRECTED,
        True,
    ),
    'announces to close': (
        reply_with(OK.replace(b'x-signed', b'connection: close\r\nx-signed')),
        SendOutcome.SERVED,
        False,
    ),
}


@pytest.mark.parametrize('name', ANSWER_CASES)
def test_outcome_and_reuse(name: str) -> None:
    script, outcome, is_reusable = ANSWER_CASES[name]

    async def scenario() -> None:
        upstream = Upstream(HEADER_NAMES, lambda *_: '')
        async with target(script) as (grant, _):
            answer = await send(upstream, grant, request())
            assert answer.outcome is outcome
            await asyncio.sleep(0.03)
            connected = upstream.connected_targets(boot_time_us())
            assert connected == (('t1',) if is_reusable else ())
            upstream.close()

    asyncio.run(scenario())


def test_refused_connection_is_unreachable() -> None:
    async def scenario() -> None:
        async with target(reply_with(OK)) as (grant, _):
            pass
        answer = await send(
            Upstream(HEADER_NAMES, lambda *_: ''), grant, request()
        )
        assert answer.outcome is SendOutcome.UNREACHABLE

    asyncio.run(scenario())


def test_request_on_a_dead_pooled_connection_is_not_resent() -> None:
    """A resent request could run twice.

    The target resets the pooled connection after reading the second request.
    """
    seen: list[bytes] = []

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        seen.append(await reader.readuntil(b'body'))
        writer.write(OK)
        await writer.drain()
        seen.append(await reader.readuntil(b'body'))
        reset(writer)

    async def scenario() -> None:
        upstream = Upstream(HEADER_NAMES, lambda *_: '')
        async with target(script) as (grant, accepted):
            first = await send(upstream, grant, request('r1', b'POST'))
            second = await send(upstream, grant, request('r1', b'POST'))
            assert first.outcome is SendOutcome.SERVED
            assert second.outcome is SendOutcome.LOST
            assert accepted == [1]
        assert len(seen) == 2

    asyncio.run(scenario())


def test_request_carries_only_what_the_target_may_see() -> None:
    seen: list[bytes] = []

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        seen.append(await reader.readuntil(b'\r\n\r\n'))
        writer.write(OK)

    async def scenario() -> None:
        async with target(script) as (grant, _):
            await send(Upstream(HEADER_NAMES, lambda *_: ''), grant, request())

    asyncio.run(scenario())
    head = seen[0].lower()
    assert head.startswith(b'get /a/b?q=1 http/1.1\r\n')
    assert b'secret' not in head
    assert b'forged' not in head
    assert b'x-hop' not in head
    assert b'x-expected: t1' in head
    assert b'x-customer: customer-1' in head


def test_cancelled_send_closes_the_connection() -> None:
    create_event = asyncio.Event

    async def scenario() -> None:
        ended = create_event()

        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            assert await reader.read() == b''
            ended.set()

        async with target(script) as (grant, _):
            sending = asyncio.ensure_future(
                send(
                    Upstream(HEADER_NAMES, lambda *_: ''),
                    grant,
                    request(),
                    5,
                )
            )
            await asyncio.sleep(0.05)
            sending.cancel()
            await asyncio.wait_for(ended.wait(), 0.5)

    asyncio.run(scenario())


@pytest.mark.parametrize('late', [NAMELESS, NAMELESS_REFUSAL])
def test_late_copy_without_an_id_is_not_the_next_answer(late: bytes) -> None:
    """A refusal that names no request would say of the next: not run."""

    async def late_copy(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(OK)
        await reader.readuntil(b'\r\n\r\n')
        writer.write(late)
        await asyncio.sleep(0.01)
        writer.write(OK.replace(b'r1', b'r2').replace(b'hi', b'me'))
        await reader.read()

    async def scenario() -> TargetAnswer:
        async with target(late_copy) as (grant, _):
            upstream = Upstream(HEADER_NAMES, lambda *_: '')
            await send(upstream, grant, request('r1'))
            answer = await send(upstream, grant, request('r2'))
            upstream.close()
            return answer

    answer = asyncio.run(scenario())
    assert answer.is_reused
    assert (answer.outcome, answer.body) == (SendOutcome.SERVED, b'me')


@pytest.mark.parametrize('second_id', ['r2', 'r3'])
@pytest.mark.parametrize(
    ('ends', 'outcome'),
    [('answers', SendOutcome.SERVED), ('resets', SendOutcome.LOST)],
)
@pytest.mark.parametrize(
    'refusal',
    [REFUSAL, REFUSAL.replace(b'x-id: r1\r\n', b'')],
    ids=['names its request', 'names none'],
)
def test_earlier_refusal_once_more_says_not_run_of_the_next_request(
    refusal: bytes, ends: str, outcome: SendOutcome, second_id: str
) -> None:
    """The next request runs, so that a retry of it could run twice."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'body')
        writer.write(refusal)
        await reader.readuntil(b'body')
        writer.write(refusal)
        await asyncio.sleep(0.01)
        if ends == 'resets':
            reset(writer)
            return
        writer.write(OK.replace(b'r1', second_id.encode()))
        await reader.read()

    async def scenario() -> tuple[TargetAnswer, TargetAnswer]:
        upstream = Upstream(HEADER_NAMES, lambda *_: '')
        async with target(script) as (grant, _):
            first = await send(upstream, grant, request('r1', b'POST'))
            second = await send(upstream, grant, request(second_id, b'POST'))
            upstream.close()
            return first, second

    first, second = asyncio.run(scenario())
    assert first.outcome is SendOutcome.SHED
    assert second.is_reused
    assert second.outcome is outcome


@pytest.mark.parametrize('ends', ['closes', 'resets'])
@pytest.mark.parametrize('whole', [OK, CHUNKED], ids=['length', 'chunked'])
def test_answer_that_stops_early_looks_whole(whole: bytes, ends: str) -> None:
    """A target stops at any byte of the head or body, and closes."""

    async def scenario(sent: bytes) -> TargetAnswer:
        upstream = Upstream(HEADER_NAMES, lambda *_: '')
        async with target(reply_with(sent, ends=ends)) as (grant, _):
            answer = await send(upstream, grant, request(), 2)
            upstream.close()
            return answer

    for size in range(1, len(whole)):
        answer = asyncio.run(scenario(whole[:size]))
        assert answer.outcome is SendOutcome.LOST, whole[:size]
