"""Operators' coverage floor over a whole fleet, by what targets receive."""

from __future__ import annotations

import asyncio

import pytest

from foxtailreach.tests.dispatch.fleet_replay import (
    FleetLoad,
    FleetReplay,
    Script,
    replay_fleet,
)

# A service of 82 targets behind 60 hosts.
LOAD = FleetLoad(
    hosts=60,
    targets=82,
    rate_per_s=300,
    is_limited=False,
    seconds=16,
    failing_share=0.75,
)


async def lose_hosts(replay: FleetReplay) -> None:
    """Kill 30% of the hosts at once, with their requests in flight."""
    await asyncio.sleep(4)
    count = int(0.3 * len(replay.hosts))
    lost = replay.rng.sample(sorted(replay.hosts), count)
    await asyncio.gather(*(replay.kill(host_id, 3.5) for host_id in lost))


@pytest.mark.parametrize(
    ('script', 'seed'),
    [(None, 0), (lose_hosts, 6), (lose_hosts, 7), (lose_hosts, 8)],
    ids=['calm', 'lost-hosts-6', 'lost-hosts', 'lost-hosts-8'],
)
def test_loss_of_hosts_leaves_most_healthy_targets_in_use(
    script: Script | None,
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """At least 0.7 of them, while a tenth to a half is not served."""
    replay = replay_fleet(LOAD, seed, monkeypatch, script)
    assert not replay.floor_violations()
