"""Order, immediate refusal and bound of the queue of a broker."""

from __future__ import annotations

import random
import time

import pytest

from foxtailreach.core.dispatch import wait_queue
from foxtailreach.core.dispatch.messages import RefusalCause, SendOutcome
from foxtailreach.core.dispatch.refusals import count_room
from foxtailreach.core.dispatch.wait_queue import WaitQueue
from foxtailreach.core.dispatch.waiter import Waiter
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.tests.dispatch.fixtures import (
    START_US,
    create_broker,
    grants,
    refusals,
    slot_report,
    slot_request,
)

WORK_US = 200 * MILLISECOND_US


def enqueue(
    queue: WaitQueue,
    ask_id: int,
    now_us: int = START_US,
    work_us: int = WORK_US,
    **changes: object,
) -> Waiter:
    """Queue a request of host h1."""
    request = slot_request(ask_id, **changes)
    waiter = queue.prepare('h1', 'd1', request, work_us, now_us)
    queue.add(waiter, now_us)
    return waiter


def order(queue: WaitQueue, now_us: int = START_US) -> list[int]:
    """Return the `ask_id` of the queued requests as they are served."""
    return [waiter.slot_request.ask_id for waiter in queue.ordered(now_us)]


@pytest.mark.parametrize('seed', range(5))
def test_one_customer_is_served_as_without_shares(seed: int) -> None:
    """Guards the order by surplus, lateness, priority and age."""
    rng = random.Random(seed)
    queue = WaitQueue(START_US)
    waiters = {}
    for ask_id in range(300):
        waiters[ask_id] = enqueue(
            queue,
            ask_id,
            START_US + ask_id * MILLISECOND_US,
            priority=rng.randrange(3),
            is_surplus=rng.random() < 0.2,
            objective_left_us=rng.randrange(0, 900) * MILLISECOND_US,
        )
        if rng.random() < 0.3:
            removed = rng.choice(list(waiters))
            waiters.pop(removed)
            assert queue.remove('h1', removed, START_US)
    now_us = START_US + 500 * MILLISECOND_US

    def rank(ask_id: int) -> tuple[bool, bool, int, int]:
        waiter = waiters[ask_id]
        request = waiter.slot_request
        objective_us = waiter.enqueued_us + request.objective_left_us
        is_late = now_us + WORK_US > objective_us
        return request.is_surplus, is_late, request.priority, ask_id

    assert order(queue, now_us) == sorted(waiters, key=rank)
    assert queue.work_us == len(waiters) * WORK_US


