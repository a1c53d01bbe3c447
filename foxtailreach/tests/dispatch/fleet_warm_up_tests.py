"""The warm-up rate of targets over a whole fleet, by what they receive."""

from __future__ import annotations

import pytest

from foxtailreach.core.units import SECOND_US
from foxtailreach.tests.dispatch.fleet_replay import (
    FleetLoad,
    Script,
    replay_fleet,
)
from foxtailreach.tests.dispatch.fleet_retry_tests import kill_brokers

WARM_UP_RATE_PER_S = 2.6
# Operators' bound on the requests that a target gets in one second of warm-up.
OVERAGE = 1.5
SLACK = 5
LOAD = FleetLoad(
    hosts=10,
    targets=12,
    rate_per_s=80,
    is_limited=False,
    warm_up_rate_per_s=WARM_UP_RATE_PER_S,
    mean_latency_ms=60,
    seconds=16,
)


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize(
    'script', [None, kill_brokers], ids=['lossy', 'killed-brokers']
)
def test_second_broker_does_not_renew_the_warm_up_rate(
    script: Script | None,
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The callers ask for more than twice what the targets may get."""
    replay = replay_fleet(LOAD, seed, monkeypatch, script)
    allowed = WARM_UP_RATE_PER_S * OVERAGE + SLACK
    assert replay.most_arrivals_at_a_target(SECOND_US) <= allowed
    assert replay.arrivals
