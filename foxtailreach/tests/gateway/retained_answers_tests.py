"""Tests that sent answers and closed connections leave nothing in memory."""

from __future__ import annotations

import asyncio
import gc
import tracemalloc

import pytest

from foxtailreach.core.verdict import Verdict
from foxtailreach.gateway.answer_memory import AnswerMemory
from foxtailreach.gateway.http_types import CallerAnswer, CallerRequest
from foxtailreach.tests.gateway.frontend_tests import HEAD, frontend

ANSWER_BYTES = 1_000_000
CALLERS = 20
REQUEST = HEAD + b'content-length: 0\r\n\r\n'


async def large(request: CallerRequest) -> CallerAnswer:
    """Answer with a body that is counted."""
    request.held_answer.grow(ANSWER_BYTES)
    return CallerAnswer(200, b'OK', [], bytes(ANSWER_BYTES), Verdict.RAN)


@pytest.mark.parametrize('end', ['keep', 'close', 'reset'])
def test_answers_are_freed_without_a_collection(end: str) -> None:
    """Guards against memory that no limit counts.

    Answers stayed until the next request of an open connection, and in cycles
    of a closed one until the next garbage collection.
    """

    async def call(port: int) -> asyncio.StreamWriter | None:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(REQUEST)
        await reader.readuntil(b'\r\n\r\n')
        if end == 'keep':
            await reader.readexactly(ANSWER_BYTES)
            return writer
        if end == 'close':
            writer.close()
        else:
            writer.transport.abort()
        # What the caller has received must not be counted.
        return None

    async def scenario() -> int:
        answers = AnswerMemory(100 * ANSWER_BYTES)
        async with frontend(large, answers=answers) as (_, port):
            tracemalloc.start()
            writers = [await call(port) for _ in range(CALLERS)]
            await asyncio.sleep(0.1)
            held_bytes, _ = tracemalloc.get_traced_memory()
            assert not answers.held_bytes
            for writer in writers:
                if writer is not None:
                    writer.close()
            return held_bytes

    gc.disable()
    try:
        assert asyncio.run(scenario()) < 2 * ANSWER_BYTES
    finally:
        tracemalloc.stop()
        gc.enable()