def test_request_beyond_the_bound_displaces_none_of_higher_rank(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against memory that grows with the callers."""
    monkeypatch.setattr(wait_queue, 'MAX_WAITERS', 3)
    queue = WaitQueue(START_US)
    for ask_id, priority in enumerate((1, 2, 1, 0, 2)):
        enqueue(queue, ask_id, START_US + ask_id, priority=priority)
        excess = queue.pop_excess(START_US + ask_id)
        assert len(queue) <= 3
        assert all(waiter.slot_request.priority == 2 for waiter in excess)
    assert order(queue) == [3, 0, 2]


@pytest.mark.parametrize(
    ('room', 'refused'),
    [(8, set()), (4, {8, 9}), (0, set())],
    ids=['enough', 'half', 'none known'],
)
def test_lost_targets_make_the_last_requests_hopeless(
    room: int, refused: set[int]
) -> None:
    """Guards against requests that wait in vain until their deadline."""
    queue = WaitQueue(START_US)
    for ask_id in range(10):
        left_us = 3 * WORK_US + 20
        enqueue(queue, ask_id, START_US + ask_id, time_left_us=left_us)
    hopeless = queue.pop_hopeless(room, START_US + 10)
    found = {waiter.slot_request.ask_id for waiter in hopeless}
    assert found == refused
    later_us = START_US + 2 * WORK_US + 40
    assert len(queue.pop_hopeless(0, later_us)) == 10 - len(found)


def test_request_that_will_be_late_counts_all_work_in_time() -> None:
    """Guards against admitting requests that urgent ones keep waiting."""
    queue = WaitQueue(START_US)
    for ask_id in range(20):
        enqueue(queue, ask_id, priority=2, objective_left_us=10 * SECOND_US)
    for priority_0 in range(20, 24):
        enqueue(queue, priority_0, priority=0)
    request = slot_request(99, priority=0, objective_left_us=WORK_US + 1)
    waiter = queue.prepare('h1', 'd1', request, WORK_US, START_US)
    assert queue.wait_us(waiter, 2, START_US) >= 24 * WORK_US // 2
    enqueue(queue, 100, priority=0)
    request = slot_request(101, priority=0, objective_left_us=10 * SECOND_US)
    waiter = queue.prepare('h1', 'd1', request, WORK_US, START_US)
    assert queue.wait_us(waiter, 2, START_US) == 6 * WORK_US // 2


def test_urgent_requests_that_keep_arriving_leave_less_room() -> None:
    """Guards against requests that wait in vain behind a burst.

    For 3 s, urgent requests take 3 of 4 slots and are served at once.
    """
    queue = WaitQueue(START_US)
    for ask_id in range(45):
        now_us = START_US + ask_id * WORK_US // 3
        enqueue(queue, ask_id, now_us, priority=0)
        assert queue.remove('h1', ask_id, now_us)
    for ask_id in range(100, 110):
        enqueue(queue, ask_id, now_us, objective_left_us=10 * SECOND_US)
    waits_us = []
    for priority in (0, 1):
        request = slot_request(
            99, priority=priority, objective_left_us=10 * SECOND_US
        )
        waiter = queue.prepare('h1', 'd1', request, WORK_US, now_us)
        waits_us.append(queue.wait_us(waiter, 4, now_us))
    assert waits_us[0] == WORK_US // 4
    assert 11 * WORK_US // 2 < waits_us[1] < 22 * WORK_US


def test_slots_of_failing_targets_count_only_as_last_resort() -> None:
    """Three of four targets fail; the queue drains by the slots of the rest."""
    broker = create_broker(4)
    for ask_id in range(4):
        new_effects = broker.request_slot(
            'h1', 'd1', slot_request(ask_id), START_US
        )
        grant = grants(new_effects)[0]
        outcome = SendOutcome.FAILED if ask_id else SendOutcome.SERVED
        broker.report('h1', slot_report(grant, outcome, 1000), START_US + 1000)
    records = broker.records.values()
    failing = [record for record in records if record.ejected_until_us]
    sound = [record for record in records if not record.ejected_until_us]
    now_us = START_US + 2000
    assert count_room(records, WORK_US, now_us) == 2 * len(sound) > 0
    assert count_room(failing, WORK_US, now_us) == 2 * len(failing) > 0


def test_waiting_request_is_refused_as_its_targets_fail() -> None:
    """Guards against refusals that come later than they are known."""
    broker = create_broker(4)
    running = []
    for ask_id in range(20):
        request = slot_request(ask_id, time_left_us=SECOND_US)
        new_effects = broker.request_slot('h1', 'd1', request, START_US)
        running.extend(grants(new_effects))
        assert not refusals(new_effects)
    now_us = START_US + MILLISECOND_US
    by_target = {grant.target_id: grant for grant in running}
    new_effects = []
    for grant in list(by_target.values())[:3]:
        report = slot_report(grant, SendOutcome.FAILED, 1000)
        new_effects += broker.report('h1', report, now_us)
    new_effects += broker.tick(now_us)
    refused = refusals(new_effects)
    assert len(refused) >= 4
    assert {refusal.cause for refusal in refused} == {RefusalCause.OVERLOAD}


@pytest.mark.parametrize('customers', [1, 20, 4096])
def test_step_of_a_long_queue_takes_under_a_millisecond(customers: int) -> None:
    """Guards against steps that visit all waiting requests.

    The median over 200 steps does not depend on other load of the machine
    much; the bound is several times what was measured.
    """
    queue = WaitQueue(START_US)
    for ask_id in range(wait_queue.MAX_WAITERS):
        enqueue(
            queue,
            ask_id,
            START_US + ask_id,
            customer=f'c{ask_id % customers}',
            time_left_us=3600 * SECOND_US,
            objective_left_us=3000 * SECOND_US,
        )
    now_us = START_US + wait_queue.MAX_WAITERS
    times_s = []
    for ask_id in range(5000, 5200):
        started_s = time.process_time()
        waiter = next(queue.ordered(now_us))
        request = waiter.slot_request
        queue.start(waiter, now_us)
        arrived = slot_request(ask_id, customer=request.customer)
        new = queue.prepare('h1', 'd1', arrived, WORK_US, now_us)
        queue.is_hopeless(new, 40, now_us)
        queue.add(new, now_us)
        queue.pop_excess(now_us)
        times_s.append(time.process_time() - started_s)
    assert sorted(times_s)[100] < 0.001, sorted(times_s)[100]
