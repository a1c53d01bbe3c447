"""Long requests as evidence against their target."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.broker import Broker
from foxtailreach.core.dispatch.deployment import Deployment
from foxtailreach.core.dispatch.messages import SendOutcome
from foxtailreach.core.dispatch.request_costs import CostEstimate
from foxtailreach.core.dispatch.service_brokers import ServiceBrokers
from foxtailreach.core.dispatch.target_load import LongRequest, TargetLoad
from foxtailreach.core.dispatch.target_record import TargetRecord, TargetStatus
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.tests.dispatch.cost_replay import (
    L_RESERVATION,
    L_STATION,
    P_MIXED,
    CostLoad,
    CostReplay,
    replay_costs,
)
from foxtailreach.tests.dispatch.fixtures import (
    RETRY_POLICY,
    SERVICE,
    START_US,
    create_broker,
    grants,
    slot_report,
    slot_request,
    spec,
)

MEAN_US = 500 * MILLISECOND_US
TIMEOUT_US = 2 * SECOND_US
ENDED_US = START_US + TIMEOUT_US


def load_after(
    served_ms: tuple[int, ...], other_long_ms: tuple[int, ...], share: float
) -> tuple[TargetLoad, bool]:
    """Record outcomes of requests sent this long after a long request."""
    load = TargetLoad()
    for sent_ms in served_ms:
        load.record_served(START_US + sent_ms * MILLISECOND_US)
    is_unusual = False
    for sent_ms in (0, *other_long_ms):
        sent_us = START_US + sent_ms * MILLISECOND_US
        request = LongRequest(sent_us, ENDED_US, 1, 0, share)
        is_unusual = load.record_long(request, ENDED_US)
    return load, is_unusual


@pytest.mark.parametrize(
    ('served_ms', 'other_long_ms', 'tail_share', 'is_unusual'),
    [
        ((), (), 0.03, True),
        ((-300, -100), (), 0.03, True),
        ((300,), (), 0.03, False),
        ((300, 600, 900), (), 0.03, False),
        ((), (50,), 0.03, True),
        ((300, 600), (50,), 0.03, True),
        ((300, 600, 900, 1200), (50,), 0.03, False),
        ((300, 600, 900, 1200), (1300,), 0.03, True),
        ((), (), 0.3, False),
    ],
    ids=[
        'nothing-since',
        'only-earlier-ones-served',
        'one-served-since',
        'several-served-since',
        'two-at-once',
        'two-at-once-two-served',
        'two-at-once-many-served',
        'second-with-nothing-since',
        'most-requests-are-long',
    ],
)
def test_long_requests_count_as_far_as_they_are_unusual(
    served_ms: tuple[int, ...],
    other_long_ms: tuple[int, ...],
    tail_share: float,
    is_unusual: bool,
) -> None:
    """Guards against both ejecting healthy targets and keeping hung ones."""
    judged = load_after(served_ms, other_long_ms, tail_share)[1]
    assert judged is is_unusual


def test_late_requests_behind_a_long_one_show_a_hang() -> None:
    """A hung target may have served one request since by chance."""
    load, is_unusual = load_after((100,), (), 0.03)
    assert not is_unusual
    estimate = CostEstimate(MEAN_US, MEAN_US // 2, 0.03, 0)
    granted = {('h1', 0): START_US}
    load.add(('h1', 0), estimate, START_US)
    for ask_id in (1, 2):
        load.add(('h1', ask_id), estimate, START_US + 1000 * ask_id)
        granted['h1', ask_id] = START_US + 1000 * ask_id
    assert load.has_overdue(granted, MEAN_US, START_US + 2_000_900)


def test_failure_withdraws_long_requests_from_the_tail_share() -> None:
    """Requests that a failing target did not answer are not long by cost."""
    load, _ = load_after((300,), (), 0.03)
    load.record_failed()
    assert not load.record_served(ENDED_US)


def learn_tail(broker: Broker, share: float) -> None:
    """Let the broker learn a tail share from 2,000 requests."""
    for index in range(2000):
        if share and index % round(1 / share) == 0:
            broker.costs.record_long(1, 0, TIMEOUT_US)
        else:
            broker.costs.record(1, 0, MEAN_US, 't9', 0)
            broker.costs.record_service_time(MEAN_US)


def report_for(
    grant: messages.SlotGrant, outcome: SendOutcome, latency_us: int
) -> messages.SlotReport:
    report = slot_report(grant, outcome, latency_us)
    return replace(report, request_class=1)


def time_out_one_of(broker: Broker, served: int) -> TargetRecord:
    """Time out a request at the only target after later ones were served."""
    asked = [
        grants(
            broker.request_slot(
                'h1',
                'd1',
                slot_request(ask_id, request_class=1),
                START_US + 100 * ask_id * MILLISECOND_US,
            ),
        )[0]
        for ask_id in range(served + 1)
    ]
    for grant in asked[1:]:
        broker.report(
            'h1',
            report_for(grant, SendOutcome.SERVED, MEAN_US),
            START_US + 100 * grant.ask_id * MILLISECOND_US + MEAN_US,
        )
    record = broker.records['t0']
    report = report_for(asked[0], SendOutcome.TIMED_OUT, TIMEOUT_US)
    broker.report('h1', report, ENDED_US)
    return record


@pytest.mark.parametrize(
    ('tail_share', 'served', 'status'),
    [
        (0.03, 3, TargetStatus.PROVEN),
        (0.03, 0, TargetStatus.EJECTED),
        (0.01, 3, TargetStatus.EJECTED),
        (0, 3, TargetStatus.EJECTED),
    ],
    ids=['usual', 'nothing-since', 'share-below-2-percent', 'no-tail'],
)
def test_timed_out_request_ejects_only_if_it_is_unusual(
    tail_share: float, served: int, status: TargetStatus
) -> None:
    broker = create_broker(1, slots=6)
    learn_tail(broker, tail_share)
    record = time_out_one_of(broker, served)
    assert record.status(ENDED_US + 1, MEAN_US) is status


@pytest.mark.parametrize('tail_share', [0, 0.03])
def test_target_that_hangs_is_ejected_as_soon_as_before(
    tail_share: float,
) -> None:
    """All requests hang from the start; they arrive at 3.5 a second."""
    broker = create_broker(1, slots=6)
    learn_tail(broker, tail_share)
    record = broker.records['t0']
    record.load.record_served(START_US - 1)
    mean_us = int(broker.costs.service_mean_us)
    now_us = START_US
    while record.status(now_us, mean_us) is not TargetStatus.EJECTED:
        request = slot_request(now_us, request_class=1)
        broker.request_slot('h1', 'd1', request, now_us)
        now_us += 285 * MILLISECOND_US
    assert now_us - START_US <= 2280 * MILLISECOND_US


@pytest.mark.parametrize(
    'load',
    [
        replace(L_STATION, duration_s=30),
        replace(L_STATION, duration_s=30, does_hang=True),
    ],
    ids=['errors', 'hangs'],
)
def test_fewer_healthy_targets_are_ejected(load: CostLoad) -> None:
    """3% of the requests take 7 times the mean work and time out."""
    before = replay_costs(load, 1, uses_costs=False).shares()
    after = replay_costs(load, 1).shares()
    assert after['wrongly ejected'] < 0.5 * before['wrongly ejected']
    assert after['failed'] < 1.1 * before['failed']


@pytest.mark.parametrize(
    'load',
    [
        replace(L_RESERVATION, tail_share=0.01, duration_s=10),
        replace(L_STATION, tail_share=0, duration_s=30, does_hang=True),
        replace(P_MIXED, classes=P_MIXED.classes[1:], duration_s=30),
    ],
    ids=['one-percent', 'no-tail-hangs', 'single-class'],
)
def test_other_loads_are_placed_exactly_as_before(load: CostLoad) -> None:
    """Estimates of costs take effect only where they are called for."""
    replays: list[CostReplay] = [
        replay_costs(load, 2, uses_costs=uses_costs)
        for uses_costs in (False, True)
    ]
    assert replays[0].sends == replays[1].sends


def test_spared_targets_and_samples_are_shown_to_operators() -> None:
    """A broker that ejects too few targets must be found in its metrics."""
    brokers = ServiceBrokers(RETRY_POLICY, random.Random(1))
    deployment = Deployment(1, services={'svc': SERVICE})
    target = spec(0, slots=6)
    brokers.update(deployment, [target], frozenset(), START_US)
    brokers.merge_remote(messages.TurnedAway('svc'), START_US)
    assert not brokers.notes(START_US)
    follower_costs = create_broker(1)
    learn_tail(follower_costs, 0.03)
    brokers.merge_remote(follower_costs.digest(START_US), START_US)
    notes = brokers.notes(START_US)
    assert [note.name for note in notes] == ['costs']
    assert brokers.gauges()['known_classes_svc'] == 1
    assert brokers.gauges()['spared_targets_svc'] == 0
    assert not brokers.notes(START_US + SECOND_US)
