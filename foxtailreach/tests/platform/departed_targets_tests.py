"""How long a target is used after its entry has left the store."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from foxtailreach.core.dispatch.fleet import FleetConfig, FleetNode
from foxtailreach.core.dispatch.messages import (
    HostAnnounced,
    KeyedRecord,
    StateCopy,
    StateNotice,
    StatePull,
    TopicVersion,
)
from foxtailreach.core.messages import HostEntry
from foxtailreach.core.units import SECOND_US
from foxtailreach.exceptions import PlatformUnavailableError
from foxtailreach.gateway import state_puller
from foxtailreach.gateway.peers import PeerEndpoint
from foxtailreach.platform import feed as feed_module
from foxtailreach.platform import long_poll, records
from foxtailreach.platform.feed import PlatformFeed
from foxtailreach.platform.store import TopicPage
from foxtailreach.tests.dispatch.fixtures import RETRY_POLICY
from foxtailreach.tests.dispatch.fleet_replay import VirtualTimeLoop
from foxtailreach.tests.dispatch.meters_tests import POLICY as LIMIT_POLICY
from foxtailreach.tests.platform.feed_tests import settings

HEARTBEAT_S = 1.5
TARGETS = 20
# Operators' bound from the store's acknowledgement to the last request.
DRAIN_BOUND_S = 2.0
# Entries that lapsed in an outage are back this long after its end.
RENEWAL_S = 2.0
CALL_S = 0.004
CHECK_S = 0.01


class LoggedStore:
    """The store as one host sees it; it may refuse this host's calls.

    Targets write their heartbeats while `is_writable`.
    """

    def __init__(self) -> None:
        """Start with the entries of all targets."""
        self.calls = 0
        self.is_refusing = False
        self.refusals = 0
        self.is_writable = True
        self.log: list[KeyedRecord] = []
        self._sequence = 0
        self._left: set[int] = set()
        self.write_heartbeats()

    def write_heartbeats(self) -> None:
        """Write one heartbeat of each target that has not left."""
        self._sequence += 1
        for target in set(range(TARGETS)) - self._left:
            self._append(f't{target}', json.dumps(self._entry(target)).encode())

    def remove(self, target: int) -> None:
        """Remove the entry of a target that does not come back."""
        self._left.add(target)
        self._append(f't{target}', b'')

    def expire_all(self) -> None:
        """Remove the entries of all targets, which still live."""
        for target in range(TARGETS):
            self._append(f't{target}', b'')

    async def run_targets(self) -> None:
        """Write heartbeats until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_writable:
                self.write_heartbeats()

    async def read(self, topic: str, offset: int, wait_ms: int) -> TopicPage:
        """Return the records from an offset on."""
        await self._call()
        if topic != records.TARGETS_TOPIC:
            await asyncio.sleep(wait_ms / 1000)
            return TopicPage((), offset)
        return TopicPage(tuple(self.log[offset:]), len(self.log))

    async def read_newest(self, topic: str) -> TopicPage:
        """Return the newest record of each key."""
        await self._call()
        if topic != records.TARGETS_TOPIC:
            return TopicPage((), 0)
        newest = {record.key: record for record in self.log}
        listed = tuple(record for record in newest.values() if record.payload)
        return TopicPage(listed, len(self.log))

    async def append(self, topic: str, key: str, payload: bytes) -> None:
        """Accept the registration of the host."""
        await self._call()

    async def _call(self) -> None:
        await asyncio.sleep(CALL_S)
        if self.is_refusing:
            self.refusals += 1
            raise PlatformUnavailableError('refused')

    def _append(self, key: str, payload: bytes) -> None:
        self.log.append(KeyedRecord(key, payload, len(self.log)))

    def _entry(self, target: int) -> dict[str, Any]:
        return {
            'service': 'svc',
            'address': f'10.0.1.1:{8000 + target}',
            'zone': 'north',
            'slots': 4,
            'state': 'ready',
            'warmup_left_ms': 0,
            'sequence': self._sequence,
            'born': 1_700_000_000_000,
        }


