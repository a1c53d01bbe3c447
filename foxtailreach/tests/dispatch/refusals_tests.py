"""What a broker tells of the requests that it refuses."""

from __future__ import annotations

import random

import pytest

from foxtailreach.core import effects
from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.deployment import RequestKind
from foxtailreach.core.dispatch.messages import RefusalCause, SlotRequest
from foxtailreach.core.dispatch.pools import Pool
from foxtailreach.core.dispatch.refusals import Refusals
from foxtailreach.core.dispatch.return_times import MAX_RETRY_AFTER_US
from foxtailreach.core.dispatch.service_brokers import (
    BrokerEntry,
    ServiceBrokers,
)
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.tests.dispatch.fixtures import (
    RETRY_POLICY,
    START_US,
    create_broker,
    refusals,
    slot_request,
)


def overload(
    brokers: ServiceBrokers, first_id: int, now_us: int
) -> list[messages.SlotRefused]:
    """Send 30 requests to a broker with two slots."""
    broker = brokers._entries['svc'].broker
    refused = []
    for ask_id in range(first_id, first_id + 30):
        request = slot_request(
            ask_id, customer='cust', time_left_us=600 * MILLISECOND_US
        )
        new_effects = broker.request_slot('h1', 'd1', request, now_us)
        refused.extend(refusals(new_effects))
    return refused


def test_refusals_are_logged_once_a_second_with_their_inputs() -> None:
    """Guards against a log line for each refusal of an overload."""
    brokers = ServiceBrokers(RETRY_POLICY, random.Random(1))
    brokers._entries['svc'] = BrokerEntry(
        Pool('svc'), create_broker(1), START_US
    )
    assert not brokers.notes(START_US + 2 * SECOND_US)
    lines: list[effects.Note] = []
    refused = 0
    for step in range(30):
        now_us = START_US + (20 + step) * 100 * MILLISECOND_US
        refused += len(overload(brokers, 100 * step, now_us))
        lines.extend(
            note
            for note in brokers.notes(now_us)
            if (note.name, note.subject) == ('queue', 'svc')
        )
    assert refused > 500
    assert 2 <= len(lines) <= 3
    assert "customer 'cust'" in lines[-1].detail
    assert 'us of work waiting' in lines[-1].detail
    gauges = brokers.gauges()
    assert gauges['refused_overload_svc'] == refused
    assert gauges['waiting_svc'] > 0
    assert gauges['waiting_work_us_svc'] >= gauges['waiting_svc']


@pytest.mark.parametrize('wait_us', [0, SECOND_US, 60 * SECOND_US])
def test_no_caller_is_told_more_than_five_seconds(wait_us: int) -> None:
    request: SlotRequest = slot_request(1, kind=RequestKind.UPLOAD)
    builder = Refusals(random.Random(2))
    sent = [
        builder.refuse('h1', request, RefusalCause.REPEAT_BUDGET, wait_us)
        for _ in range(50)
    ]
    delays_us = {refusal.retry_after_us for refusal in refusals(sent)}
    assert len(delays_us) > 25
    assert max(delays_us) <= MAX_RETRY_AFTER_US
    assert min(delays_us) >= 200 * MILLISECOND_US
