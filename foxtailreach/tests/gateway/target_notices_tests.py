"""What a host does after a target has told it something in an answer."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from foxtailreach.core.dispatch.messages import SendOutcome
from foxtailreach.core.dispatch.target_notices import (
    MAX_PAUSE_US,
    TargetNotice,
)
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.gateway.http_types import RawHeaders
from foxtailreach.gateway.notice_reader import read_notice
from foxtailreach.gateway.upstream import Upstream
from foxtailreach.tests.gateway.leaving_target_tests import (
    GRANTED_VERSION,
    OTHER,
    READY,
    GrantingClient,
    create_node,
    serve,
)
from foxtailreach.tests.gateway.upstream_tests import (
    HEADER_NAMES,
    OK,
    reply_with,
    request,
    send,
    target,
)

LEAVING = b'Server-Leaving: 1\r\n'
SHED = (
    b'HTTP/1.1 503 Busy\r\nx-id: r1\r\nx-not-executed: 1\r\n'
    b'content-length: 0\r\n\r\n'
)
MISDIRECTED = SHED.replace(b'503 Busy', b'421 Misdirected')
TRAILER = (
    b'HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: s\r\n'
    b'transfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n'
    b'Server-Leaving: 1\r\nRetry-After: 5\r\n\r\n'
)
EARLY_HINTS = b'HTTP/1.1 103 Early Hints\r\nServer-Leaving: 1\r\n\r\n'


def with_headers(answer: bytes, headers: bytes) -> bytes:
    """Add headers to an answer, behind its status line."""
    line, end, rest = answer.partition(b'\r\n')
    return line + end + headers + rest


@pytest.mark.parametrize(
    ('status', 'headers', 'expected'),
    [
        (200, [], TargetNotice()),
        (200, [(b'server-leaving', b'1')], TargetNotice(is_leaving=True)),
        (500, [(b'server-leaving', b' 1 ')], TargetNotice(is_leaving=True)),
        (200, [(b'server-leaving', b'0')], TargetNotice()),
        (200, [(b'server-leaving', b'true')], TargetNotice()),
        (200, [(b'server-leaving', b'')], TargetNotice()),
        (503, [(b'retry-after', b'2')], TargetNotice(pause_us=2 * SECOND_US)),
        (503, [(b'retry-after', b'0')], TargetNotice()),
        (503, [(b'retry-after', b'')], TargetNotice()),
        (503, [(b'retry-after', b'-2')], TargetNotice()),
        (503, [(b'retry-after', b'2 s')], TargetNotice()),
        (503, [(b'retry-after', b'\xb2')], TargetNotice()),
        (
            503,
            [(b'retry-after', b'Fri, 05 Dec 2026 03:00:00 GMT')],
            TargetNotice(),
        ),
        (
            503,
            [(b'retry-after', b'0.25')],
            TargetNotice(pause_us=250 * MILLISECOND_US),
        ),
        (
            503,
            [(b'retry-after', b'9' * 6000)],
            TargetNotice(pause_us=MAX_PAUSE_US),
        ),
        (
            503,
            [(b'retry-after', b'1'), (b'retry-after', b'3')],
            TargetNotice(pause_us=3 * SECOND_US),
        ),
        # Only a request that is turned away asks for a pause.
        (200, [(b'retry-after', b'2')], TargetNotice()),
        (429, [(b'retry-after', b'2')], TargetNotice()),
    ],
)
def test_odd_notice_has_no_defined_meaning(
    status: int, headers: RawHeaders, expected: TargetNotice
) -> None:
    assert read_notice(status, headers, HEADER_NAMES.leaving) == expected


@pytest.mark.parametrize(
    ('answer', 'expected'),
    [
        (with_headers(OK, LEAVING), TargetNotice(is_leaving=True)),
        (
            with_headers(SHED, b'Retry-After: 2\r\n'),
            TargetNotice(pause_us=2 * SECOND_US),
        ),
        # Another target has answered.
        (with_headers(MISDIRECTED, LEAVING), TargetNotice()),
        (with_headers(OK.replace(b'r1', b'r0'), LEAVING) + OK, TargetNotice()),
        (TRAILER, TargetNotice()),
        (EARLY_HINTS + OK, TargetNotice()),
    ],
    ids=['leaving', 'pause', '421', 'another id', 'trailer', 'interim'],
)
def test_notice_of_another_answer_is_taken(
    answer: bytes, expected: TargetNotice
) -> None:
    async def scenario() -> None:
        async with target(reply_with(answer)) as (grant, _):
            upstream = Upstream(HEADER_NAMES, lambda *_: '')
            received = await send(upstream, grant, request())
            upstream.close()
            assert received.notice == expected

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('first_answer', 'later_s', 'is_sent_again'),
    [
        (OK, 0, True),
        (with_headers(OK, LEAVING), 0, False),
        (with_headers(SHED, LEAVING), 0, False),
        (with_headers(SHED, b'Retry-After: 2\r\n'), 0, False),
        (with_headers(SHED, b'Retry-After: 0.05\r\n'), 0.1, True),
        (SHED, 0, True),
    ],
    ids=['nothing', 'leaving', 'shed-leaving', 'pause', 'pause-ended', 'shed'],
)
def test_target_that_told_this_host_gets_its_next_request(
    first_answer: bytes,
    later_s: float,
    is_sent_again: bool,  # noqa: FBT001
) -> None:
    """Its entry says ready, and a broker that knows less grants it again."""

    async def scenario() -> None:
        async with (
            target(reply_with(first_answer)) as (first, first_accepted),
            target(reply_with(OK)) as (second, _),
        ):
            told, other = (
                replace(grant, target_id=name, state_version=GRANTED_VERSION)
                for grant, name in ((first, 't0'), (second, 't1'))
            )
            client = GrantingClient([told, other, told, other])
            node = create_node([READY, OTHER], GRANTED_VERSION)
            upstream = Upstream(HEADER_NAMES, node.withhold_cause)
            await serve(node, client, upstream)
            seen = first_accepted[0]
            client.slots[:] = [told, other]
            await asyncio.sleep(later_s)
            answer = await serve(node, client, upstream)
            upstream.close()
            if not is_sent_again:
                assert first_accepted[0] == seen
                assert answer.status == 200
                assert client.outcomes[-2] is SendOutcome.WITHHELD
                assert client.notices[-2]
            else:
                assert client.outcomes[-1] is not SendOutcome.WITHHELD

    asyncio.run(scenario())


def test_request_in_flight_is_cut_as_its_target_says_it_leaves() -> None:
    """Two requests run at the target; the first answer says that it leaves."""

    async def scenario() -> None:
        async with target(reply_with(with_headers(OK, LEAVING))) as (grant, _):
            told = replace(grant, target_id='t0', state_version=GRANTED_VERSION)
            node = create_node([READY, OTHER], GRANTED_VERSION)
            upstream = Upstream(HEADER_NAMES, node.withhold_cause)
            answers = await asyncio.gather(
                serve(node, GrantingClient([told]), upstream),
                serve(node, GrantingClient([told]), upstream),
            )
            upstream.close()
            assert [answer.status for answer in answers] == [200, 200]

    asyncio.run(scenario())
