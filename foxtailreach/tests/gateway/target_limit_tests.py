"""Descriptors for targets are shared between services."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from foxtailreach.core.caller_connections import (
    FILE_DESCRIPTORS,
    max_connections,
    max_requests_ahead,
    max_target_connections,
)
from foxtailreach.core.dispatch.messages import SendOutcome, SlotGrant
from foxtailreach.gateway.target_limit import TargetLimit
from foxtailreach.gateway.upstream import Upstream
from foxtailreach.tests.gateway.upstream_tests import (
    HEADER_NAMES,
    OK,
    reply_with,
    request,
    send,
    target,
)

TARGETS = 12
MOST = 5


@pytest.mark.parametrize('max_descriptors', [300, 4096, 4100, 65_536])
def test_bounds_leave_descriptors_for_all(max_descriptors: int) -> None:
    callers = max_connections(max_descriptors)
    targets = max_target_connections(max_descriptors)
    assert callers + targets < max_descriptors - FILE_DESCRIPTORS
    assert 0 < max_requests_ahead(max_descriptors) < targets


def test_a_service_leaves_connections_to_others() -> None:
    """A slow service must not use up what others need."""
    limit = TargetLimit(20)
    with contextlib.ExitStack() as stack:
        for service, expected in (('a', 10), ('b', 5), ('c', 3), ('d', 1)):
            used = 0
            while limit.has_room(service):
                stack.enter_context(limit.use(service))
                used += 1
            assert used == expected
    assert not limit.in_use
    assert limit.has_room('a')


def test_idle_connections_make_room_for_new_ones() -> None:
    """Guards against a host without descriptors, with many targets."""
    open_counts = [0]
    most = [0]

    async def count_open(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        open_counts[0] += 1
        most[0] = max(most[0], open_counts[0])
        try:
            await reply_with(OK)(reader, writer)
        finally:
            open_counts[0] -= 1

    async def scenario() -> list[SendOutcome]:
        limit = TargetLimit(MOST)
        upstream = Upstream(HEADER_NAMES, lambda *_: '', limit)
        outcomes = []
        async with contextlib.AsyncExitStack() as stack:
            for index in range(TARGETS):
                grant, _ = await stack.enter_async_context(target(count_open))
                one = SlotGrant(
                    1, f't{index}', grant.address, grant.port, 0, -1
                )
                with limit.use('a'):
                    answer = await send(upstream, one, request())
                outcomes.append(answer.outcome)
                await asyncio.sleep(0.02)
            upstream.close()
        return outcomes

    assert set(asyncio.run(scenario())) == {SendOutcome.SERVED}
    assert most[0] <= MOST
