"""Coverage of the targets while callers leave and hosts are lost."""

from __future__ import annotations

import statistics

import pytest

from foxtailreach.core.dispatch.cover import CoverageScope
from foxtailreach.core.units import SECOND_US
from foxtailreach.tests.dispatch.fixtures import (
    START_US,
    create_broker,
    slot_request,
)
from foxtailreach.tests.dispatch.host_loss_replay import (
    HostLossLoad,
    replay_host_loss,
)

SEEDS = range(6)
TARGETS = 4
FAILING_OFTEN_S = 2.7
FAILING_RARELY_S = 0.9


@pytest.mark.parametrize('is_broker_lost', [False, True], ids=['kept', 'lost'])
@pytest.mark.parametrize('failing_s', [FAILING_OFTEN_S, FAILING_RARELY_S])
@pytest.mark.parametrize('requests_per_s', [165, 140, 110])
def test_lost_hosts_and_leaving_callers_uncover_targets(
    requests_per_s: float, failing_s: float, *, is_broker_lost: bool
) -> None:
    """No report tells the broker that requests fail at lost hosts.

    Operators require 0.7 of the healthy targets in use while over a tenth of
    the requests is not served. The broker only estimates which targets are
    healthy, so one window in 200 may violate the floor.
    """
    load = HostLossLoad(
        requests_per_s=requests_per_s,
        failing_s=failing_s,
        is_broker_lost=is_broker_lost,
    )
    violations = [
        replay_host_loss(load, seed).violations(seed) for seed in SEEDS
    ]
    assert statistics.mean(violations) <= 0.005


@pytest.mark.parametrize(
    ('requests', 'scope'),
    [
        (0, CoverageScope.NONE),
        (4, CoverageScope.WHOLE),
        (7, CoverageScope.ANY_PART),
    ],
)
def test_requests_whose_outcome_is_unknown_count_for_the_coverage(
    requests: int, scope: CoverageScope
) -> None:
    """Their callers have left, or their hosts are lost."""
    broker = create_broker(TARGETS)
    now_us = START_US + 2 * SECOND_US
    for ask_id in range(requests):
        broker.request_slot('h1', 'd1', slot_request(ask_id), now_us)
        broker.cancel('h1', ask_id, now_us)
    assert broker.coverage(now_us).scope is scope
