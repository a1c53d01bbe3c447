"""Tests of the answer to a caller after attempts with mixed outcomes.

A caller resends a request with the verdict `not-run`. If an attempt may
have run it, that would run it twice.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from http import HTTPStatus

import pytest

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.deployment import (
    CustomerSpec,
    Deployment,
    RequestKind,
    RouteSpec,
    ServiceShare,
    digest_key,
    index_routes,
)
from foxtailreach.core.dispatch.fleet import FleetConfig, FleetNode
from foxtailreach.core.dispatch.messages import RefusalCause, SendOutcome
from foxtailreach.core.dispatch.pools import Pool
from foxtailreach.core.messages import HostEntry
from foxtailreach.core.units import SECOND_US
from foxtailreach.core.verdict import Reason, Verdict
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway import proxy as proxy_module
from foxtailreach.gateway.fleet_client import Charge, GrantedSlot
from foxtailreach.gateway.http_types import CallerAnswer, CallerRequest
from foxtailreach.gateway.proxy import Proxy
from foxtailreach.gateway.upstream import TargetAnswer
from foxtailreach.tests.dispatch.fixtures import RETRY_POLICY, SERVICE, spec
from foxtailreach.tests.dispatch.meters_tests import POLICY as LIMIT_POLICY

ROUTE = RouteSpec(
    name='r',
    host='h',
    path_prefix='/',
    kind=RequestKind.IDEMPOTENT,
    shares=(ServiceShare('svc', 1),),
    objective_us=SECOND_US,
    max_attempts=3,
    is_open=True,
)


class ScriptedFleet:
    """Fakes the fleet client and upstream; attempts end as scripted."""

    def __init__(self, outcomes: list[SendOutcome]) -> None:
        """Use one outcome for each attempt, then refuse slots."""
        self._outcomes = outcomes

    async def acquire(
        self,
        draft: messages.SlotRequest,
        deadline_us: int,
    ) -> GrantedSlot | messages.SlotRefused:
        """Grant a slot while outcomes are left."""
        if not self._outcomes:
            return messages.SlotRefused(1, RefusalCause.REPEAT_BUDGET, 1000)
        grant = messages.SlotGrant(1, 't0', '10.0.0.1', 8000, 0, 0)
        return GrantedSlot(grant, 'h1', Pool('svc'))

    def report(self, slot: GrantedSlot, report: messages.SlotReport) -> None:
        """Ignore the report."""

    def connected_targets(self, now_us: int) -> tuple[str, ...]:
        """Return no targets."""
        return ()

    async def send(
        self,
        request: CallerRequest,
        grant: messages.SlotGrant,
        customer: str,
        deadline_us: int,
        *,
        is_repeatable: bool,
    ) -> TargetAnswer:
        """Return the next outcome."""
        outcome = self._outcomes.pop(0)
        status = 500 if outcome is SendOutcome.FAILED else 0
        return TargetAnswer(outcome, status=status)


class SlowFleet(ScriptedFleet):
    """Lets each target take a moment."""

    async def send(
        self,
        request: CallerRequest,
        grant: messages.SlotGrant,
        customer: str,
        deadline_us: int,
        *,
        is_repeatable: bool,
    ) -> TargetAnswer:
        """Return the next outcome after a pause."""
        await asyncio.sleep(0.1)
        return await super().send(
            request, grant, customer, deadline_us, is_repeatable=is_repeatable
        )


class SilentMeter(ScriptedFleet):
    """Admits a request, but does not answer when its charge is renewed."""

    def __init__(self) -> None:
        """Record the reports on slots."""
        super().__init__([SendOutcome.SERVED])
        self.reported: list[SendOutcome] = []
        self.is_renewing = asyncio.Event()

    async def charge(self, customer: CustomerSpec, deadline_us: int) -> Charge:
        """Admit the request."""
        admission = messages.Admission.WITHIN_LIMIT
        return Charge(messages.ChargeResult(1, admission, 0), 'h2')

    async def renew(
        self,
        charge: Charge,
        customer: CustomerSpec,
        deadline_us: int,
    ) -> Charge:
        """Wait without end."""
        self.is_renewing.set()
        return await asyncio.Future()

    def report(self, slot: GrantedSlot, report: messages.SlotReport) -> None:
        """Record the outcome."""
        self.reported.append(report.outcome)


def create_proxy(fleet: ScriptedFleet, deployment: Deployment) -> Proxy:
    """Create the request handling of a host with one target."""
    entry = HostEntry('h1', 'd1', '10.0.0.1', 7000)
    now_us = boot_time_us()
    node = FleetNode.from_config(
        FleetConfig(entry, 1, RETRY_POLICY, LIMIT_POLICY),
        random.Random(1),
        now_us,
    )
    node.update_state(deployment, [spec(0)], frozenset(), now_us)
    return Proxy(
        node,
        fleet,  # type: ignore[arg-type]
        fleet,  # type: ignore[arg-type]
        lambda customer, route: 0,
        lambda trace, answer, latency_us: None,
        random.Random(1),
    )


def caller_request(key: str = '') -> CallerRequest:
    """Build a request to the route."""
    return CallerRequest(
        method=b'GET',
        path=b'/x',
        headers=[(b'host', b'h')],
        body=b'',
        request_id='1',
        key=key,
        time_left_us=SECOND_US,
        received_us=boot_time_us(),
    )


def serve(outcomes: list[SendOutcome]) -> CallerAnswer:
    """Serve one request whose attempts end with the given outcomes."""
    deployment = Deployment(1, index_routes([ROUTE]), {'svc': SERVICE})
    proxy = create_proxy(ScriptedFleet(outcomes), deployment)
    return asyncio.run(proxy.handle(caller_request()))


@pytest.mark.parametrize(
    ('outcomes', 'status', 'verdict'),
    [
        ([], HTTPStatus.SERVICE_UNAVAILABLE, Verdict.NOT_RUN),
        (['misdirected'], HTTPStatus.SERVICE_UNAVAILABLE, Verdict.NOT_RUN),
        (
            ['unreachable'] * 3,
            HTTPStatus.SERVICE_UNAVAILABLE,
            Verdict.NOT_RUN,
        ),
        (['failed'], HTTPStatus.INTERNAL_SERVER_ERROR, Verdict.MAY_HAVE_RUN),
        (
            ['failed', 'unreachable'],
            HTTPStatus.INTERNAL_SERVER_ERROR,
            Verdict.MAY_HAVE_RUN,
        ),
        (
            ['failed', 'unreachable', 'unreachable', 'unreachable'],
            HTTPStatus.INTERNAL_SERVER_ERROR,
            Verdict.MAY_HAVE_RUN,
        ),
        (
            ['failed', 'shed'],
            HTTPStatus.INTERNAL_SERVER_ERROR,
            Verdict.MAY_HAVE_RUN,
        ),
        (['lost', 'shed'], HTTPStatus.BAD_GATEWAY, Verdict.MAY_HAVE_RUN),
        (
            ['lost', 'timed-out'],
            HTTPStatus.GATEWAY_TIMEOUT,
            Verdict.MAY_HAVE_RUN,
        ),
        (['failed', 'served'], 0, Verdict.RAN),
    ],
)
def test_not_run_verdict_requires_that_no_attempt_can_have_run(
    outcomes: list[str],
    status: int,
    verdict: Verdict,
) -> None:
    answer = serve([SendOutcome(name) for name in outcomes])
    assert (answer.status, answer.verdict) == (status, verdict)


@pytest.mark.parametrize(
    ('route', 'customer', 'reason'),
    [
        (replace(ROUTE, shares=()), CustomerSpec('c'), Reason.NO_SERVICE),
        (
            ROUTE,
            CustomerSpec('c', has_known_limit=False),
            Reason.LIMIT_UNAVAILABLE,
        ),
    ],
)
def test_unusable_part_of_a_configuration_is_refused_as_not_run(
    route: RouteSpec, customer: CustomerSpec, reason: Reason
) -> None:
    deployment = Deployment(
        1,
        index_routes([route]),
        {'svc': SERVICE},
        {'c': customer},
        {digest_key('key'): 'c'},
    )
    proxy = create_proxy(ScriptedFleet([SendOutcome.SERVED]), deployment)
    answer = asyncio.run(proxy.handle(caller_request('key')))
    assert answer.status == HTTPStatus.SERVICE_UNAVAILABLE
    assert (answer.verdict, answer.reason) == (Verdict.NOT_RUN, reason)


def test_caller_that_leaves_while_it_is_charged_returns_its_slot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise the slot stays taken until its lease expires."""
    monkeypatch.setattr(proxy_module, 'RENEW_CHARGE_AFTER_US', -1)
    deployment = Deployment(
        1,
        index_routes([ROUTE]),
        {'svc': SERVICE},
        {'c': CustomerSpec('c', rate_per_s=1, burst_requests=1)},
        {digest_key('key'): 'c'},
    )

    async def main() -> list[SendOutcome]:
        fleet = SilentMeter()
        proxy = create_proxy(fleet, deployment)
        task = asyncio.ensure_future(proxy.handle(caller_request('key')))
        await fleet.is_renewing.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return fleet.reported

    assert asyncio.run(main()) == [SendOutcome.ABANDONED]


