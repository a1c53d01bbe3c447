"""Estimates of the cost of requests by class and target."""

from __future__ import annotations

import random

import pytest

from foxtailreach.core.dispatch.broker import Broker
from foxtailreach.core.dispatch.request_costs import (
    MAX_CLASSES,
    MAX_DIGEST_CLASSES,
    CostEstimate,
    RequestCosts,
)
from foxtailreach.core.dispatch.target_load import TargetLoad
from foxtailreach.core.dispatch.wait_queue import WaitQueue
from foxtailreach.tests.dispatch.fixtures import (
    START_US,
    create_broker,
    grants,
    refusals,
    slot_request,
)

CHEAP_US = 64_000
COSTLY_US = 195_000


def record(
    costs: RequestCosts,
    request_class: int,
    latency_us: float,
    count: int = 1,
    target: str = 't0',
) -> None:
    """Record answers of a class, each with the same service time."""
    for _ in range(count):
        costs.record(request_class, 0, int(latency_us), target, 1000)


def two_classes(targets: int = 5) -> RequestCosts:
    """Learn two classes that differ by a factor of three."""
    costs = RequestCosts()
    for index in range(200):
        record(costs, 1, CHEAP_US, target=f't{index % targets}')
        record(costs, 2, COSTLY_US, target=f't{index % targets}')
    return costs


def test_classes_have_their_own_means() -> None:
    costs = two_classes()
    assert costs.is_active
    assert costs.estimate(1, 0).mean_us == pytest.approx(CHEAP_US, rel=0.05)
    assert costs.estimate(2, 0).mean_us == pytest.approx(COSTLY_US, rel=0.05)
    assert costs.estimate(3, 0).mean_us == int(costs.service_mean_us)


@pytest.mark.parametrize(
    ('means_us', 'weights', 'tail_share', 'is_active'),
    [
        ((200_000,), (1,), 0, False),
        ((200_000, 250_000), (1, 1), 0, False),
        ((200_000, 600_000), (1, 1), 0, True),
        ((200_000, 600_000), (100, 1), 0, False),
        ((200_000,), (1,), 0.01, False),
        ((200_000,), (1,), 0.04, True),
    ],
    ids=['one', 'alike', 'different', 'rare', 'short-tail', 'tail'],
)
def test_estimates_are_used_only_where_called_for(
    means_us: tuple[int, ...],
    weights: tuple[int, ...],
    tail_share: float,
    is_active: bool,
) -> None:
    """Guards against changed placement in loads of equal requests."""
    costs = RequestCosts()
    rng = random.Random(1)
    for _ in range(4000):
        chosen = rng.choices(range(len(means_us)), weights)[0]
        latency_us = int(means_us[chosen] * rng.gammavariate(4, 0.25))
        if rng.random() < tail_share:
            costs.record_long(chosen + 1, 0, 7 * means_us[chosen])
        else:
            record(costs, chosen + 1, latency_us)
    assert costs.is_active is is_active


@pytest.mark.parametrize('factor', [0.5, 2])
@pytest.mark.parametrize('targets', [1, 20])
def test_twofold_change_is_tracked_within_20_answers(
    factor: float, targets: int
) -> None:
    costs = two_classes(targets)
    for index in range(20):
        target = f't{index % targets}'
        record(costs, 1, factor * CHEAP_US, target=target)
    mean_us = costs.estimate(1, 0).mean_us
    assert mean_us == pytest.approx(factor * CHEAP_US, rel=0.3)


def test_outlier_moves_an_estimate_by_a_bounded_amount() -> None:
    costs = two_classes()
    before_us = costs.estimate(1, 0).mean_us
    costs.record_long(1, 0, 1000 * CHEAP_US)
    assert costs.estimate(1, 0).mean_us <= 1.31 * before_us


def test_slow_target_and_costly_class_are_told_apart() -> None:
    """One target of five takes twice as long, and gets most costly requests."""
    costs = RequestCosts()
    rng = random.Random(3)
    for _ in range(2000):
        target = rng.randrange(5)
        is_costly = rng.random() < (0.8 if target == 0 else 0.3)
        latency_us = COSTLY_US if is_costly else CHEAP_US
        latency_us *= 2 if target == 0 else 1
        record(costs, 2 if is_costly else 1, latency_us, 1, f't{target}')
    usual = [costs.slowness(f't{target}') for target in range(1, 5)]
    assert costs.slowness('t0') / max(usual) == pytest.approx(2, rel=0.2)
    ratio = costs.estimate(2, 0).mean_us / costs.estimate(1, 0).mean_us
    assert ratio == pytest.approx(COSTLY_US / CHEAP_US, rel=0.2)


def test_classes_are_bounded_and_the_oldest_is_evicted() -> None:
    """A configuration may have any number of routes."""
    costs = two_classes()
    for request_class in range(10, 10 + MAX_CLASSES - 1):
        record(costs, 2, COSTLY_US)
        record(costs, request_class, CHEAP_US)
    assert costs.known_classes == MAX_CLASSES
    assert costs.estimate(1, 0).answer_bytes == 0
    assert costs.estimate(2, 0).answer_bytes > 0
    assert len(costs.digest()) == MAX_DIGEST_CLASSES


def test_large_bodies_are_a_class_of_their_own() -> None:
    costs = two_classes()
    for _ in range(30):
        costs.record(1, 60_000, 10 * CHEAP_US, 't0', 0)
    assert costs.estimate(1, 60_000).mean_us > 5 * CHEAP_US
    assert costs.estimate(1, 200_000) == costs.estimate(1, 60_000)
    assert costs.estimate(1, 0).mean_us < 1.5 * CHEAP_US