class Reader:
    """A host that reads the store for its failure domain."""

    def __init__(self, loop: VirtualTimeLoop, store: LoggedStore) -> None:
        """Create the host and a second one of its domain, `h1`."""
        own_settings = settings('h0', 1)
        config = FleetConfig(own_settings.entry, 1, RETRY_POLICY, LIMIT_POLICY)
        self.loop = loop
        self.store = store
        self.node = FleetNode.from_config(
            config, random.Random(1), loop.now_us()
        )
        peers = PeerEndpoint(
            lambda sender, message: None, self.node.announcement
        )
        self.feed = PlatformFeed(
            own_settings,
            store,  # type: ignore[arg-type]
            self.node,
            peers,
            random.Random(1),
            lambda effects: None,
        )

    @property
    def listed(self) -> set[str]:
        """Return the targets that the host would use."""
        return {target.target_id for target in self.node.targets}

    def add_host(self, name: str) -> None:
        """Let the host learn of another one in its domain."""
        entry = HostEntry(name, 'north', '127.0.0.1', 2, capacity=1)
        self.node.update_hosts([HostAnnounced(entry, 1)], self.loop.now_us())

    def receive_notice(
        self, sender: str, versions: tuple[TopicVersion, ...] = ()
    ) -> None:
        """Tell the host that another one has read the store just now."""
        log_offset = len(self.store.log)
        notice = StateNotice(
            versions, 0, is_reading=True, log_offset=log_offset
        )
        self.feed.handle_notice(sender, notice)

    async def used_s(self, target: int) -> float:
        """Return how long a target stays in use from now on, at most 10 s."""
        started_s = self.loop.time()
        while f't{target}' in self.listed:
            await asyncio.sleep(CHECK_S)
            if self.loop.time() - started_s > 10:
                break
        return self.loop.time() - started_s


Scenario = Callable[[Reader], Awaitable[None]]


async def no_failed_call(reader: Reader) -> None:
    """Read without a failure."""
    await asyncio.sleep(3)


async def one_refused_call(reader: Reader) -> None:
    """Refuse one call, as the store does when it is busy."""
    await asyncio.sleep(3)
    refusals = reader.store.refusals
    reader.store.is_refusing = True
    while reader.store.refusals == refusals:
        await asyncio.sleep(CHECK_S)
    reader.store.is_refusing = False
    await asyncio.sleep(0.8)


async def a_refused_call_at_intervals(reader: Reader) -> None:
    """Refuse a call every 2 s."""
    for _ in range(5):
        await one_refused_call(reader)


async def refused_while_others_are_served(reader: Reader) -> None:
    """Refuse this host for longer than entries live; targets still write."""
    await asyncio.sleep(3)
    reader.store.is_refusing = True
    await asyncio.sleep(8)
    reader.store.is_refusing = False


async def another_host_read_meanwhile(reader: Reader) -> None:
    """Let this host read again long after its own failure."""
    await asyncio.sleep(3)
    reader.add_host('h1')
    reader.store.is_refusing = True
    for _ in range(16):
        await asyncio.sleep(0.5)
        reader.receive_notice('h1')
    reader.store.is_refusing = False


async def run_scenario(
    reader: Reader, scenario: Callable[[Reader], Awaitable[float]]
) -> float:
    """Run the feed of a host beside the targets and a scenario."""
    tasks = [
        asyncio.ensure_future(reader.feed.run()),
        asyncio.ensure_future(reader.store.run_targets()),
    ]
    try:
        return await scenario(reader)
    finally:
        for task in tasks:
            task.cancel()


def run_reader(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Callable[[Reader], Awaitable[float]],
) -> float:
    """Run a scenario in virtual time; return what it measured."""
    loop = VirtualTimeLoop()
    for module in (feed_module, long_poll, state_puller):
        monkeypatch.setattr(module, 'boot_time_us', loop.now_us)
    with asyncio.Runner(loop_factory=lambda: loop) as runner:

        async def main() -> float:
            return await run_scenario(Reader(loop, LoggedStore()), scenario)

        return runner.run(main())