class BusyFleet(ScriptedFleet):
    """Grants no slot, so that requests wait."""

    async def acquire(
        self,
        draft: messages.SlotRequest,
        deadline_us: int,
    ) -> GrantedSlot | messages.SlotRefused:
        """Wait without end."""
        return await asyncio.Future()


@pytest.mark.parametrize('is_running', [False, True])
def test_stopping_host_refuses_what_waits_and_keeps_what_runs(
    is_running: bool,
) -> None:
    """A waiting request was closed without an answer when the host ended."""
    deployment = Deployment(1, index_routes([ROUTE]), {'svc': SERVICE})

    async def main() -> CallerAnswer:
        fleet: ScriptedFleet = BusyFleet([])
        if is_running:
            fleet = SlowFleet([SendOutcome.SERVED])
        proxy = create_proxy(fleet, deployment)
        task = asyncio.ensure_future(proxy.handle(caller_request()))
        await asyncio.sleep(0.02)
        proxy.refuse_waiting()
        return await asyncio.wait_for(task, 1)

    answer = asyncio.run(main())
    expected = Verdict.RAN if is_running else Verdict.NOT_RUN
    assert answer.verdict is expected
    if not is_running:
        assert answer.reason is Reason.STOPPING
        assert answer.status == HTTPStatus.SERVICE_UNAVAILABLE