def test_next_broker_takes_over_the_estimates() -> None:
    """The digest is also merged again and again while the broker is idle."""
    costs = two_classes()
    for _ in range(20):
        costs.record_long(2, 0, 7 * COSTLY_US)
    follower = RequestCosts()
    for _ in range(3):
        follower.merge(costs.digest())
    assert follower.is_active
    for request_class in (1, 2):
        known = costs.estimate(request_class, 0)
        taken = follower.estimate(request_class, 0)
        assert taken.mean_us == known.mean_us
        assert taken.tail_share == pytest.approx(known.tail_share, abs=0.01)


def test_broker_keeps_estimates_of_classes_that_it_serves() -> None:
    """Two brokers of a service may work at once while links are cut."""
    costs = two_classes()
    record(costs, 1, CHEAP_US, 10)
    other = two_classes()
    record(other, 1, 10 * CHEAP_US, 100)
    assert other.digest()
    costs.merge(other.digest())
    assert costs.estimate(1, 0).mean_us == pytest.approx(CHEAP_US, rel=0.05)


def learned_broker() -> Broker:
    """Create a broker that has learned two classes and a slow target."""
    broker = create_broker(2)
    for index in range(200):
        for target, factor in (('t0', 2), ('t1', 1)):
            record(broker.costs, 1, factor * CHEAP_US, target=target)
            record(broker.costs, 2, factor * COSTLY_US, target=target)
        broker.costs.record_service_time(
            CHEAP_US if index % 2 else COSTLY_US,
        )
    return broker


@pytest.mark.parametrize(
    ('request_class', 'objective_ms', 'target_id'),
    [(1, 300, 't0'), (2, 300, 't1'), (2, 5, 't0')],
    ids=['in-time-at-both', 'late-at-the-slow-one', 'late-at-both'],
)
def test_request_goes_where_it_ends_within_its_objective(
    request_class: int, objective_ms: int, target_id: str
) -> None:
    """Both targets have fresh evidence, the slow one by 0.2 s newer."""
    broker = learned_broker()
    broker.records['t0'].last_served_us = START_US - 100_000
    broker.records['t1'].last_served_us = START_US - 300_000
    request = slot_request(
        1,
        request_class=request_class,
        objective_left_us=1000 * objective_ms,
    )
    grant = grants(broker.request_slot('h1', 'd1', request, START_US))[0]
    assert grant.target_id == target_id


@pytest.mark.parametrize(
    ('request_class', 'is_refused'),
    [(1, False), (2, True)],
    ids=['cheap', 'costly'],
)
def test_request_is_refused_by_the_estimate_of_its_class(
    request_class: int, is_refused: bool
) -> None:
    """100 ms are left: enough for a look-up, too little for an upload."""
    broker = learned_broker()
    request = slot_request(1, request_class=request_class, time_left_us=100_000)
    new_effects = broker.request_slot('h1', 'd1', request, START_US)
    assert bool(refusals(new_effects)) is is_refused


def test_request_is_late_by_the_estimate_of_its_class() -> None:
    """A cheap request that can be in time goes before a costly late one."""
    queue = WaitQueue(START_US)
    for ask_id, work_us in ((1, COSTLY_US), (2, CHEAP_US)):
        request = slot_request(ask_id, objective_left_us=150_000)
        waiter = queue.prepare('h1', 'd1', request, work_us, START_US)
        queue.add(waiter, START_US)
    ordered = queue.ordered(START_US)
    assert [waiter.slot_request.ask_id for waiter in ordered] == [2, 1]
    assert queue.work_us == COSTLY_US + CHEAP_US
    # A late request waits for all of them, one in time not for the late one.
    waits_us = {}
    for left_us in (0, 1_000_000):
        request = slot_request(3, objective_left_us=left_us)
        waiter = queue.prepare('h1', 'd1', request, CHEAP_US, START_US)
        waits_us[left_us] = queue.wait_us(waiter, 1, START_US)
    assert waits_us[1_000_000] == 2 * CHEAP_US
    assert waits_us[0] >= COSTLY_US + 2 * CHEAP_US


def test_digest_carries_costs_and_slowness_to_the_next_broker() -> None:
    broker = learned_broker()
    for record_ in broker.records.values():
        record_.is_tried = True
    follower = create_broker(2)
    follower.merge_evidence(broker.digest(START_US), START_US)
    assert follower.costs.is_active
    assert follower.costs.slowness('t0') == pytest.approx(
        broker.costs.slowness('t0'), rel=0.01
    )
    assert follower.costs.digest()[0].mean_us > CHEAP_US


def test_digest_of_a_service_with_equal_requests_stays_as_it_was() -> None:
    """Messages grow only where estimates are called for."""
    broker = create_broker(1)
    record(broker.costs, 1, CHEAP_US, 100)
    broker.records['t0'].is_tried = True
    digest = broker.digest(START_US)
    assert not digest.costs
    assert not digest.entries[0].slowness_permille


def test_remaining_work_is_corrected_for_requests_that_run_long() -> None:
    load = TargetLoad()
    load.add(('h1', 1), CostEstimate(CHEAP_US, 10_000, 0, 0), START_US)
    remaining_us = [
        load.remaining_us(START_US + run_us)
        for run_us in (0, 20_000, CHEAP_US, 3 * CHEAP_US)
    ]
    assert remaining_us == [CHEAP_US, 44_000, 10_000, 3 * CHEAP_US]
