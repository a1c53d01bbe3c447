"""The limit of a customer over the whole fleet, by what targets receive.

In every window of the limit, targets receive no more than the limit and its
tolerance. A customer within its limit is hardly ever refused.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from foxtailreach.core.dispatch.deployment import RequestKind
from foxtailreach.core.units import MILLISECOND_US
from foxtailreach.tests.dispatch.fleet_replay import (
    FleetLoad,
    FleetReplay,
    Script,
    replay_fleet,
)

SMALL = FleetLoad(hosts=10)
LARGE = FleetLoad(hosts=110, targets=60)
# Shares of requests that may be refused by the limit. A customer at 1.2 times
# its rate is owed 1 / 1.2 of its requests.
REFUSED_AT_MOST = {0.9: 0.005, 1.2: 0.17}
REFUSED_WHILE_DISTURBED = {0.9: 0.03, 1.2: 0.17}


async def pause_meter_hosts(replay: FleetReplay) -> None:
    """Pause the first host in rank, then the second, for 0.4 s each."""
    for turn in range(8):
        await asyncio.sleep(2)
        await replay.pause(replay.meter_host(turn % 2), 0.4)


async def kill_meter_hosts(replay: FleetReplay) -> None:
    """Kill the host that meters the customer every 4 s."""
    for _ in range(4):
        await asyncio.sleep(1.5)
        await replay.kill(replay.meter_host(), 2.5)


async def kill_pausing_hosts(replay: FleetReplay) -> None:
    """Pause the first host in rank; kill the second when it continues."""
    for _ in range(4):
        await asyncio.sleep(1)
        second = replay.meter_host(1)
        await replay.pause(replay.meter_host(), 2)
        await replay.kill(second, 1.5)


async def hold_back_requests(replay: FleetReplay) -> None:
    """Keep all targets busy for 1.5 s, three times."""
    for _ in range(3):
        await asyncio.sleep(4)
        replay.stalled_until_us = replay.now_us() + 1500 * MILLISECOND_US


@pytest.mark.parametrize(
    ('load', 'script'),
    [
        (SMALL, None),
        (LARGE, None),
        (SMALL, pause_meter_hosts),
        (SMALL, kill_meter_hosts),
        (SMALL, kill_pausing_hosts),
        (LARGE, pause_meter_hosts),
        (LARGE, kill_meter_hosts),
        (replace(SMALL, targets=6), hold_back_requests),
        (replace(SMALL, kind=RequestKind.IDEMPOTENT, failing_share=0.75), None),
        (replace(SMALL, rate_per_s=60, burst_requests=60, slots=9), None),
        (
            replace(SMALL, rate_per_s=60, burst_requests=60, slots=9),
            kill_meter_hosts,
        ),
    ],
    ids=[
        'lossy-10',
        'lossy-110',
        'paused-10',
        'killed-10',
        'paused-and-killed-10',
        'paused-110',
        'killed-110',
        'held-back-10',
        'retried-10',
        'large-customer-10',
        'large-customer-killed-10',
    ],
)
def test_second_meter_lets_no_window_exceed_the_limit(
    load: FleetLoad,
    script: Script | None,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Hosts that miss an answer must not meter the customer apart."""
    load = replace(load, demand=5)
    replay = replay_fleet(load, 1, monkeypatch, script)
    assert replay.most_arrivals_in_window() <= load.allowed_requests
    sent_s = load.seconds - 6
    if script is None:
        assert len(replay.arrivals) >= load.rate_per_s * sent_s


@pytest.mark.parametrize('demand', [0.9, 1.2])
@pytest.mark.parametrize(
    ('load', 'script', 'bounds'),
    [
        (SMALL, None, REFUSED_AT_MOST),
        (LARGE, None, REFUSED_AT_MOST),
        (SMALL, pause_meter_hosts, REFUSED_WHILE_DISTURBED),
        (SMALL, kill_meter_hosts, REFUSED_WHILE_DISTURBED),
        (LARGE, kill_meter_hosts, REFUSED_WHILE_DISTURBED),
    ],
    ids=['lossy-10', 'lossy-110', 'paused-10', 'killed-10', 'killed-110'],
)
def test_customer_near_its_limit_is_hardly_ever_refused(
    load: FleetLoad,
    script: Script | None,
    bounds: dict[float, float],
    demand: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    replay = replay_fleet(replace(load, demand=demand), 1, monkeypatch, script)
    refused = replay.share_of('over-limit', 'limit-unavailable')
    assert refused <= bounds[demand]
    assert replay.most_arrivals_in_window() <= load.allowed_requests
