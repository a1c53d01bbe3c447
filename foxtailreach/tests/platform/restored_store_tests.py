"""What hosts use when the store comes back from a copy that is seconds old."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import pytest

from foxtailreach.core.messages import HostEntry
from foxtailreach.platform import records
from foxtailreach.tests.platform.restored_store import (
    Usage,
    copy_store,
    restore,
    watch,
    write_target,
)
from foxtailreach.tests.platform.state_replay import (
    DOMAINS,
    PEER_PORT,
    StateHost,
    StateReplay,
    replay_state,
)

APPLY_BOUND_S = 2.0
# Hosts in contact agree within this time.
AGREE_BOUND_S = 3.0
COPY_AGE_S = 3.0
AWAY_S = 0.6
# More than are written after the return, so that offsets stay behind.
LOST_WRITES = 6
NEW_HOST = 'h15'

Disturb = Callable[[StateReplay], set[str]]


def nothing(replay: StateReplay) -> set[str]:
    """Disturb nothing."""
    return set()


def readers_are_killed(replay: StateReplay) -> set[str]:
    """Kill the readers of two domains while the store is away."""
    for host_id in replay.readers()[:2]:
        replay.kill(host_id)
    return set()


def domain_is_cut_off(replay: StateReplay) -> set[str]:
    """Cut a domain off from the store; its hosts still reach the others."""
    cut = {
        host_id
        for host_id, host in replay.hosts.items()
        if host.entry.domain == DOMAINS[0]
    }
    for host_id in cut:
        replay.store.cut(host_id)
    return cut


def notices_are_lost(replay: StateReplay) -> set[str]:
    """Lose half of the notices from then on."""
    replay.lost_notices = 0.5
    return set()


def host_is_isolated(replay: StateReplay) -> set[str]:
    """Cut a host off from the other hosts; it still reaches the store."""
    followers = sorted(replay.hosts.keys() - set(replay.readers()))
    replay.isolated.add(followers[0])
    return set()


def start_host(replay: StateReplay) -> None:
    """Start a host that registers after the copy was made."""
    entry = HostEntry(NEW_HOST, DOMAINS[0], '10.0.0.15', PEER_PORT, capacity=1)
    replay.hosts[NEW_HOST] = StateHost(replay, entry)
    replay.hosts[NEW_HOST].start()


class Restoration:
    """A restoration of the store, and what the hosts used before and after.

    Since the copy a configuration came into force, `i-2` started, `i-3` drained
    and left, `i-4` drained, and a host has registered.
    """

    def __init__(self, disturb: Disturb, eras: int, away_s: float) -> None:
        """Disturb the hosts while the store is away, and raise its era."""
        self.seen: list[Usage] = []
        self.returned_s = 0.0
        self.changed_s = 0.0
        self.ended_s = 0.0
        self.in_force = 0
        self.newest = 0
        self._disturb = disturb
        self._eras = eras
        self._away_s = away_s

    async def run(self, replay: StateReplay) -> set[str]:
        """Play the restoration; return the hosts that are out of touch."""
        store = replay.store
        for name in ('i-3', 'i-4'):
            write_target(store, name)
        await asyncio.sleep(APPLY_BOUND_S)
        copied = copy_store(store)
        self._write_since_copy(replay)
        await asyncio.sleep(COPY_AGE_S)
        watching = asyncio.ensure_future(watch(replay, self.seen))
        out_of_touch = self._disturb(replay)
        await store.silence(self._away_s)
        restore(store, copied, self._eras)
        self.returned_s = replay.loop.time()
        await asyncio.sleep(replay.rng.uniform(0.1, 1.2))
        write_target(store, 'i-2', sequence=9)
        write_target(store, 'i-4', state='draining', sequence=9)
        store.put_configuration(self.in_force)
        self.newest = replay.change()
        self.changed_s = replay.loop.time()
        await asyncio.sleep(7)
        self.ended_s = replay.loop.time()
        watching.cancel()
        return out_of_touch

    def _write_since_copy(self, replay: StateReplay) -> None:
        store = replay.store
        for heartbeat in range(LOST_WRITES):
            self.in_force = replay.change()
            write_target(store, 'i-2', sequence=heartbeat)
        for name in ('i-3', 'i-4'):
            write_target(store, name, state='draining', sequence=8)
        store.append(records.TARGETS_TOPIC, 'i-3', b'')
        start_host(replay)


def play(
    restoration: Restoration, seed: int, monkeypatch: pytest.MonkeyPatch
) -> StateReplay:
    return replay_state(restoration.run, seed, monkeypatch)


CASES = list(
    itertools.product(
        [
            nothing,
            readers_are_killed,
            domain_is_cut_off,
            notices_are_lost,
            host_is_isolated,
        ],
        # Longer than an outage that hosts may miss, or than entries live.
        [(1, 0.02), (1, 0.6), (3, 2.4)],
        range(2),
    )
)


CONTACTS = list(itertools.product([False, True], range(3)))


def name_of(case: object) -> str:
    return getattr(case, '__name__', str(case))


@pytest.mark.parametrize(('disturb', 'away', 'seed'), CASES, ids=name_of)
def test_host_goes_back_to_what_a_copy_of_the_store_lists(
    disturb: Disturb,
    away: tuple[int, float],
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A withdrawn key or a drained target would be used again."""
    restoration = Restoration(disturb, *away)
    replay = play(restoration, seed, monkeypatch)
    for usage in restoration.seen:
        assert min(usage.versions.values()) >= restoration.in_force
        for ready in usage.ready.values():
            assert ready == {'i-1', 'i-2'}
    late = [
        used
        for used in restoration.seen
        if used.at_s > restoration.changed_s + APPLY_BOUND_S
    ]
    assert late
    for usage in late:
        for host_id, version in usage.versions.items():
            if host_id not in replay.out_of_touch:
                assert version == restoration.newest
    agreed = [
        used
        for used in restoration.seen
        if used.at_s > restoration.changed_s + AGREE_BOUND_S
    ]
    for usage in agreed:
        assert set(usage.versions.values()) == {restoration.newest}


