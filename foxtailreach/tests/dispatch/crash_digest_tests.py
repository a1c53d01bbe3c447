"""A broker that takes over knows which requests crash targets."""

from __future__ import annotations

import itertools

from foxtailreach.core.dispatch.broker import Broker
from foxtailreach.core.dispatch.messages import RefusalCause, SendOutcome
from foxtailreach.core.units import SECOND_US
from foxtailreach.tests.dispatch.fixtures import (
    START_US,
    create_broker,
    grants,
    refusals,
    slot_report,
    slot_request,
)

POISON = 7
ASK_IDS = itertools.count(1)


def crash_targets(broker: Broker, count: int) -> None:
    """Let a request crash some targets, one after the other."""
    for _ in range(count):
        request = slot_request(next(ASK_IDS), fingerprint=POISON)
        grant = grants(broker.request_slot('h1', 'd1', request, START_US))[0]
        report = slot_report(grant, SendOutcome.LOST, 1000, POISON)
        broker.report('h1', report, START_US)


def is_quarantined(broker: Broker, now_us: int) -> bool:
    """Tell whether a broker refuses the request that crashes targets."""
    request = slot_request(next(ASK_IDS), fingerprint=POISON)
    refused = refusals(broker.request_slot('h1', 'd1', request, now_us))
    return bool(refused) and refused[0].cause is RefusalCause.QUARANTINED


def test_brokers_that_restart_in_turn_keep_the_quarantine() -> None:
    """Guards against a request that crashes three targets of each broker.

    Each broker has only what the one before has told it.
    """
    broker = create_broker(6)
    crash_targets(broker, 3)
    for step in range(4):
        now_us = START_US + step * SECOND_US
        successor = create_broker(6, now_us)
        assert not is_quarantined(successor, now_us)
        successor.merge_evidence(broker.digest(now_us), now_us)
        assert is_quarantined(successor, now_us)
        broker = successor


def test_crashes_before_and_after_a_takeover_count_together() -> None:
    """Guards against counts that begin anew with each broker."""
    first = create_broker(6)
    crash_targets(first, 2)
    successor = create_broker(6)
    successor.merge_evidence(first.digest(START_US), START_US)
    assert not is_quarantined(successor, START_US)
    for record_id in ('t0', 't1'):
        successor.records.pop(record_id)
    crash_targets(successor, 1)
    assert is_quarantined(successor, START_US + SECOND_US)


def test_quarantine_expires_at_the_successor() -> None:
    """Guards against requests that are refused for good."""
    broker = create_broker(6)
    crash_targets(broker, 3)
    successor = create_broker(6)
    successor.merge_evidence(broker.digest(START_US), START_US)
    later_us = START_US + 61 * SECOND_US
    successor.tick(later_us)
    assert not is_quarantined(successor, later_us)
