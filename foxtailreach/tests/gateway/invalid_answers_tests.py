"""Answers whose status or protocol version no caller may get."""

from __future__ import annotations

import asyncio

import pytest

from foxtailreach.core.dispatch.messages import SendOutcome
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway.upstream import TargetAnswer, Upstream
from foxtailreach.tests.gateway.upstream_tests import (
    HEADER_NAMES,
    OK,
    request,
    send,
    target,
)

INTERIM = b'HTTP/1.1 102 Processing\r\n\r\n'


def answer_bytes(version: str, status: str) -> bytes:
    """Build an answer to the second request of a connection."""
    head = f'{version} {status} Odd\r\n'.encode()
    return head + OK.partition(b'\r\n')[2].replace(b'r1', b'r2')


def second_answer(raw: bytes, *, is_kept: bool) -> TargetAnswer:
    """Send a request to a target that answers it with these bytes.

    If `is_kept`, the connection has served a request before.
    """

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if is_kept:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(OK)
        await reader.readuntil(b'\r\n\r\n')
        writer.write(raw)
        await reader.read()

    async def scenario() -> TargetAnswer:
        upstream = Upstream(HEADER_NAMES, lambda *_: '')
        async with target(script) as (grant, _):
            if is_kept:
                await send(upstream, grant, request('r1'))
            answer = await send(upstream, grant, request('r2'))
            assert answer.is_reused is is_kept
            if answer.outcome is SendOutcome.LOST:
                assert not upstream.connected_targets(boot_time_us())
            upstream.close()
            return answer

    return asyncio.run(scenario())


@pytest.mark.parametrize('is_kept', [False, True], ids=['new', 'kept'])
@pytest.mark.parametrize('before', [b'', INTERIM], ids=['first', 'interim'])
@pytest.mark.parametrize(
    ('version', 'status'),
    [
        ('HTTP/1.1', '000'),
        ('HTTP/1.1', '001'),
        ('HTTP/1.1', '099'),
        ('HTTP/1.1', '20'),
        ('HTTP/1.1', '2000'),
        ('HTTP/1.1', '-20'),
        ('HTTP/1.1', 'abc'),
        ('HTTP/1.1', ''),
        ('HTTP/1.1', '101'),
        ('HTTP/1.1', '600'),
        ('HTTP/1.1', '999'),
        ('HTTP/0.9', '200'),
        ('HTTP/2.0', '200'),
        ('HTTP/2.0', '503'),
    ],
)
def test_invalid_answer_counts_as_a_failed_target(
    version: str, status: str, before: bytes, *, is_kept: bool
) -> None:
    """Guards against a status or version that a caller takes for an answer.

    The request may have run, so it is not one that the target has declined.
    """
    raw = before + answer_bytes(version, status)
    answer = second_answer(raw, is_kept=is_kept)
    assert answer.outcome is SendOutcome.LOST


def test_refusal_with_an_invalid_status_does_not_say_not_run() -> None:
    """Guards against a resent request that has run."""
    raw = answer_bytes('HTTP/1.1', '600').replace(
        b'x-id: r2', b'x-id: r2\r\nx-not-executed: 1'
    )
    assert second_answer(raw, is_kept=False).outcome is SendOutcome.LOST


@pytest.mark.parametrize('version', ['HTTP/1.0', 'HTTP/1.1'])
@pytest.mark.parametrize(
    ('status', 'outcome'),
    [
        ('200', SendOutcome.SERVED),
        ('404', SendOutcome.SERVED),
        ('599', SendOutcome.FAILED),
    ],
)
def test_valid_answer_reaches_its_caller(
    version: str, status: str, outcome: SendOutcome
) -> None:
    """Guards against a check that rejects more than it should."""
    answer = second_answer(answer_bytes(version, status), is_kept=False)
    assert (answer.outcome, answer.status) == (outcome, int(status))
