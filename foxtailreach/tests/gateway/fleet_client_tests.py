"""Charges of a host that has lost contact with all others."""

from __future__ import annotations

import asyncio

import pytest

from foxtailreach.core.dispatch.deployment import CustomerSpec
from foxtailreach.core.dispatch.messages import Admission
from foxtailreach.core.units import SECOND_US
from foxtailreach.gateway import fleet_client
from foxtailreach.tests.dispatch.fixtures import START_US
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
