"""Shares of the slots between customers of the same rank."""

from __future__ import annotations

import random

import pytest

from foxtailreach.core.dispatch.admission_margin import (
    MAX_MARGIN,
    AdmissionMargins,
)
from foxtailreach.core.dispatch.fair_shares import (
    DECAY_US,
    FORGET_AFTER_US,
    MAX_DECAY_TIMES,
    FairShares,
)
from foxtailreach.core.dispatch.wait_queue import WaitQueue
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.tests.dispatch.fixtures import START_US, slot_request

WORK_US = 100 * MILLISECOND_US


def enqueue(
    queue: WaitQueue, ask_id: int, customer: str, now_us: int, priority: int = 1
) -> None:
    """Queue a request of a customer."""
    request = slot_request(
        ask_id,
        customer=customer,
        priority=priority,
        objective_left_us=60 * SECOND_US,
        time_left_us=60 * SECOND_US,
    )
    queue.add(queue.prepare('h1', 'd1', request, WORK_US, now_us), now_us)


def serve_next(queue: WaitQueue, now_us: int) -> str:
    """Serve the first request in one slot; return its customer."""
    waiter = next(queue.ordered(now_us))
    holder = waiter.host_id, waiter.slot_request.ask_id
    queue.start(waiter, now_us)
    queue.finish(holder, now_us + WORK_US)
    return waiter.slot_request.customer


@pytest.mark.parametrize('priority', [0, 1])
def test_busy_customer_delays_only_itself(priority: int) -> None:
    """Guards against one customer that delays the others of its rank.

    It has 80 requests waiting when another one of the same rank sends five.
    """
    queue = WaitQueue(START_US)
    now_us = START_US
    for ask_id in range(80):
        enqueue(queue, ask_id, 'busy', now_us)
    for _ in range(5):
        serve_next(queue, now_us)
        now_us += WORK_US
    for ask_id in range(100, 105):
        enqueue(queue, ask_id, 'other', now_us, priority)
    served = []
    for _ in range(10):
        served.append(serve_next(queue, now_us))
        now_us += WORK_US
    assert served[:5].count('other') >= 4
    assert served.count('other') == 5


def test_priority_goes_before_shares() -> None:
    """Guards against a customer with little use that overtakes all ranks."""
    queue = WaitQueue(START_US)
    for ask_id in range(4):
        enqueue(queue, ask_id, 'busy', START_US, priority=0)
    enqueue(queue, 9, 'other', START_US, priority=1)
    served = [serve_next(queue, START_US + 1) for _ in range(5)]
    assert served == ['busy'] * 4 + ['other']


def test_customers_with_equal_demand_get_equal_shares() -> None:
    """The requests of one take three times as long as expected."""
    queue = WaitQueue(START_US)
    now_us = START_US
    for ask_id in range(400):
        enqueue(queue, ask_id, 'long' if ask_id % 2 else 'short', now_us)
    held_us = {'long': 0, 'short': 0}
    for _ in range(200):
        waiter = next(queue.ordered(now_us))
        customer = waiter.slot_request.customer
        queue.start(waiter, now_us)
        latency_us = WORK_US * (3 if customer == 'long' else 1)
        now_us += latency_us
        held_us[customer] += latency_us
        queue.finish((waiter.host_id, waiter.slot_request.ask_id), now_us)
    assert held_us['long'] == pytest.approx(held_us['short'], rel=0.1)


@pytest.mark.parametrize('is_running', [True, False])
def test_idle_customers_are_forgotten(
    is_running: bool,  # noqa: FBT001
) -> None:
    """Guards against memory that grows with the number of customers."""
    queue = WaitQueue(START_US)
    for index in range(1000):
        enqueue(queue, index, f'c{index}', START_US)
        waiter = next(queue.ordered(START_US))
        queue.start(waiter, START_US)
        if not is_running:
            queue.finish(('h1', index), START_US)
    queue.tick(START_US + FORGET_AFTER_US)
    assert len(queue.shares) == (1000 if is_running else 0)


