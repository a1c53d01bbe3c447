"""Charges of a host that has lost contact with all others."""

from __future__ import annotations

import asyncio

import pytest

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.deployment import CustomerSpec
from foxtailreach.core.dispatch.messages import Admission, SlotReport
from foxtailreach.core.dispatch.pools import Pool
from foxtailreach.core.units import SECOND_US
from foxtailreach.gateway import fleet_client
from foxtailreach.tests.dispatch.fixtures import (
    START_US,
    create_broker,
    grants,
    slot_report,
    slot_request,
)
from foxtailreach.tests.dispatch.fleet_tests import create_fleet


@pytest.mark.parametrize(
    ('isolated_s', 'admission'),
    # One of two hosts with a limit of 1/s accrues one request in 2 s.
    [(1.5, Admission.NOT_OWNER), (2.5, Admission.WITHIN_LIMIT)],
)
def test_isolated_host_does_not_claim_that_a_limit_is_used_up(
    isolated_s: float,
    admission: Admission,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_us = START_US + int(isolated_s * SECOND_US)
    monkeypatch.setattr(fleet_client, 'boot_time_us', lambda: now_us)
    node = create_fleet()['h1']
    client = fleet_client.FleetClient(node, lambda host_id, message: None)
    customer = CustomerSpec('c', rate_per_s=1, burst_requests=9)
    charge = asyncio.run(client.charge(customer, now_us + SECOND_US))
    assert charge.admission is admission


def test_lost_report_does_not_keep_a_slot_taken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its target would count as overdue until the lease expires."""
    monkeypatch.setattr(fleet_client, 'boot_time_us', lambda: START_US)
    broker = create_broker(1)
    grant = grants(broker.request_slot('h1', 'd1', slot_request(1), START_US))[
        0
    ]
    sent: list[SlotReport] = []

    def lose_first(host_id: str, message: object) -> None:
        assert isinstance(message, SlotReport)
        if host_id == 'h2':
            sent.append(message)
            if len(sent) > 1:
                broker.report('h1', message, START_US + SECOND_US)

    async def scenario() -> None:
        client = fleet_client.FleetClient(create_fleet()['h1'], lose_first)
        slot = fleet_client.GrantedSlot(grant, 'h2', Pool('svc'))
        client.report(slot, slot_report(grant))
        await asyncio.sleep(0.2)

    asyncio.run(scenario())
    assert not broker.records['t0'].granted


@pytest.mark.parametrize('is_held', [False, True])
def test_burst_of_lost_reports_keeps_a_slot_taken(
    is_held: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All copies of a report are lost; a slot that is held stays taken."""
    broker = create_broker(1)
    now_us = [START_US]
    monkeypatch.setattr(fleet_client, 'boot_time_us', lambda: now_us[0])
    client: fleet_client.FleetClient

    def transmit(host_id: str, message: messages.FleetMessage) -> None:
        match message:
            case messages.SlotRequest():
                effects = broker.request_slot('h1', 'd1', message, now_us[0])
                client.receive(host_id, grants(effects)[0])
            case messages.SlotCancel():
                broker.cancel('h1', message.ask_id, now_us[0])
            case _:
                return

    async def scenario() -> None:
        deadline_us = now_us[0] + 8 * SECOND_US
        slot = await client.acquire(slot_request(1), deadline_us)
        assert isinstance(slot, fleet_client.GrantedSlot)
        if not is_held:
            client.report(slot, slot_report(slot.grant))
        for _ in range(20):
            now_us[0] += SECOND_US // 10
            for effect in broker.tick(now_us[0]):
                assert isinstance(effect.message, messages.SlotCheck)
                client.check_slots('h1', effect.message)

    client = fleet_client.FleetClient(create_fleet()['h1'], transmit)
    asyncio.run(scenario())
    assert bool(broker.records['t0'].granted) is is_held
