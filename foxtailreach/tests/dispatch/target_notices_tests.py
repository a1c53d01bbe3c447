"""Targets that say that they leave, and targets that ask for a pause."""

from __future__ import annotations

from dataclasses import replace

import pytest

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.broker import Broker
from foxtailreach.core.dispatch.cover import count_idle
from foxtailreach.core.dispatch.deployment import RequestKind, TargetSpec
from foxtailreach.core.dispatch.messages import RefusalCause, SendOutcome
from foxtailreach.core.dispatch.target_notices import (
    FORGET_AFTER_US,
    MAX_PAUSE_US,
    Incarnation,
    TargetNotice,
    TargetNotices,
)
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.tests.dispatch.fixtures import (
    SERVICE,
    START_US,
    create_broker,
    grants,
    refusals,
    slot_report,
    slot_request,
    spec,
)

LEAVING = TargetNotice(is_leaving=True)
PAUSE_US = 2 * SECOND_US
PAUSE = TargetNotice(pause_us=PAUSE_US)
FIRST = Incarnation('t0', 7)
FIRST_ENTRY = spec(0, started_ms=7)


@pytest.mark.parametrize(
    ('listed', 'asked', 'is_bound'),
    [
        ([FIRST_ENTRY], FIRST, True),
        # The entry has expired in an outage of the store and returns later.
        ([], FIRST, True),
        ([spec(0, started_ms=8)], Incarnation('t0', 8), False),
        # Another target has taken over the address.
        (
            [spec(9, port=8000, service='other', started_ms=7)],
            Incarnation('t9', 7),
            False,
        ),
    ],
    ids=['listed as ready', 'not listed', 'restarted', 'address reused'],
)
def test_target_that_said_it_leaves_is_in_use_again(
    listed: list[TargetSpec],
    asked: Incarnation,
    is_bound: bool,  # noqa: FBT001
) -> None:
    notices = TargetNotices()
    notices.record(FIRST, LEAVING, START_US)
    notices.update_list(listed, START_US + 60 * SECOND_US)
    notices.update_list([FIRST_ENTRY], START_US + 61 * SECOND_US)
    notice = notices.current(asked, START_US + 61 * SECOND_US)
    assert notice.is_leaving is is_bound


@pytest.mark.parametrize(
    ('started_ms', 'listed', 'after_us', 'is_bound'),
    [
        (7, [], FORGET_AFTER_US, False),
        (7, [FIRST_ENTRY], FORGET_AFTER_US, True),
        # The next process could not be told from this one.
        (0, [], SECOND_US, False),
        (0, [spec(0)], SECOND_US, True),
    ],
)
def test_notice_of_a_target_that_is_gone_is_kept_for_ever(
    started_ms: int,
    listed: list[TargetSpec],
    after_us: int,
    is_bound: bool,  # noqa: FBT001
) -> None:
    notices = TargetNotices()
    incarnation = Incarnation('t0', started_ms)
    notices.record(incarnation, LEAVING, START_US)
    notices.update_list(listed, START_US + after_us)
    notice = notices.current(incarnation, START_US + after_us)
    assert notice.is_leaving is is_bound


@pytest.mark.parametrize(
    ('notices_us', 'at_us', 'left_us'),
    [
        ([(0, PAUSE_US)], PAUSE_US - 1, 1),
        ([(0, PAUSE_US)], PAUSE_US, 0),
        # A shorter pause that is asked for later does not end the first one.
        ([(0, PAUSE_US), (SECOND_US, 1)], PAUSE_US - 1, 1),
        ([(0, PAUSE_US), (SECOND_US, PAUSE_US)], PAUSE_US, SECOND_US),
        ([(0, 10**15)], 0, MAX_PAUSE_US),
    ],
    ids=['kept in full', 'ended', 'shorter', 'again', 'enormous'],
)
def test_pause_ends_too_early_or_never(
    notices_us: list[tuple[int, int]], at_us: int, left_us: int
) -> None:
    notices = TargetNotices()
    for told_us, pause_us in notices_us:
        notices.record(
            FIRST, TargetNotice(pause_us=pause_us), START_US + told_us
        )
    assert notices.current(FIRST, START_US + at_us).pause_us == left_us


def report_notice(
    broker: Broker,
    ask_id: int,
    now_us: int,
    notice: TargetNotice,
    outcome: SendOutcome = SendOutcome.SHED,
) -> str:
    """Send a request; report its outcome and notice. Return the target."""
    new_effects = broker.request_slot('h1', 'd1', slot_request(ask_id), now_us)
    (grant,) = grants(new_effects)
    report = replace(
        slot_report(grant, outcome, 0),
        is_leaving=notice.is_leaving,
        pause_us=notice.pause_us,
    )
    broker.report('h1', report, now_us)
    return grant.target_id


def targets_granted(broker: Broker, now_us: int, host_id: str) -> set[str]:
    """Return the targets of requests of another host, served at once."""
    granted = set()
    for ask_id in range(1000, 1020):
        new_effects = broker.request_slot(
            host_id, 'd1', slot_request(ask_id), now_us
        )
        for grant in grants(new_effects):
            granted.add(grant.target_id)
            broker.report(host_id, slot_report(grant, latency_us=0), now_us)
    return granted


