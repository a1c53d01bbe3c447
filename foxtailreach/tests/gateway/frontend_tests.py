"""Tests of requests and connections from callers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from tornado.testing import bind_unused_port

from foxtailreach.core.dispatch.deployment import CallerLimits
from foxtailreach.core.verdict import Reason, Verdict
from foxtailreach.gateway.answer_memory import AnswerMemory
from foxtailreach.gateway.body_memory import BodyBudget
from foxtailreach.gateway.frontend import Frontend
from foxtailreach.gateway.http_types import (
    CallerAnswer,
    CallerRequest,
    refusal,
)
from foxtailreach.gateway.request_reader import ReaderOptions
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
    bodies: BodyBudget | None = None,
    answers: AnswerMemory | None = None,
) -> AsyncIterator[tuple[Frontend, int]]:
    options = ReaderOptions(
        HEADER_NAMES,
        lambda: LIMITS,
        bodies or BodyBudget(100_000),
        answers or AnswerMemory(100_000),
    )
    server = Frontend(options, handle)
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
CLOSE = b'connection: close\r\ncontent-length: 0\r\n\r\n'


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
        # A body that stops halfway, with and without a length.
        ((HEAD + b'x-left: 100\r\ncontent-length: 9\r\n\r\nhi',), b'408'),
        (
            (
                HEAD + b'x-left: 100\r\ntransfer-encoding: chunked\r\n\r\n'
                b'2\r\nhi\r\n',
            ),
            b'408',
        ),
        (
            (
                HEAD + b'authorization: Token a\r\nauthorization: Token b\r\n'
                b'content-length: 0\r\n\r\n',
            ),
            b'400',
        ),
        ((HEAD.replace(b'/a/', b'/a/../b') + b'\r\n',), b'400'),
        ((HEAD.replace(b'/a/', b'/a/%2E./b') + b'\r\n',), b'400'),
        ((HEAD.replace(b'/a/', b'/a/..b?x=/../') + CLOSE,), b'200'),
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


def test_pipelined_requests_are_cut_when_the_host_stops() -> None:
    """Requests that were passed on before are answered, later ones not read."""
    handled: list[str] = []

    async def slow(request: CallerRequest) -> CallerAnswer:
        handled.append(request.request_id)
        await asyncio.sleep(0.15)
        return await echo(request)

    def named(name: bytes) -> bytes:
        return HEAD.replace(b'r1', name) + b'content-length: 0\r\n\r\n'

    async def scenario() -> bytes:
        async with frontend(slow) as (server, port):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(named(b'r1'))
            await asyncio.sleep(0.05)
            writer.write(named(b'r2'))
            await asyncio.sleep(0.05)
            server.is_stopping = True
            writer.write(named(b'r3'))
            return await asyncio.wait_for(reader.read(), 2)

    answer = asyncio.run(scenario())
    assert handled == ['r1', 'r2']
    assert answer.count(b'HTTP/1.1 200') == 2
    assert answer.lower().count(b'connection: close') == 1


def test_caller_that_asks_to_close_is_answered_first() -> None:
    async def scenario() -> bytes:
        async with frontend() as (_, port):
            return await send_chunks(
                port,
                HEAD + b'connection: close\r\ncontent-length: 2\r\n\r\nhi',
            )

    assert asyncio.run(scenario()).endswith(b'hi')


async def refuse(request: CallerRequest) -> CallerAnswer:
    return refusal(503, Verdict.NOT_RUN, Reason.OVERLOAD, 1000)


def test_refused_head_request_is_answered_without_a_body() -> None:
    async def scenario() -> bytes:
        async with frontend(refuse) as (_, port):
            head = HEAD.replace(b'POST', b'HEAD')
            return await send_chunks(port, head + CLOSE)

    answer = asyncio.run(scenario())
    assert answer.startswith(b'HTTP/1.1 503')
    assert answer.endswith(b'\r\n\r\n')


@pytest.mark.parametrize(
    ('retry_after_us', 'text'),
    [(1000, b'0.01'), (10_000, b'0.01'), (1_234_000, b'1.24')],
)
def test_retry_after_is_not_rounded_to_zero(
    retry_after_us: int, text: bytes
) -> None:
    answer = refusal(503, Verdict.NOT_RUN, Reason.OVERLOAD, retry_after_us)
    assert (b'retry-after', text) in answer.headers


@pytest.mark.parametrize(
    'framing',
    [
        b'content-length: 900\r\n\r\n' + b'a' * 900,
        b'transfer-encoding: chunked\r\n\r\n384\r\n'
        + b'a' * 900
        + b'\r\n0\r\n\r\n',
    ],
)
def test_bodies_of_many_callers_stay_within_the_memory(framing: bytes) -> None:
    """Two of three bodies of 900 bytes fit, each held twice at most."""
    budget = BodyBudget(4 * 900)

    async def scenario() -> list[bytes]:
        release = asyncio.Event()

        async def hold(request: CallerRequest) -> CallerAnswer:
            await release.wait()
            return await echo(request)

        async with frontend(hold, budget) as (_, port):
            message = HEAD + b'connection: close\r\n' + framing
            tasks = []
            for _ in range(3):
                tasks.append(asyncio.ensure_future(send_chunks(port, message)))
                await asyncio.sleep(0.05)
            release.set()
            return list(await asyncio.gather(*tasks))

    answers = asyncio.run(scenario())
    assert [answer[9:12] for answer in answers] == [b'200', b'200', b'503']
    assert b'"not-run"' in answers[2]
    assert not budget.held_bytes


@pytest.mark.parametrize(
    'rest', [b'content-length: 900\r\n\r\nhi', b'content-length: 2\r\n\r\nhi']
)
def test_caller_that_leaves_frees_the_memory_of_its_body(rest: bytes) -> None:
    budget = BodyBudget(10_000)

    async def scenario() -> None:
        async def hang(request: CallerRequest) -> CallerAnswer:
            await asyncio.sleep(5)
            return await echo(request)

        async with frontend(hang, budget) as (_, port):
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(HEAD + rest)
            await asyncio.sleep(0.05)
            assert budget.held_bytes
            writer.close()
            await asyncio.sleep(0.05)

    asyncio.run(scenario())
    assert not budget.held_bytes


@pytest.mark.parametrize(
    ('work_s', 'pause_s', 'answers'),
    [
        # Longer than the idle timeout of 0.3 s, and than two of them.
        ((0.45,), (), 1),
        ((0.8,), (), 1),
        # The caller pauses for less than the timeout after each answer.
        ((0.45, 0, 0.45), (0.2, 0.2), 3),
        ((0, 0, 0), (0.2, 0.2), 3),
        # It is idle for longer after its first answer.
        ((0.45, 0), (0.6,), 1),
    ],
)
def test_idle_time_does_not_run_while_a_request_is_served(
    work_s: tuple[float, ...], pause_s: tuple[float, ...], answers: int
) -> None:
    """Guards against cutting off requests longer than the timeout (review 2).

    A caller is idle from its last answer on, not from its last request.
    """
    left_s = list(work_s)

    async def work(request: CallerRequest) -> CallerAnswer:
        await asyncio.sleep(left_s.pop(0))
        return await echo(request)

    async def scenario() -> int:
        async with frontend(work) as (_, port):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            for index, _ in enumerate(work_s):
                writer.write(HEAD + b'content-length: 2\r\n\r\nhi')
                try:
                    answer = await reader.readuntil(b'\r\n\r\nhi')
                except (asyncio.IncompleteReadError, ConnectionError):
                    return index
                assert answer.startswith(b'HTTP/1.1 200')
                await asyncio.sleep((*pause_s, 0)[index])
            await asyncio.wait_for(reader.read(), 0.6)
            return len(work_s)

    assert asyncio.run(scenario()) == answers


def test_request_that_arrives_while_another_is_served_for_long() -> None:
    """The read that brings it was started before the idle timeout passed."""

    async def work(request: CallerRequest) -> CallerAnswer:
        await asyncio.sleep(0.8 if request.path == b'/a/' else 0)
        return await echo(request)

    async def scenario() -> bytes:
        async with frontend(work) as (_, port):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(HEAD + b'content-length: 2\r\n\r\nhi')
            await asyncio.sleep(0.5)
            second = HEAD.replace(b'/a/', b'/b/')
            writer.write(second + b'content-length: 2\r\n\r\nho')
            return await asyncio.wait_for(reader.read(), 3)

    answers = asyncio.run(scenario())
    assert answers.count(b'HTTP/1.1 200') == 2
    assert answers.index(b'hi') < answers.index(b'ho')


@pytest.mark.parametrize('requests', [1, 5])
def test_caller_that_never_reads_is_idle(requests: int) -> None:
    """Its connection and its answers must not be kept for ever."""
    answers = AnswerMemory(100_000_000)
    body = b'x' * 8_000_000

    async def large(request: CallerRequest) -> CallerAnswer:
        request.held_answer.grow(len(body))
        return CallerAnswer(200, b'OK', [], body, Verdict.RAN)

    async def scenario() -> None:
        async with frontend(large, answers=answers) as (server, port):
            _, writer = await asyncio.open_connection(
                '127.0.0.1', port, limit=2**10
            )
            for _ in range(requests):
                writer.write(HEAD + b'content-length: 0\r\n\r\n')
            await asyncio.sleep(0.2)
            assert server.connections
            assert answers.held_bytes == requests * len(body)
            await asyncio.sleep(0.5)
            assert not server.connections
            assert not answers.held_bytes
            writer.close()

    asyncio.run(scenario())