def test_order_is_kept_as_the_stored_use_is_scaled_back() -> None:
    """Guards against an overflow after hours with customers that stay."""
    queue = WaitQueue(START_US)
    now_us = START_US + MAX_DECAY_TIMES * DECAY_US - 1
    for number, customer in enumerate(('a', 'b', 'c', 'b', 'c', 'c')):
        enqueue(queue, number, customer, now_us)
        queue.start(next(queue.ordered(now_us)), now_us)
    for number, customer in enumerate('cba', start=10):
        enqueue(queue, number, customer, now_us)
    shares = [queue.shares.share(customer) for customer in 'abc']
    queue.tick(now_us + 1)
    order = [
        waiter.slot_request.customer for waiter in queue.ordered(now_us + 1)
    ]
    assert order == ['a', 'b', 'c']
    assert [
        queue.shares.share(customer) for customer in 'abc'
    ] == pytest.approx(shares)
    assert queue.shares.weight(now_us + 1) == pytest.approx(1)


def test_long_pause_of_the_process_is_survived() -> None:
    """Guards against an overflow before the next tick, which ends a host."""
    queue = WaitQueue(START_US)
    enqueue(queue, 1, 'a', START_US)
    queue.start(next(queue.ordered(START_US)), START_US)
    now_us = START_US + 24 * 3600 * SECOND_US
    enqueue(queue, 2, 'b', now_us)
    assert serve_next(queue, now_us) == 'b'
    queue.finish(('h1', 1), now_us)
    queue.tick(now_us)
    assert 0 <= queue.shares.share('a') <= 1


@pytest.mark.parametrize('seed', range(3))
def test_expected_work_ahead_is_that_which_is_served_first(seed: int) -> None:
    """Guards the estimate that refusals rest on."""
    rng = random.Random(seed)
    queue = WaitQueue(START_US)
    for number in range(60):
        enqueue(queue, number, rng.choice('aaaabcd'), START_US)
    now_us = START_US + SECOND_US
    for _ in range(20):
        queue.start(next(queue.ordered(now_us)), now_us)
    for number in range(100, 130):
        enqueue(queue, number, rng.choice('aaaabcd'), now_us)
    enqueue(queue, 999, 'd', now_us)
    waiters = list(queue.ordered(now_us))
    last = next(
        waiter for waiter in waiters if waiter.slot_request.ask_id == 999
    )
    expected_us = queue.drain_us(last, 1, now_us) - WORK_US
    served_us = 0
    while (waiter := next(queue.ordered(now_us))) is not last:
        queue.start(waiter, now_us)
        served_us += waiter.work_us
    assert abs(served_us - expected_us) <= 4 * WORK_US


def test_share_is_that_of_recent_use() -> None:
    shares = FairShares(START_US)
    shares.start(('h1', 1), 'a', 3 * WORK_US, START_US)
    shares.start(('h1', 2), 'b', WORK_US, START_US)
    assert shares.share('a') == pytest.approx(0.75)
    shares.finish(('h1', 1), START_US + WORK_US)
    assert shares.share('a') < 0.55
    assert shares.finish(('h1', 9), START_US) is None


def test_margin_follows_late_refusals_and_falls_by_itself() -> None:
    """Guards against requests that are refused for ever after one burst."""
    margins = AdmissionMargins()
    key = (False, 2, 'a')
    for _ in range(20):
        margins.record_refused(key, START_US)
    assert margins.factor(key, START_US) == MAX_MARGIN
    assert margins.factor((False, 2, 'b'), START_US) == 1
    assert margins.factor(key, START_US + 8 * SECOND_US) < 1.3
    for _ in range(20):
        margins.record_granted(key, START_US)
    assert margins.factor(key, START_US) < 0.6 * MAX_MARGIN
    margins.forget(START_US + 10 * SECOND_US)
    assert margins.factor(key, START_US) == 1
