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
    DOMAINS,
    SETTLE_S,
    FleetLoad,
    FleetReplay,
    Script,
    replay_fleet,
)

SMALL = FleetLoad(hosts=10)
LARGE = FleetLoad(hosts=110, targets=60)
LARGE_CUSTOMER = replace(SMALL, rate_per_s=60, burst_requests=60, slots=9)

# Shorter than the time in which a lost host is noticed.
QUICK_RESTART_S = 0.3


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


async def restart_meter_hosts(replay: FleetReplay) -> None:
    """Restart the host that meters the customer, one after the other."""
    for _ in range(7):
        await asyncio.sleep(0.5)
        await replay.restart(replay.meter_host())


async def kill_half_of_the_hosts(replay: FleetReplay) -> None:
    """Kill every second host at once, twice."""
    for _ in range(2):
        await asyncio.sleep(6)
        killed = sorted(replay.hosts)[::2]
        await asyncio.gather(*(replay.kill(host_id, 2) for host_id in killed))


async def cut_off_a_domain(replay: FleetReplay) -> None:
    """Cut the hosts of one failure domain off from all others, twice."""
    for domain in DOMAINS[:2]:
        await asyncio.sleep(3)
        replay.partitions = {
            entry.host_id: 1
            for entry in replay.entries
            if entry.domain == domain
        }
        await asyncio.sleep(6)
        replay.partitions = {}


async def isolate_hosts(replay: FleetReplay) -> None:
    """Cut a third of the hosts off from each other, for 8 s."""
    await asyncio.sleep(4)
    replay.partitions = {
        entry.host_id: index
        for index, entry in enumerate(replay.entries[::3], start=1)
    }
    await asyncio.sleep(8)
    replay.partitions = {}


async def hold_back_requests(replay: FleetReplay) -> None:
    """Keep all targets busy for 1.5 s, three times."""
    for _ in range(3):
        await asyncio.sleep(4)
        replay.stalled_until_us = replay.now_us() + 1500 * MILLISECOND_US


async def kill_first_host_for_a_moment(replay: FleetReplay) -> None:
    """Kill the host that meters a customer which just sent its burst.

    Its next process starts before anyone has noticed.
    """
    await asyncio.sleep(1.5)
    await replay.kill(replay.meter_host(), QUICK_RESTART_S)


async def kill_second_host_for_a_moment(replay: FleetReplay) -> None:
    """Kill the host that holds the copy, then the one that meters."""
    await asyncio.sleep(0.4)
    await replay.kill(replay.meter_host(1), QUICK_RESTART_S)
    await asyncio.sleep(1)
    await replay.kill(replay.meter_host(), 2.5)