@pytest.mark.parametrize('outcome', [SendOutcome.SHED, SendOutcome.WITHHELD])
@pytest.mark.parametrize('notice', [LEAVING, PAUSE], ids=['leaving', 'pause'])
def test_other_hosts_are_granted_a_target_that_told_one_host(
    notice: TargetNotice, outcome: SendOutcome
) -> None:
    broker = create_broker(4)
    told = report_notice(broker, 1, START_US, notice, outcome)
    assert told not in targets_granted(broker, START_US + SECOND_US, 'h2')


def test_leaving_told_with_a_served_answer_counts_too() -> None:
    broker = create_broker(2)
    told = report_notice(broker, 1, START_US, LEAVING, SendOutcome.SERVED)
    assert told not in targets_granted(broker, START_US + SECOND_US, 'h2')


def test_restart_of_a_target_keeps_its_notice() -> None:
    broker = create_broker(1)
    report_notice(broker, 1, START_US, LEAVING)
    broker.update_targets(
        SERVICE, [spec(0, started_ms=9)], frozenset(), START_US
    )
    assert targets_granted(broker, START_US + SECOND_US, 'h2') == {'t0'}


def test_pause_counts_as_failure_ejection_or_warm_up() -> None:
    broker = create_broker(1)
    for ask_id in range(4):
        record = broker.records['t0']
        record.paused_until_us = 0
        report_notice(broker, ask_id, START_US, PAUSE)
    assert not record.last_failed_us
    assert not record.ejected_until_us
    ended_us = START_US + PAUSE_US
    assert not record.has_free_slot(ended_us - 1)
    assert record.has_free_slot(ended_us)
    assert not record.is_warming_up(ended_us)


def test_withheld_retry_uses_up_the_budget() -> None:
    broker = create_broker(1)
    slots = 0
    for ask_id in range(100):
        request = slot_request(ask_id, is_repeat=True)
        new_effects = broker.request_slot('h1', 'd1', request, START_US)
        for grant in grants(new_effects):
            slots += 1
            report = slot_report(grant, SendOutcome.WITHHELD, 0)
            broker.report('h1', report, START_US)
            broker.records['t0'].full_until_us = 0
    assert slots == 100


@pytest.mark.parametrize(
    ('targets', 'paused', 'is_refused'),
    [(4, 1, False), (4, 3, False), (4, 4, True), (1, 1, True)],
    ids=['one', 'most', 'all', 'the only one'],
)
def test_request_waits_for_targets_that_all_pause(
    targets: int,
    paused: int,
    is_refused: bool,  # noqa: FBT001
) -> None:
    """Callers return one after the other behind the first end of a pause."""
    broker = create_broker(targets)
    for ask_id in range(paused):
        pause_us = PAUSE_US + ask_id * SECOND_US
        report_notice(broker, ask_id, START_US, TargetNotice(pause_us=pause_us))
    now_us = START_US + SECOND_US
    new_effects = []
    for ask_id in range(100, 140):
        new_effects += broker.request_slot(
            'h2', 'd1', slot_request(ask_id), now_us
        )
    refused = [
        refusal
        for refusal in refusals(new_effects)
        if refusal.cause is RefusalCause.PAUSED
    ]
    assert len(refused) == (40 if is_refused else 0)
    delays_us = {refusal.retry_after_us for refusal in refused}
    assert all(delay_us >= PAUSE_US - SECOND_US for delay_us in delays_us)
    assert not refused or len(delays_us) > 30


def test_waiting_request_is_left_waiting_as_the_last_target_pauses() -> None:
    broker = create_broker(1, slots=1)
    first = broker.request_slot('h1', 'd1', slot_request(1), START_US)
    broker.request_slot('h2', 'd1', slot_request(2), START_US)
    assert broker.queue_length == 1
    report = replace(
        slot_report(grants(first)[0], SendOutcome.SHED, 0), pause_us=PAUSE_US
    )
    (refused,) = refusals(broker.report('h1', report, START_US))
    assert refused.cause is RefusalCause.PAUSED
    assert not broker.queue_length


@pytest.mark.parametrize('kind', list(RequestKind))
def test_coverage_or_probe_reaches_a_target_that_pauses(
    kind: RequestKind,
) -> None:
    """A tenth of the requests fails, so that coverage needs all targets."""
    broker = create_broker(6)
    pausing = report_notice(
        broker, 0, START_US, TargetNotice(pause_us=10 * SECOND_US)
    )
    granted = set()
    for ask_id in range(1, 500):
        now_us = START_US + ask_id * 10 * MILLISECOND_US
        request = slot_request(ask_id, kind=kind, may_repeat=True)
        for grant in grants(broker.request_slot('h1', 'd1', request, now_us)):
            granted.add(grant.target_id)
            outcome = SendOutcome.SERVED
            if ask_id % 10 == 0:
                outcome = SendOutcome.FAILED
            broker.report('h1', slot_report(grant, outcome, 0), now_us)
    assert granted == set(broker.records) - {pausing}
    assert count_idle(broker.records.values(), now_us) < len(broker.records)


def test_report_names_what_the_target_has_told() -> None:
    default = messages.SlotReport(1, 's', 't', 0, SendOutcome.SERVED, 0, 0)
    assert (default.is_leaving, default.pause_us) == (False, 0)
