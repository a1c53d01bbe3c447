"""Answers that are given up at any moment of their receipt."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import pytest

from foxtailreach.core.dispatch.messages import SendOutcome
from foxtailreach.gateway.answer_memory import AnswerMemory
from foxtailreach.gateway.upstream import TargetAnswer, Upstream
from foxtailreach.tests.gateway.upstream_tests import (
    HEADER_NAMES,
    Script,
    reply_with,
    request,
    send,
    target,
)

HEAD = b'HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: s\r\n'
# Each part differs, so that a part of the body is never the whole one.
PARTS = [b'%032d' % number for number in range(150)]
BODY = b''.join(PARTS)
CHUNKS = b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in PARTS)
CHUNKED_HEAD = HEAD + b'transfer-encoding: chunked\r\n\r\n'
# Of an earlier request.
STALE = CHUNKED_HEAD.replace(b'r1', b'r0') + b'2\r\nno\r\n0\r\n\r\n'
LOST, SERVED = SendOutcome.LOST, SendOutcome.SERVED
# How targets send the body, and all outcomes that are seen.
ANSWERS: dict[str, tuple[Script, set[SendOutcome]]] = {
    # Received without a pause.
    'length': (
        reply_with(HEAD + b'content-length: %d\r\n\r\n' % len(BODY) + BODY),
        {SERVED},
    ),
    'length in pieces': (
        reply_with(
            HEAD + b'content-length: %d\r\n\r\n' % len(BODY),
            BODY[:900],
            BODY[900:],
        ),
        {LOST, SERVED},
    ),
    'chunks': (
        reply_with(CHUNKED_HEAD + CHUNKS + b'0\r\n\r\n'),
        {LOST, SERVED},
    ),
    'chunks in pieces': (
        reply_with(CHUNKED_HEAD + CHUNKS[:3000], CHUNKS[3000:], b'0\r\n\r\n'),
        {LOST, SERVED},
    ),
    'until close': (
        reply_with(HEAD + b'\r\n' + BODY, ends='closes'),
        {LOST, SERVED},
    ),
    'behind another one': (
        reply_with(STALE + CHUNKED_HEAD + CHUNKS + b'0\r\n\r\n'),
        {LOST, SERVED},
    ),
}
# More turns of the event loop than any of them takes to arrive at once.
MOMENTS = [*range(0, 60, 2), 0.005, 0.012, 0.02, 0.06]


async def wait_for(moment: float) -> None:
    """Wait for some turns of the event loop, or a part of a second."""
    if isinstance(moment, float):
        await asyncio.sleep(moment)
        return
    for _ in range(int(moment)):
        await asyncio.sleep(0)


async def receive(script: Script, moments: list[float]) -> list[TargetAnswer]:
    """Return the answers that were given up at some moments."""
    answers = []
    async with target(script) as (grant, _):
        for moment in moments:
            memory = AnswerMemory(1_000_000)
            one = request()
            one.held_answer = memory.open()
            upstream = Upstream(HEADER_NAMES, lambda *_: '')
            sending = asyncio.ensure_future(send(upstream, grant, one, 2))
            while not memory.held_bytes and not sending.done():
                await asyncio.sleep(0)
            await wait_for(moment)
            memory.evict(one.held_answer)
            answers.append(await sending)
            one.held_answer.close()
            assert not memory.held_bytes
            upstream.close()
    return answers


def outcomes(answers: list[TargetAnswer]) -> Iterator[SendOutcome]:
    """Return the outcomes; a served answer must have the whole body."""
    for answer in answers:
        whole = BODY if answer.outcome is SERVED else b''
        assert bytes(answer.body) == whole
        yield answer.outcome


@pytest.mark.parametrize('kind', ANSWERS)
def test_answer_that_is_given_up_is_never_served_in_part(kind: str) -> None:
    """Guards against a shorter answer that looks complete (review 6).

    What was decoded after the eviction reached the caller as the whole body.
    """
    script, expected = ANSWERS[kind]
    seen = set(outcomes(asyncio.run(receive(script, MOMENTS))))
    assert seen == expected