async def kill_first_hosts_in_turn_for_a_moment(replay: FleetReplay) -> None:
    """Restart both hosts that hold the meter, one a second after the other."""
    for turn in range(8):
        await asyncio.sleep(1)
        await replay.kill(replay.meter_host(turn % 2), QUICK_RESTART_S)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(
    'script',
    [
        kill_first_host_for_a_moment,
        kill_second_host_for_a_moment,
        kill_first_hosts_in_turn_for_a_moment,
    ],
)
def test_process_that_is_back_unnoticed_learns_of_the_window(
    script: Script, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a limit admitted twice after a quick restart (review 3).

    The host ranks as before, but its process knows no admissions.
    """
    load = replace(SMALL, demand=5, seconds=16)
    replay = replay_fleet(load, seed, monkeypatch, script)
    assert replay.most_arrivals_in_window() <= load.allowed_requests


async def kill_both_hosts_for_a_moment(replay: FleetReplay) -> None:
    """Kill both hosts of a customer which just sent its burst, at once."""
    await asyncio.sleep(1.5)
    holders = replay.meter_host(0), replay.meter_host(1)
    await asyncio.gather(
        *(replay.kill(host_id, QUICK_RESTART_S) for host_id in holders)
    )


@pytest.mark.parametrize('seed', range(3))
def test_limit_holds_after_the_loss_of_both_meters(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a limit admitted twice when no holder knows the window."""
    load = replace(SMALL, demand=5, seconds=16)
    replay = replay_fleet(load, seed, monkeypatch, kill_both_hosts_for_a_moment)
    assert replay.most_arrivals_in_window() <= load.allowed_requests


async def lose_the_meter_after_a_removal(replay: FleetReplay) -> None:
    """Remove the second host, restart the first, and kill it later."""
    await replay.remove(replay.meter_host(1))
    await asyncio.sleep(4)
    first = replay.meter_host()
    await replay.restart(first)
    await asyncio.sleep(8)
    await replay.kill(first, 2.5)


@pytest.mark.parametrize('seed', range(4))
def test_restarted_host_copies_its_meter_to_a_host_that_lives(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against meters copied to a host that has left (review 5).

    The list of hosts names it still, and nobody reports its end again.
    """
    load = replace(SMALL, demand=5)
    replay = replay_fleet(
        load, seed, monkeypatch, lose_the_meter_after_a_removal
    )
    assert replay.most_arrivals_in_window() <= load.allowed_requests


@pytest.mark.parametrize(
    ('load', 'script'),
    [
        (SMALL, None),
        (LARGE, None),
        (SMALL, pause_meter_hosts),
        (SMALL, kill_meter_hosts),
        (SMALL, kill_pausing_hosts),
        (SMALL, restart_meter_hosts),
        (SMALL, kill_half_of_the_hosts),
        (SMALL, cut_off_a_domain),
        (SMALL, isolate_hosts),
        (LARGE, pause_meter_hosts),
        (LARGE, kill_meter_hosts),
        (replace(SMALL, targets=6), hold_back_requests),
        (replace(SMALL, kind=RequestKind.IDEMPOTENT, failing_share=0.75), None),
        (LARGE_CUSTOMER, None),
        (LARGE_CUSTOMER, kill_meter_hosts),
        (LARGE_CUSTOMER, restart_meter_hosts),
        (LARGE_CUSTOMER, cut_off_a_domain),
        (LARGE_CUSTOMER, isolate_hosts),
    ],
    ids=[
        'lossy-10',
        'lossy-110',
        'paused-10',
        'killed-10',
        'paused-and-killed-10',
        'restarted-10',
        'half-killed-10',
        'cut-off-10',
        'isolated-10',
        'paused-110',
        'killed-110',
        'held-back-10',
        'retried-10',
        'large-customer-10',
        'large-customer-killed-10',
        'large-customer-restarted-10',
        'large-customer-cut-off-10',
        'large-customer-isolated-10',
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
    if script is None:
        sent_s = load.seconds - SETTLE_S
        assert len(replay.arrivals) >= load.rate_per_s * sent_s


@pytest.mark.parametrize(
    ('load', 'demand', 'script', 'refused_at_most'),
    [
        (SMALL, 0.9, None, 0.005),
        (LARGE, 0.9, None, 0.005),
        (SMALL, 0.9, pause_meter_hosts, 0.03),
        (SMALL, 0.9, kill_meter_hosts, 0.03),
        (LARGE, 0.9, kill_meter_hosts, 0.03),
        (SMALL, 0.9, restart_meter_hosts, 0.03),
        (SMALL, 0.9, cut_off_a_domain, 0.1),
        # Both meters may be lost: twice 2 s, and 0.5 s to detect it.
        (SMALL, 0.9, kill_half_of_the_hosts, 0.25),
        # A customer at 1.2 times its rate is owed 1 / 1.2 of its requests.
        (SMALL, 1.2, None, 0.17),
        (LARGE, 1.2, None, 0.17),
        (SMALL, 1.2, pause_meter_hosts, 0.17),
        (SMALL, 1.2, kill_meter_hosts, 0.17),
        (LARGE, 1.2, kill_meter_hosts, 0.17),
    ],
    ids=[
        'lossy-10',
        'lossy-110',
        'paused-10',
        'killed-10',
        'killed-110',
        'restarted-10',
        'cut-off-10',
        'half-killed-10',
        'over-lossy-10',
        'over-lossy-110',
        'over-paused-10',
        'over-killed-10',
        'over-killed-110',
    ],
)
def test_customer_near_its_limit_is_hardly_ever_refused(
    load: FleetLoad,
    demand: float,
    script: Script | None,
    refused_at_most: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    load = replace(load, demand=demand)
    replay = replay_fleet(load, 1, monkeypatch, script)
    refused = replay.share_of('over-limit', 'limit-unavailable')
    assert refused <= refused_at_most
    assert replay.most_arrivals_in_window() <= load.allowed_requests
