"""Tests of responses that are no valid HTTP/1 responses."""

from __future__ import annotations

import asyncio

import pytest

from foxtailreach.core.dispatch.messages import SendOutcome
from foxtailreach.gateway.upstream import Upstream
from foxtailreach.tests.gateway.upstream_tests import (
    HEADER_NAMES,
    OK,
    Script,
    reply_with,
    request,
    send,
    target,
)

INVALID = [
    b'HTTP/1.1 000',
    b'HTTP/1.1 001',
    b'HTTP/1.1 099',
    b'HTTP/1.1 20',
    b'HTTP/1.1 2000',
    b'HTTP/1.1 -20',
    b'HTTP/1.1 abc',
    b'HTTP/1.1',
    b'HTTP/1.1 101',
    b'HTTP/1.1 600',
    b'HTTP/1.1 999',
    b'HTTP/0.9 200',
    b'HTTP/2.0 200',
]


def replace_start(start: bytes) -> bytes:
    return OK.replace(b'HTTP/1.1 200', start)


PATHS = {
    'first': lambda bad: reply_with(bad),
    'after-interim': lambda bad: reply_with(
        b'HTTP/1.1 103 Early Hints\r\n\r\n', bad
    ),
}


def then(first: bytes, second: bytes) -> Script:
    """Build a target whose connection answers well, then badly."""

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for answer in (first, second):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(answer)

    return run


@pytest.mark.parametrize('path', ['first', 'after-interim', 'kept-alive'])
@pytest.mark.parametrize('start', INVALID)
def test_invalid_response_counts_as_lost(start: bytes, path: str) -> None:
    """Guards against a status or version that reaches a caller."""
    bad = replace_start(start)
    if path == 'kept-alive':
        script = then(OK, bad)
    else:
        script = PATHS[path](bad)

    async def scenario() -> SendOutcome:
        upstream = Upstream(HEADER_NAMES, lambda *_: '')
        async with target(script) as (grant, _):
            if path == 'kept-alive':
                answer = await send(upstream, grant, request())
                assert answer.outcome is SendOutcome.SERVED
            answer = await send(upstream, grant, request())
            upstream.close()
            return answer.outcome

    assert asyncio.run(scenario()) is SendOutcome.LOST


@pytest.mark.parametrize('start', [b'HTTP/1.0 200', b'HTTP/1.1 599'])
def test_valid_response_is_relayed(start: bytes) -> None:
    async def scenario() -> int:
        upstream = Upstream(HEADER_NAMES, lambda *_: '')
        async with target(reply_with(replace_start(start))) as (grant, _):
            answer = await send(upstream, grant, request())
            upstream.close()
            return answer.status

    assert asyncio.run(scenario()) == int(start.rpartition(b' ')[2])