@pytest.mark.parametrize('seed', range(2))
def test_registration_of_a_host_stays_lost(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Hosts that start later would not learn of it."""
    restoration = Restoration(nothing, 1, AWAY_S)
    replay = play(restoration, seed, monkeypatch)
    log = replay.store.topics[records.HOSTS_TOPIC]
    names = [record.key for record in log]
    assert names.count(NEW_HOST) == 1
    # The others are still registered and write nothing.
    assert len(names) == len(replay.hosts)
    eras = {
        version.era
        for host in replay.hosts.values()
        for version in host.feed.mirror.versions()
    }
    assert eras == {1}


@pytest.mark.parametrize(('is_coordinator', 'seed'), CONTACTS)
def test_host_of_an_older_era_and_the_others_differ_after_contact(
    is_coordinator: bool, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was cut off from everything, and reaches the other hosts again."""
    restoration = Restoration(nothing, 1, AWAY_S)
    seen: list[Usage] = []
    contact: list[tuple[str, float]] = []

    async def script(replay: StateReplay) -> set[str]:
        cut_off = next(
            host_id
            for host_id, host in replay.hosts.items()
            if host.node.is_coordinator == is_coordinator
        )
        replay.cut_from_all(cut_off)
        await restoration.run(replay)
        replay.isolated.discard(cut_off)
        contact.append((cut_off, replay.loop.time()))
        watching = asyncio.ensure_future(watch(replay, seen))
        await asyncio.sleep(2 * AGREE_BOUND_S)
        watching.cancel()
        return {cut_off}

    replay_state(script, seed, monkeypatch)
    ((cut_off, contact_s),) = contact
    assert seen[0].versions[cut_off] < restoration.in_force
    agreed = [one for one in seen if one.at_s > contact_s + AGREE_BOUND_S]
    assert agreed
    for usage in agreed:
        assert set(usage.versions.values()) == {restoration.newest}
        # `i-2`, which the restored store lacked, has written again.
        assert set(usage.ready.values()) == {frozenset({'i-1', 'i-2'})}
