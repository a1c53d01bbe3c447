"""Requests whose broker does not know yet that a target leaves."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import pytest

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.deployment import (
    Deployment,
    RequestKind,
    RouteSpec,
    ServiceShare,
    TargetSpec,
    index_routes,
)
from foxtailreach.core.dispatch.fleet import FleetConfig, FleetNode
from foxtailreach.core.dispatch.messages import RefusalCause, SendOutcome
from foxtailreach.core.dispatch.pools import Pool
from foxtailreach.core.dispatch.target_record import TargetRecord
from foxtailreach.core.messages import HostEntry
from foxtailreach.core.units import SECOND_US
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway.fleet_client import GrantedSlot
from foxtailreach.gateway.http_types import CallerAnswer
from foxtailreach.gateway.proxy import Proxy
from foxtailreach.gateway.upstream import Upstream
from foxtailreach.tests.dispatch.fixtures import RETRY_POLICY, SERVICE, spec
from foxtailreach.tests.dispatch.meters_tests import POLICY as LIMIT_POLICY
from foxtailreach.tests.gateway.upstream_tests import (
    HEADER_NAMES,
    OK,
    reply_with,
    request,
    send,
    target,
)

ROUTE = RouteSpec(
    name='r',
    host='h.example',
    path_prefix='/',
    kind=RequestKind.AT_MOST_ONCE,
    shares=(ServiceShare('svc', 1),),
    objective_us=SECOND_US,
    max_attempts=1,
    is_open=True,
)
GRANTED_VERSION = 7
READY = spec(0)
OTHER = spec(1)


class GrantingClient:
    """Grants prepared slots in turn, then refuses; keeps the reports."""

    def __init__(self, slots: list[messages.SlotGrant]) -> None:
        """Grant these slots."""
        self.slots = slots
        self.outcomes: list[SendOutcome] = []
        self.notices: list[bool] = []

    async def acquire(
        self,
        draft: messages.SlotRequest,
        deadline_us: int,
    ) -> GrantedSlot | messages.SlotRefused:
        """Return the next slot."""
        if not self.slots:
            return messages.SlotRefused(1, RefusalCause.NO_TARGET, 1000)
        return GrantedSlot(self.slots.pop(0), 'h2', Pool('svc'))

    def report(self, slot: GrantedSlot, report: messages.SlotReport) -> None:
        """Keep the outcome, and whether the target has told anything."""
        self.outcomes.append(report.outcome)
        self.notices.append(report.is_leaving or report.pause_us > 0)


def create_node(listed: list[TargetSpec], version: int) -> FleetNode:
    """Create a node with a list of targets of some version."""
    node = FleetNode.from_config(
        FleetConfig(
            HostEntry('h1', 'd1', '10.0.0.1', 7000),
            1,
            RETRY_POLICY,
            LIMIT_POLICY,
        ),
        random.Random(1),
        boot_time_us(),
    )
    node.update_state(
        Deployment(1, index_routes([ROUTE]), {'svc': SERVICE}),
        listed,
        frozenset(),
        boot_time_us(),
        version,
    )
    return node


async def serve(
    node: FleetNode, client: GrantingClient, upstream: Upstream
) -> CallerAnswer:
    """Serve one request that must not run twice."""
    proxy = Proxy(
        node,
        client,  # type: ignore[arg-type]
        upstream,
        lambda customer, route: 0,
        lambda trace, answer, latency_us: None,
        random.Random(1),
    )
    return await proxy.handle(request(method=b'POST'))


@pytest.mark.parametrize(
    ('listed', 'version', 'is_sent'),
    [
        ([READY, OTHER], GRANTED_VERSION, True),
        ([READY, OTHER], GRANTED_VERSION + 1, True),
        ([replace(READY, is_draining=True), OTHER], GRANTED_VERSION + 1, False),
        ([OTHER], GRANTED_VERSION + 1, False),
        ([OTHER], GRANTED_VERSION, False),
        ([replace(READY, started_ms=9), OTHER], GRANTED_VERSION + 1, False),
        # This host has not heard yet of a target that the broker knows.
        ([OTHER], GRANTED_VERSION - 1, True),
    ],
    ids=[
        'same list',
        'newer list',
        'draining',
        'gone',
        'gone by the same list',
        'restarted',
        'older list',
    ],
)
def test_broker_with_an_old_list_reaches_no_leaving_target(
    listed: list[TargetSpec],
    version: int,
    is_sent: bool,  # noqa: FBT001
) -> None:
    """The caller is served by the next target instead."""

    async def scenario() -> None:
        async with (
            target(reply_with(OK)) as (first, first_accepted),
            target(reply_with(OK)) as (second, _),
        ):
            slots = [
                replace(grant, target_id=name, state_version=GRANTED_VERSION)
                for grant, name in ((first, 't0'), (second, 't1'))
            ]
            client = GrantingClient(slots)
            node = create_node(listed, version)
            upstream = Upstream(HEADER_NAMES, node.withhold_cause)
            answer = await serve(node, client, upstream)
            upstream.close()
            assert answer.status == 200
            assert first_accepted[0] == is_sent
            assert client.outcomes[-1] is SendOutcome.SERVED

    asyncio.run(scenario())


def test_target_that_leaves_while_its_connection_opens_gets_nothing() -> None:
    async def scenario() -> None:
        received: list[int] = []

        async def record_bytes(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            received.append(len(await reader.read()))

        causes = iter(('', 'leaves'))
        async with target(record_bytes) as (grant, accepted):
            upstream = Upstream(HEADER_NAMES, lambda *_: next(causes))
            answer = await send(upstream, grant, request())
            upstream.close()
            await asyncio.sleep(0.05)
            assert answer.outcome is SendOutcome.WITHHELD
            assert accepted == [1]
            assert received == [0]

    asyncio.run(scenario())


def test_broker_stops_granting_a_target_that_a_host_knows_as_left() -> None:
    record = TargetRecord(READY, SERVICE, 0)
    record.record_outcome(
        SendOutcome.WITHHELD, 'h1', SERVICE, 0, SECOND_US, is_slow=False
    )
    assert not record.has_free_slot(SECOND_US + 1)
    assert not record.last_failed_us
    assert record.has_free_slot(2 * SECOND_US)