@pytest.mark.parametrize('is_late', [False, True])
def test_request_late_in_a_stop_is_passed_on_and_cut(is_late: bool) -> None:
    """The process ends before its target may have answered."""
    deployment = Deployment(1, index_routes([ROUTE]), {'svc': SERVICE})

    async def main() -> CallerAnswer:
        proxy = create_proxy(SlowFleet([SendOutcome.SERVED]), deployment)
        if is_late:
            proxy.refuse_new()
            return await proxy.handle(caller_request())
        task = asyncio.ensure_future(proxy.handle(caller_request()))
        await asyncio.sleep(0.02)
        proxy.refuse_new()
        return await task

    answer = asyncio.run(main())
    expected = Verdict.NOT_RUN if is_late else Verdict.RAN
    assert answer.verdict is expected
    if is_late:
        assert answer.reason is Reason.STOPPING
        assert answer.status == HTTPStatus.SERVICE_UNAVAILABLE


def test_caller_that_leaves_withdraws_its_waiting_request() -> None:
    deployment = Deployment(1, index_routes([ROUTE]), {'svc': SERVICE})

    async def main() -> int:
        proxy = create_proxy(BusyFleet([]), deployment)
        task = asyncio.ensure_future(proxy.handle(caller_request()))
        await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0)
        return len(asyncio.all_tasks()) - 1

    assert not asyncio.run(main())


class LateGrantFleet(SilentMeter):
    """Grants a slot at the moment at which the caller leaves."""

    def __init__(self) -> None:
        """Grant nothing yet."""
        super().__init__()
        self.may_grant = asyncio.Event()

    async def acquire(
        self,
        draft: messages.SlotRequest,
        deadline_us: int,
    ) -> GrantedSlot | messages.SlotRefused:
        """Wait until a slot may be granted."""
        await self.may_grant.wait()
        return await super().acquire(draft, deadline_us)


def test_slot_granted_as_the_caller_leaves_is_returned() -> None:
    """Otherwise the slot stays taken until its lease expires."""
    deployment = Deployment(1, index_routes([ROUTE]), {'svc': SERVICE})

    async def main() -> list[SendOutcome]:
        fleet = LateGrantFleet()
        proxy = create_proxy(fleet, deployment)
        task = asyncio.ensure_future(proxy.handle(caller_request()))
        await asyncio.sleep(0.02)
        fleet.may_grant.set()
        # One pass of the loop: the slot is granted, its request not resumed.
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return fleet.reported

    assert asyncio.run(main()) == [SendOutcome.ABANDONED]