@pytest.mark.parametrize(
    'disturbance',
    [
        no_failed_call,
        one_refused_call,
        a_refused_call_at_intervals,
        refused_while_others_are_served,
        another_host_read_meanwhile,
    ],
    ids=lambda disturbance: disturbance.__name__,
)
def test_removed_target_stays_in_use_after_a_failed_call(
    disturbance: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A target that never reported `draining` is removed as it leaves."""

    async def measure(reader: Reader) -> float:
        await disturbance(reader)
        reader.store.remove(0)
        return await reader.used_s(0)

    assert run_reader(monkeypatch, measure) <= DRAIN_BOUND_S


def test_targets_stay_in_use_while_entries_lapse_in_an_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All entries expire, and are renewed within 2 s of the return."""

    async def measure(reader: Reader) -> float:
        await asyncio.sleep(3)
        reader.store.is_writable = False
        reader.store.is_refusing = True
        await asyncio.sleep(6)
        reader.store.expire_all()
        reader.store.is_refusing = False
        least = TARGETS
        for _ in range(int(RENEWAL_S / CHECK_S)):
            await asyncio.sleep(CHECK_S)
            least = min(least, len(reader.listed))
        reader.store.remove(0)
        reader.store.is_writable = True
        reader.store.write_heartbeats()
        assert await reader.used_s(0) <= DRAIN_BOUND_S
        await asyncio.sleep(2)
        assert len(reader.listed) == TARGETS - 1
        return least

    assert run_reader(monkeypatch, measure) == TARGETS


@pytest.mark.parametrize(
    ('retained', 'retained_later', 'used_s'),
    [
        ((), (), 0.5),
        ((), ('t0',), RENEWAL_S),
        # An older copy names a target that this host still lists.
        (('t0',), (), 0.5),
    ],
    ids=['left', 'lapsed in an outage', 'renewed, then left'],
)
def test_followers_use_removed_targets_as_their_reader_does(
    retained: tuple[str, ...],
    retained_later: tuple[str, ...],
    used_s: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A follower learns of a removal from a copy, not from the log."""
    store = LoggedStore()
    listed = [record for record in store.log if record.key == 't0']
    source = records.create_mirror()
    topic = source.topics[records.TARGETS_TOPIC]

    async def pull_copy(address: object, pull: StatePull) -> StateCopy:
        copies = source.deltas_since(pull.versions)
        is_left = 't0' not in topic.records
        keys = retained_later if is_left else retained
        return StateCopy(copies, keys, int(RENEWAL_S * SECOND_US))

    async def measure(reader: Reader) -> float:
        reader.store.is_refusing = True
        reader.add_host('h1')
        topic.replace(listed, 1)
        reader.receive_notice('h1', source.versions())
        await asyncio.sleep(0.1)
        assert 't0' in reader.listed
        # The sender's version is newer, but not its list.
        newer = (TopicVersion(records.TARGETS_TOPIC, 9, 9, 0),)
        reader.receive_notice('h1', newer)
        await asyncio.sleep(0.1)
        topic.fold([KeyedRecord('t0', b'', 1)], 2)
        reader.receive_notice('h1', source.versions())
        return await reader.used_s(0)

    monkeypatch.setattr(state_puller, 'pull_state', pull_copy)
    seen_s = run_reader(monkeypatch, measure)
    assert used_s - 0.5 <= seen_s <= used_s + 0.5


def test_answer_undoes_a_copy_that_was_adopted_during_its_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store answers by its log of before a removal that a copy has."""
    store = LoggedStore()
    listed = tuple(store.log)
    removal = KeyedRecord('t0', b'', len(listed))
    source = records.create_mirror().topics[records.TARGETS_TOPIC]
    source.replace(listed, len(listed))
    source.fold([removal], len(listed) + 1)

    async def measure(reader: Reader) -> float:
        topic = reader.feed.mirror.topics[records.TARGETS_TOPIC]
        topic.replace((), 0)

        async def read(name: str, offset: int, wait_ms: int) -> TopicPage:
            await asyncio.sleep(CALL_S + wait_ms / 1000)
            if name == records.TARGETS_TOPIC:
                topic.adopt(source.copy(-1))
                return TopicPage(listed, len(listed))
            return TopicPage((), offset)

        monkeypatch.setattr(reader.store, 'read', read)
        await asyncio.sleep(2)
        assert 't1' in topic.records
        return float('t0' in topic.records)

    assert not run_reader(monkeypatch, measure)
