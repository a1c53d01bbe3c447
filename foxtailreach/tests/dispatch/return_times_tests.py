"""When refused callers return, and who bears the cost of an overload."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from foxtailreach.core.dispatch.return_times import (
    MAX_RETRY_AFTER_US,
    MIN_RETRY_AFTER_US,
    ReturnRequest,
    ReturnSchedule,
)
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.tests.dispatch.fixtures import START_US
from foxtailreach.tests.dispatch.overload_replay import (
    CUSTOMERS,
    Overload,
    OverloadReplay,
)

WORK_US = 100 * MILLISECOND_US
REQUEST = ReturnRequest(
    rank=(False, 1),
    work_us=WORK_US,
    wait_us=0,
    time_left_us=15 * SECOND_US,
    room=10,
    room_left=10,
)


def places(
    requests: list[ReturnRequest], interval_us: int = MILLISECOND_US
) -> list[int]:
    """Return when each caller returns; they are refused one by one."""
    schedule = ReturnSchedule(random.Random(1))
    result = []
    for number, request in enumerate(requests):
        now_us = START_US + number * interval_us
        result.append(now_us + schedule.place(request, now_us))
    return result


@pytest.mark.parametrize(
    'request_',
    [REQUEST, replace(REQUEST, room_left=0), replace(REQUEST, work_us=900_000)],
    ids=['plain', 'no room left', 'large'],
)
def test_no_second_has_more_returns_than_capacity(
    request_: ReturnRequest,
) -> None:
    """Guards against callers that return together and are refused again.

    Those that are told more than a third of their time do not return.
    """
    request_ = replace(request_, time_left_us=12 * SECOND_US)
    returned = places([request_] * 300)
    honored = [
        at_us
        for number, at_us in enumerate(returned)
        if at_us <= START_US + number * MILLISECOND_US + request_.patience_us
    ]
    assert honored
    starts = [START_US + number * 50_000 for number in range(130)]
    per_second = Counter(
        start_us
        for start_us in starts
        for at_us in honored
        if start_us <= at_us < start_us + SECOND_US
    )
    slots = max(request_.room_left, 0.25 * request_.room)
    most_work_us = max(per_second.values()) * request_.work_us
    assert most_work_us <= slots * 1.2 * SECOND_US + request_.work_us


@pytest.mark.parametrize('seed', range(3))
def test_caller_refused_first_returns_first(seed: int) -> None:
    """Guards against callers that are overtaken by those refused later.

    The work ahead shrinks and grows meanwhile.
    """
    rng = random.Random(seed)
    requests = [
        replace(
            REQUEST,
            rank=(False, rng.randrange(2)),
            wait_us=rng.randrange(SECOND_US),
            work_us=rng.choice((20_000, 100_000, 400_000)),
            room=rng.choice((4, 20)),
        )
        for _ in range(40)
    ]
    returned = places(requests)
    for priority in (0, 1):
        same_rank = [
            at_us
            for request, at_us in zip(requests, returned, strict=True)
            if request.rank == (False, priority)
        ]
        assert same_rank == sorted(same_rank)


@pytest.mark.parametrize(
    ('changes', 'shortest_us', 'longest_us'),
    [
        ({}, MIN_RETRY_AFTER_US, 300_000),
        ({'wait_us': 2 * SECOND_US}, 2 * SECOND_US, 2_100_000),
        # It can be served after a third of its time, though others wait then.
        (
            {'wait_us': 2 * SECOND_US, 'time_left_us': 3 * SECOND_US},
            900_000,
            SECOND_US,
        ),
        # It cannot be served if it returns at that time.
        (
            {'wait_us': 4 * SECOND_US, 'time_left_us': 3 * SECOND_US},
            4 * SECOND_US,
            4_100_000,
        ),
        ({'time_left_us': 0}, MIN_RETRY_AFTER_US, 300_000),
        (
            {'wait_us': 60 * SECOND_US, 'time_left_us': 90 * SECOND_US},
            4500 * MILLISECOND_US,
            MAX_RETRY_AFTER_US,
        ),
    ],
    ids=['idle', 'drains', 'patience', 'no use', 'no time', 'longest'],
)
def test_retry_after_is_within_its_bounds(
    changes: dict[str, int], shortest_us: int, longest_us: int
) -> None:
    request = replace(REQUEST, **changes)  # type: ignore[arg-type]
    delay_us = places([request])[0] - START_US
    assert shortest_us <= delay_us <= longest_us


def test_memory_of_the_schedule_is_bounded() -> None:
    schedule = ReturnSchedule(random.Random(1))
    for number in range(20_000):
        request = replace(REQUEST, rank=(False, number))
        schedule.place(request, START_US + number * 10 * MILLISECOND_US)
    assert len(schedule._reserved) <= 101
    assert len(schedule._last_us) <= 100


@pytest.mark.parametrize('eager_share', [0, 1 / 3], ids=['patient', 'eager'])
@pytest.mark.parametrize('load', [1.2, 2, 4])
def test_overload_is_borne_by_low_ranks_and_busy_customers(
    load: float, eager_share: float
) -> None:
    """Guards against an overload that costs urgent requests their value.

    First come, first served earns less than half as much at these loads.
    """
    result = OverloadReplay(Overload(load, eager_share, duration_s=8), 3).run()
    earned = [result.earned(priority=priority) for priority in range(3)]
    assert earned[0] > 0.97
    if load <= 2:
        assert earned[1] > earned[2]
    assert result.earned() > {1.2: 0.95, 2: 0.77, 4: 0.6}[load]
    assert result.refused_late() < 0.15
    others = result.served(customers=CUSTOMERS[1:])
    assert others >= result.served(customers=CUSTOMERS[:1])


def test_enough_slots_refuse_nothing() -> None:
    """Guards against refusals that cost value without an overload."""
    result = OverloadReplay(Overload(0.8), 3).run()
    assert not result.retry_after_us
    assert result.earned() > 0.99


@pytest.mark.parametrize('load', [2, 4])
def test_customer_whose_callers_do_not_wait_gains_nothing(load: float) -> None:
    """Guards against an incentive to ignore Retry-After."""
    overload = Overload(load, eager_customer='c1')
    replays = [OverloadReplay(overload, seed).run() for seed in range(2)]
    eager = sum(replay.earned(customers=('c1',)) for replay in replays)
    patient = sum(replay.earned(customers=CUSTOMERS[2:]) for replay in replays)
    assert eager <= patient + 0.04
