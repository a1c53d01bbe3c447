"""One pool: verdicts, the floor, fairness, crashes and slow targets."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from foxtailreach.config.objects import Service
from foxtailreach.core import effects, messages
from foxtailreach.core.events import AttemptOutcome
from foxtailreach.core.pool.ejection import floor_targets, healthy_targets
from foxtailreach.core.pool.owner import PoolOwner
from foxtailreach.core.pool.targets import TargetStatus
from foxtailreach.core.verdict import Reason, Verdict
from foxtailreach.tests.core.pool_machine_tests import (
    build_handoff,
    build_owner,
    build_target,
)

SECOND_US = 1_000_000
SHEDDING = Service(shed_statuses=(503,))


def start_of(new_effects: list[effects.Effect]) -> effects.StartAttempt:
    starts = [
        new_effect
        for new_effect in new_effects
        if isinstance(new_effect, effects.StartAttempt)
    ]
    assert len(starts) == 1
    return starts[0]


def result_of(new_effects: list[effects.Effect]) -> messages.HandoffResult:
    results = [
        new_effect.message
        for new_effect in new_effects
        if isinstance(new_effect, effects.SendPeer)
        and isinstance(new_effect.message, messages.HandoffResult)
    ]
    assert len(results) == 1
    return results[0]


def test_lost_attempt_followed_by_a_shed_is_not_reported_as_not_run() -> None:
    owner = build_owner(SHEDDING, ['a', 'b'])
    first = start_of(owner.submit(build_handoff(1), 0))
    new_effects = owner.attempt_ended(
        first.attempt_id,
        AttemptOutcome.CONNECTION_LOST,
        10,
        was_sent=True,
    )
    second = start_of(new_effects)
    assert second.target != first.target
    owner.attempt_head(second.attempt_id, 503, 20)
    new_effects = owner.attempt_ended(
        second.attempt_id,
        AttemptOutcome.CANCELLED,
        20,
        was_sent=True,
    )
    assert result_of(new_effects).verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    ('method', 'outcome', 'was_sent', 'verdict'),
    [
        ('POST', AttemptOutcome.CONNECTION_LOST, True, Verdict.MAY_HAVE_RUN),
        ('POST', AttemptOutcome.TIMEOUT, True, Verdict.MAY_HAVE_RUN),
        ('POST', AttemptOutcome.CONNECT_FAILED, False, Verdict.NOT_RUN),
        ('GET', AttemptOutcome.CONNECT_FAILED, False, Verdict.NOT_RUN),
    ],
)
def test_verdict_of_a_failed_attempt_without_alternative(
    method: str,
    outcome: AttemptOutcome,
    was_sent: bool,
    verdict: Verdict,
) -> None:
    owner = build_owner(Service(), ['only'])
    start = start_of(owner.submit(build_handoff(1, method=method), 0))
    new_effects = owner.attempt_ended(
        start.attempt_id, outcome, 5, was_sent=was_sent
    )
    assert result_of(new_effects).verdict is verdict


def test_draining_below_the_floor_restores_an_ejected_target() -> None:
    names = ['a', 'b', 'c', 'd']
    owner = build_owner(Service(floor_percent=50), names)
    for name in ('a', 'b'):
        owner.targets[name].eject(0)
    targets = {name: build_target() for name in ('a', 'b', 'c')}
    owner.update_targets(owner.service, targets, 10)
    owner.tick(200_000)
    floor = floor_targets(owner.targets, owner.service)
    assert healthy_targets(owner.targets) == floor == 2


def test_request_that_crashes_targets_is_refused_after_two() -> None:
    owner = build_owner(Service(), ['a', 'b', 'c', 'd'])
    crashes = 0
    for number in range(1, 6):
        handoff = build_handoff(7, method='GET')
        new_effects = owner.submit(handoff, number)
        while any(
            isinstance(new_effect, effects.StartAttempt)
            for new_effect in new_effects
        ):
            crashes += 1
            new_effects = owner.attempt_ended(
                start_of(new_effects).attempt_id,
                AttemptOutcome.CONNECTION_LOST,
                number,
                was_sent=True,
            )
    assert crashes == 2
    assert result_of(new_effects).reason is Reason.QUARANTINED
    assert start_of(owner.submit(build_handoff(8), 10))


def test_success_withdraws_a_crash_report() -> None:
    owner = build_owner(Service(), ['a', 'b', 'c', 'd'])
    for _ in range(5):
        start = start_of(owner.submit(build_handoff(7), 0))
        retry = start_of(
            owner.attempt_ended(
                start.attempt_id,
                AttemptOutcome.CONNECTION_LOST,
                5,
                was_sent=True,
            ),
        )
        owner.attempt_head(retry.attempt_id, 200, 6)
        owner.attempt_ended(
            retry.attempt_id,
            AttemptOutcome.COMPLETE,
            6,
            was_sent=True,
        )
    assert start_of(owner.submit(build_handoff(7), 10))


@pytest.mark.parametrize('rate_factor', [5, 20])
def test_queue_serves_customers_by_weight(rate_factor: int) -> None:
    owner = build_owner(Service(max_queue_ms=60_000), ['a'])
    number = 0
    for _ in range(4):
        for customer, count in (('greedy', rate_factor), ('modest', 1)):
            for _ in range(count):
                number += 1
                handoff = build_handoff(number, customer)
                owner.submit(handoff, 0)
    assert owner.queued >= 8
    served = []
    attempt_id = 1
    for _ in range(8):
        owner.attempt_head(attempt_id, 200, 0)
        new_effects = owner.attempt_ended(
            attempt_id,
            AttemptOutcome.COMPLETE,
            0,
            was_sent=True,
        )
        start = start_of(new_effects)
        attempt_id = start.attempt_id
        served.append(start.customer)
    assert served.count('modest') >= 3


SERVICE_TIMES: dict[str, Callable[[random.Random], float]] = {
    'exponential': lambda rng: rng.expovariate(1 / 20_000),
    'lognormal': lambda rng: rng.lognormvariate(9.2, 1.2),
    'pareto': lambda rng: min(1_000_000, 8000 * rng.paretovariate(1.8)),
}


def drive_pool(
    owner: PoolOwner,
    service_time: str,
    seconds: int,
    slow: dict[str, float],
    pool_factor: float = 1,
    seed: int = 1,
) -> list[tuple[int, str]]:
    """Keep 0.9 of the pool's slots busy; return the ejections.

    `slow` maps targets to factors of their service time. `pool_factor`
    applies to all targets in the second half of the run.
    """
    rng = random.Random(seed)
    draw = SERVICE_TIMES[service_time]
    ejections = []
    running: list[tuple[int, int]] = []
    number = 0
    now_us = 0
    busy = max(1, int(0.9 * 2 * len(owner.targets)))
    next_tick_us = 0

    def start_attempts(new_effects: list[effects.Effect]) -> None:
        for effect in new_effects:
            if isinstance(effect, effects.StartAttempt):
                factor = slow.get(effect.target, 1)
                if now_us > seconds * SECOND_US // 2:
                    factor *= pool_factor
                end_us = now_us + int(draw(rng) * factor) + 1
                running.append((end_us, effect.attempt_id))
            elif isinstance(effect, effects.Note):
                ejections.append((now_us, effect.subject))

    while now_us < seconds * SECOND_US:
        for _ in range(busy - len(running) - owner.queued):
            number += 1
            start_attempts(owner.submit(build_handoff(number), now_us))
        running.sort()
        ends = [end_us for end_us, _ in running]
        now_us = min([*ends, next_tick_us])
        if now_us == next_tick_us:
            next_tick_us += 20_000
            start_attempts(owner.tick(now_us))
            continue
        _, attempt_id = running.pop(0)
        owner.attempt_head(attempt_id, 200, now_us)
        new_effects = owner.attempt_ended(
            attempt_id,
            AttemptOutcome.COMPLETE,
            now_us,
            was_sent=True,
        )
        start_attempts(new_effects)
    return ejections


@pytest.mark.parametrize('service_time', sorted(SERVICE_TIMES))
@pytest.mark.parametrize('pool_factor', [1, 10])
def test_no_healthy_target_is_ejected(
    service_time: str,
    pool_factor: float,
) -> None:
    owner = build_owner(Service(), ['a', 'b', 'c', 'd'])
    ejections = drive_pool(owner, service_time, 20, {}, pool_factor)
    assert not ejections


def test_slow_target_is_ejected_and_its_status_shows_it() -> None:
    owner = build_owner(Service(), ['a', 'b', 'c', 'd'])
    ejections = drive_pool(owner, 'exponential', 8, {'b': 10})
    assert ejections
    assert {name for _, name in ejections} == {'b'}
    assert owner.targets['b'].status is not TargetStatus.HEALTHY
