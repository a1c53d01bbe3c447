"""How late a host may use a configuration that the store has accepted."""

from __future__ import annotations

import asyncio
import itertools
from functools import partial

import pytest

from foxtailreach.tests.platform.state_replay import (
    CHECK_S,
    DELAY_S,
    DOMAINS,
    Script,
    StateReplay,
    replay_state,
)

# Operators' bound from the store's acknowledgement to the last request that is
# handled by an older version.
APPLY_BOUND_S = 2.0
# The same for a target that drains.
DRAIN_BOUND_S = 2.0
CHANGES = 5
PAUSE_S = 0.18
OUTAGES_S = (1.0, 1.7, 2.4, 3.1, 3.7, 4.3)


async def change_often(replay: StateReplay) -> None:
    """Change the configuration some times in quick succession.

    The target drains as the first change is accepted.
    """
    replay.drain_target()
    for _ in range(CHANGES):
        replay.change()
        await asyncio.sleep(PAUSE_S)


async def calm(replay: StateReplay) -> set[str]:
    """Disturb nothing."""
    await change_often(replay)
    return set()


async def store_was_silent(for_s: float, replay: StateReplay) -> set[str]:
    """Change the configuration once the store answers again."""
    await replay.store.silence(for_s)
    await change_often(replay)
    return set()


async def reader_is_killed(replay: StateReplay) -> set[str]:
    """Kill the reader of a domain as the store accepts a change."""
    reader = replay.reader_of(DOMAINS[0])
    replay.kill(reader)
    await change_often(replay)
    return set()


async def all_readers_are_killed(replay: StateReplay) -> set[str]:
    """Kill the readers of all domains, and the next one of the first."""
    for reader in replay.readers():
        replay.kill(reader)
    others = [
        host_id
        for host_id, host in replay.hosts.items()
        if host.entry.domain == DOMAINS[0]
    ]
    replay.kill(min(others))
    await change_often(replay)
    return set()


async def most_hosts_are_killed(replay: StateReplay) -> set[str]:
    """Kill 60% of the hosts, the readers among them."""
    lost = set(replay.readers())
    others = sorted(replay.hosts.keys() - lost)
    wanted = int(0.6 * len(replay.hosts)) - len(lost)
    lost |= set(replay.rng.sample(others, wanted))
    for host_id in lost:
        replay.kill(host_id)
    await change_often(replay)
    return set()


async def reader_is_cut_off(replay: StateReplay) -> set[str]:
    """Cut the reader of a domain off from the store and from all hosts."""
    reader = replay.reader_of(DOMAINS[0])
    replay.cut_from_all(reader)
    await change_often(replay)
    return {reader}


async def readers_lose_the_store(replay: StateReplay) -> set[str]:
    """Cut two readers off from the store; hosts still reach them."""
    lost = set(replay.readers()[:2])
    for host_id in lost:
        replay.store.cut(host_id)
    await change_often(replay)
    return lost


async def reader_is_refused(replay: StateReplay) -> set[str]:
    """Refuse the calls of one reader."""
    lost = replay.readers()[:1]
    replay.store.refused.update(lost)
    await change_often(replay)
    return set(lost)


async def notices_are_lost(replay: StateReplay) -> set[str]:
    """Lose half of the notices between hosts."""
    replay.lost_notices = 0.5
    await change_often(replay)
    return set()


async def host_is_cut_off_from_hosts(replay: StateReplay) -> set[str]:
    """Cut a host off from all hosts; it still reaches the store."""
    followers = sorted(replay.hosts.keys() - set(replay.readers()))
    replay.isolated.add(followers[0])
    await change_often(replay)
    return set()


async def reader_dies_after_an_outage(replay: StateReplay) -> set[str]:
    """Kill a reader just after the store has answered again."""
    await replay.store.silence(2.4)
    await asyncio.sleep(1.3)
    replay.kill(replay.reader_of(DOMAINS[1]))
    await change_often(replay)
    return set()


def silent_store(for_s: float) -> Script:
    """Return a script with an outage of the store."""
    return partial(store_was_silent, for_s)


DISTURBANCES: list[Script] = [
    calm,
    reader_is_killed,
    all_readers_are_killed,
    most_hosts_are_killed,
    reader_is_cut_off,
    readers_lose_the_store,
    reader_is_refused,
    notices_are_lost,
    host_is_cut_off_from_hosts,
    reader_dies_after_an_outage,
]


@pytest.mark.parametrize(
    ('for_s', 'seed'), list(itertools.product(OUTAGES_S, range(3)))
)
def test_configuration_is_late_after_the_store_was_silent(
    for_s: float, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Seen: a request went by a version that was 2.8 s out of date."""
    replay = replay_state(silent_store(for_s), seed, monkeypatch)
    assert max(replay.delays_s()) <= APPLY_BOUND_S


@pytest.mark.parametrize(
    ('script', 'seed'),
    list(itertools.product(DISTURBANCES, range(2))),
    ids=lambda one: getattr(one, '__name__', str(one)),
)
def test_configuration_is_late_when_hosts_lose_their_reader(
    script: Script, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Hosts in touch with the store use a change within the bound."""
    replay = replay_state(script, seed, monkeypatch)
    assert max(replay.delays_s()) <= APPLY_BOUND_S
    assert max(replay.drain_delays_s()) <= DRAIN_BOUND_S


@pytest.mark.parametrize('script', [calm, silent_store(2.4), notices_are_lost])
def test_logged_lateness_is_less_than_the_real_one(
    script: Script, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A host knows only since when it may have lacked a change."""
    replay = replay_state(script, 1, monkeypatch)
    # The age in a notice leaves out its time on the way.
    assert replay.unlogged_s() <= CHECK_S + 2 * DELAY_S
