"""The retry budget of a service over a whole fleet."""

from __future__ import annotations

import asyncio

import pytest

from foxtailreach.core.dispatch.deployment import RequestKind
from foxtailreach.core.dispatch.pools import Pool
from foxtailreach.tests.dispatch.fleet_replay import (
    FleetLoad,
    FleetReplay,
    Script,
    replay_fleet,
)

# Most targets fail, so that most requests need a retry.
LOAD = FleetLoad(
    hosts=10,
    targets=30,
    rate_per_s=60,
    is_limited=False,
    kind=RequestKind.IDEMPOTENT,
    failing_share=0.95,
    mean_healthy_s=3.6,
    mean_failing_s=8.4,
)


async def kill_brokers(replay: FleetReplay) -> None:
    """Kill the broker six times, with a pause of 0.4 s."""
    for _ in range(6):
        await asyncio.sleep(0.4)
        host = next(iter(replay.hosts.values()))
        brokers = host.node.broker_hosts(Pool('svc'), replay.now_us())
        await replay.kill(brokers[0], 1.2)


@pytest.mark.parametrize('seed', [1, 2, 3, 4, 5])
@pytest.mark.parametrize(
    'script',
    [None, kill_brokers],
    ids=['lossy', 'killed-brokers'],
)
def test_second_broker_does_not_renew_the_retry_budget(
    script: Script | None,
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Hosts that miss an answer, or lose the broker, go to the next one."""
    replay = replay_fleet(LOAD, seed, monkeypatch, script)
    assert replay.most_retries_over_budget() <= 0
