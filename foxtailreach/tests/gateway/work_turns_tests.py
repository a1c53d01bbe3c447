"""Small parts of requests are handled in steps, by one caller at a time."""

from __future__ import annotations

import asyncio

import pytest

from foxtailreach.gateway.answer_memory import AnswerMemory
from foxtailreach.gateway.body_memory import BodyBudget
from foxtailreach.gateway.chunked_body import ChunkedBody
from foxtailreach.gateway.frontend import Frontend
from foxtailreach.gateway.request_reader import ReaderOptions
from foxtailreach.gateway.work_turns import PARTS_PER_STEP, WorkTurns
from foxtailreach.tests.gateway.frontend_tests import (
    CLOSE,
    HEAD,
    LIMITS,
    echo,
)
from foxtailreach.tests.gateway.upstream_tests import HEADER_NAMES

CHUNKED = HEAD + b'connection: close\r\ntransfer-encoding: chunked\r\n\r\n'
MANY_HEADERS = b'a:\r\n' * 300 + CLOSE
LARGE_CHUNKS = b'fa\r\n' + b'b' * 250 + b'\r\n'


def chunks(count: int) -> bytes:
    """Return a request with chunks of one byte."""
    return CHUNKED + b'1\r\nb\r\n' * count + b'0\r\n\r\n'


async def turns_of(*requests: bytes) -> int:
    """Send requests on connections of their own; return the turns taken."""
    turns = WorkTurns()
    answers = await answers_to(turns, *requests)
    assert all(answer.startswith(b'HTTP/1.1 200') for answer in answers)
    return turns.taken


async def answers_to(turns: WorkTurns, *requests: bytes) -> list[bytes]:
    options = ReaderOptions(
        HEADER_NAMES,
        lambda: LIMITS,
        BodyBudget(1_000_000),
        AnswerMemory(1_000_000),
        turns=turns,
    )
    server = Frontend(options, echo)
    server.listen(0, '127.0.0.1')
    (sock,) = server._sockets.values()
    answers = await asyncio.gather(
        *(send(sock.getsockname()[1], one) for one in requests)
    )
    server.stop()
    return answers


async def send(port: int, request: bytes) -> bytes:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(request)
    answer = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    return answer


def test_chunks_are_decoded_in_steps() -> None:
    """Guards against a host that hangs on chunks of one byte (review 9)."""
    received = bytearray(b'1\r\nb\r\n' * 2 * PARTS_PER_STEP)
    body = ChunkedBody(100)
    for _ in range(2):
        decoded = body.decode(received, PARTS_PER_STEP)
        assert len(decoded) == PARTS_PER_STEP
        assert not body.needs_bytes
    assert not received
    assert not body.decode(received, PARTS_PER_STEP)
    assert body.needs_bytes


@pytest.mark.parametrize(
    ('requests', 'turns'),
    [
        ((chunks(200),), range(1)),
        ((CHUNKED + LARGE_CHUNKS * 4 + b'0\r\n\r\n',), range(1)),
        ((HEAD + CLOSE,), range(1)),
        # A further read may bring the last ones.
        ((chunks(900),), range(1, 4)),
        ((chunks(900), chunks(900)), range(2, 7)),
        ((HEAD + b'a:\r\n' * 100 + CLOSE,), range(1)),
        ((HEAD + MANY_HEADERS,), range(1, 2)),
        ((HEAD + MANY_HEADERS, HEAD + MANY_HEADERS), range(2, 3)),
    ],
)
def test_turns_grow_with_the_number_of_parts(
    requests: tuple[bytes, ...], turns: range
) -> None:
    """Those of ordinary requests need none."""
    assert asyncio.run(turns_of(*requests)) in turns


def test_head_that_gets_no_turn_is_refused_as_not_run() -> None:
    """Guards against a host that hangs on heads with many headers."""

    async def scenario() -> bytes:
        turns = WorkTurns()
        async with turns._lock:
            (answer,) = await answers_to(turns, HEAD + MANY_HEADERS)
        return answer

    answer = asyncio.run(scenario())
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'"not-run"' in answer
    assert b'retry-after' in answer
