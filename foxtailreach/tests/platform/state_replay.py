"""Replays how the hosts of a fleet follow the platform's store.

All hosts run the feed of the platform and the fleet's node in virtual time; the
store and the network between the hosts are simulated. Each change of the
configuration is timed from the store's acknowledgement until each host uses it.
"""

from __future__ import annotations

import asyncio
import contextvars
import json
import random
from collections.abc import Callable, Coroutine
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from typing import Any

import loguru
import pytest
from loguru import logger

from foxtailreach.core import effects
from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.fleet import FleetConfig, FleetNode
from foxtailreach.core.dispatch.host_messages import Effects
from foxtailreach.core.dispatch.messages import KeyedRecord
from foxtailreach.core.messages import HostEntry
from foxtailreach.core.units import SECOND_US
from foxtailreach.exceptions import (
    HistoryTrimmedError,
    PlatformUnavailableError,
)
from foxtailreach.gateway import state_puller
from foxtailreach.gateway.settings import Address, GatewaySettings
from foxtailreach.platform import feed as feed_module
from foxtailreach.platform import long_poll, records
from foxtailreach.platform.feed import PlatformFeed
from foxtailreach.platform.store import CALL_TIMEOUT_S, TopicPage
from foxtailreach.tests.dispatch.fixtures import RETRY_POLICY
from foxtailreach.tests.dispatch.fleet_replay import VirtualTimeLoop
from foxtailreach.tests.dispatch.meters_tests import POLICY as LIMIT_POLICY
from foxtailreach.tests.platform.records_tests import CONFIGURATION, HEARTBEAT

DOMAINS = ('north', 'south', 'west')
PEER_PORT = 7000
CALL_S = 0.004
DELAY_S = 0.003
PULL_TIMEOUT_S = 1.0
TICK_INTERVAL_S = 0.1
CHECK_S = 0.01
# Until all hosts know each other and the first configuration.
SETTLE_S = 6.0
# A host that uses a change later than this counts as if it never did.
LATEST_S = 8.0

_running_host: contextvars.ContextVar[str] = contextvars.ContextVar('host')


class SharedStore:
    """The platform's store; calls that meet a silence are never answered.

    `refused` are hosts whose calls fail at once, `cut_off` those whose calls
    get no answer. `era` counts restorations, see `restored_store`.
    """

    def __init__(self, loop: VirtualTimeLoop) -> None:
        """Start without records."""
        self.loop = loop
        self.topics: dict[str, list[KeyedRecord]] = {}
        self.is_silent = False
        self.era = 0
        self.refused: set[str] = set()
        self.cut_off: set[str] = set()
        self.calls = 0
        # Counts the silences of the store and of the path of each host.
        self.silences: dict[str, int] = {}
        self._appended = asyncio.Event()

    def append(self, topic: str, key: str, payload: bytes) -> None:
        """Append a record and wake the calls that wait for one."""
        log = self.topics.setdefault(topic, [])
        log.append(KeyedRecord(key, payload, len(log)))
        self._appended.set()
        self._appended = asyncio.Event()

    def put_configuration(self, version: int) -> None:
        """Write a configuration as the operator does."""
        content = {**CONFIGURATION, 'version': f'{version:08x}'}
        self.append(
            records.OPERATOR_TOPIC,
            records.CONFIGURATION_KEY,
            json.dumps(content).encode(),
        )

    async def silence(self, for_s: float) -> None:
        """Answer no call for some time, nor those in flight."""
        self.is_silent = True
        self.silences['*'] = self.silences.get('*', 0) + 1
        await asyncio.sleep(for_s)
        self.is_silent = False

    def cut(self, host_id: str) -> None:
        """Cut a host off for good, with its calls in flight."""
        self.cut_off.add(host_id)
        self.silences[host_id] = self.silences.get(host_id, 0) + 1

    def is_unanswered(self, host_id: str) -> bool:
        """Whether a call of a host gets no answer now."""
        return self.is_silent or host_id in self.cut_off

    def silence_count(self, host_id: str) -> tuple[int, int]:
        """Return a value that changes when calls in flight are lost."""
        return self.silences.get('*', 0), self.silences.get(host_id, 0)

    async def wait(self, topic: str, offset: int, wait_ms: int) -> None:
        """Wait for a record at an offset, at most `wait_ms`."""
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                while len(self.topics.get(topic, ())) <= offset:
                    await self._appended.wait()


class HostStore:
    """Calls of one host to the store, like `StoreClient`."""

    def __init__(self, store: SharedStore, host_id: str) -> None:
        """Call `store` as `host_id`."""
        self.calls = 0
        self._store = store
        self._host_id = host_id

    async def read(self, topic: str, offset: int, wait_ms: int) -> TopicPage:
        """Return the records from an offset on."""

        async def answer() -> TopicPage:
            await self._store.wait(topic, offset, wait_ms)
            log = self._store.topics.get(topic, [])
            if offset > len(log):
                raise HistoryTrimmedError(topic)
            era = self._store.era
            return TopicPage(tuple(log[offset:]), len(log), era=era)

        return await self._call(answer(), wait_ms / 1000)

    async def read_newest(self, topic: str) -> TopicPage:
        """Return the newest record of each key."""

        async def answer() -> TopicPage:
            log = self._store.topics.get(topic, [])
            newest = {record.key: record for record in log}
            kept = tuple(one for one in newest.values() if one.payload)
            era = self._store.era
            return TopicPage(kept, len(log), is_whole=True, era=era)

        return await self._call(answer())

    async def append(self, topic: str, key: str, payload: bytes) -> None:
        """Append the registration of a host."""

        async def answer() -> TopicPage:
            self._store.append(topic, key, payload)
            return TopicPage((), 0)

        await self._call(answer())

    async def _call(
        self,
        answer: Coroutine[Any, Any, TopicPage],
        wait_s: float = 0,
    ) -> TopicPage:
        store = self._store
        self.calls += 1
        store.calls += 1
        started_s = store.loop.time()
        known = store.silence_count(self._host_id)
        await asyncio.sleep(CALL_S)
        if self._host_id in store.refused:
            answer.close()
            raise PlatformUnavailableError('refused')
        is_lost = store.is_unanswered(self._host_id)
        if is_lost:
            answer.close()
        else:
            try:
                page = await answer
            except HistoryTrimmedError:
                if store.silence_count(self._host_id) == known:
                    raise
            is_lost = store.silence_count(self._host_id) != known
        if not is_lost:
            return page
        end_s = started_s + wait_s + CALL_TIMEOUT_S
        await asyncio.sleep(end_s - store.loop.time())
        raise PlatformUnavailableError('timed out')


class SimulatedPeers:
    """Datagrams of one host, like `PeerEndpoint`."""

    def __init__(self, replay: StateReplay, host_id: str) -> None:
        """Send as `host_id`."""
        self._replay = replay
        self._host_id = host_id

    def add_host(self, entry: HostEntry) -> None:
        """Know all addresses already."""

    def send(self, host_id: str, message: messages.FleetMessage) -> None:
        """Send a message to a host."""
        self._replay.transmit(self._host_id, host_id, message)

    def send_to(
        self, address: tuple[str, int], message: messages.FleetMessage
    ) -> None:
        """Send a message to an address."""
        self.send(self._replay.host_at(address), message)


class StateHost:
    """One host: its node, and its feed of the platform's state."""

    def __init__(self, replay: StateReplay, entry: HostEntry) -> None:
        """Create a host that knows only itself."""
        self.entry = entry
        self.used_s: dict[int, float] = {}
        # When this host learned that the target drains.
        self.drained_s = 0.0
        self._replay = replay
        self._context = contextvars.copy_context()
        self._context.run(_running_host.set, entry.host_id)
        self._tasks: list[asyncio.Task[None]] = []
        rng = random.Random(replay.rng.random())
        self.node = FleetNode.from_config(
            FleetConfig(entry, 1, RETRY_POLICY, LIMIT_POLICY),
            rng,
            replay.loop.now_us(),
        )
        self._peers = SimulatedPeers(replay, entry.host_id)
        self.feed = PlatformFeed(
            _settings(entry),
            HostStore(replay.store, entry.host_id),  # type: ignore[arg-type]
            self.node,
            self._peers,  # type: ignore[arg-type]
            rng,
            self._apply,
        )

    @property
    def version(self) -> int:
        """Version of the configuration in use; -1 without one."""
        deployment = self.node.deployment
        return -1 if deployment is None else deployment.version

    @property
    def knows_draining(self) -> bool:
        """Whether the host knows that the target drains."""
        return any(target.is_draining for target in self.node.targets)

    def start(self) -> None:
        """Start the tasks of the host."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(task, context=self._context)
            for task in (self.feed.run(), self._tick())
        ]

    def kill(self) -> None:
        """End the tasks of the host."""
        for task in self._tasks:
            task.cancel()

    def receive(self, sender: str, message: messages.FleetMessage) -> None:
        """Handle a message in the context of this host."""
        self._context.run(self._handle, sender, message)

    def _handle(self, sender: str, message: messages.FleetMessage) -> None:
        now_us = self._replay.loop.now_us()
        self._apply(self.node.receive(sender, message, now_us))
        match message:
            case messages.StateNotice():
                self.feed.handle_notice(sender, message)
            case messages.HostAnnounced():
                self.feed.notify_host(sender)
            case _:
                return

    def _apply(self, new_effects: Effects) -> None:
        for effect in new_effects:
            match effect:
                case messages.SendHost(host_id=host_id, message=message):
                    self._peers.send(host_id, message)
                case effects.Note():
                    continue

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._apply(self.node.tick(self._replay.loop.now_us()))


@dataclass(slots=True)
class StateReplay:
    """The hosts, the store, and the times at which changes were accepted.

    Hosts of `isolated` exchange nothing with other hosts; a notice is lost with
    the probability `lost_notices`. Hosts `out_of_touch` with the store do not
    count.
    """

    loop: VirtualTimeLoop
    rng: random.Random
    store: SharedStore
    hosts: dict[str, StateHost] = field(default_factory=dict)
    isolated: set[str] = field(default_factory=set)
    lost_notices: float = 0
    out_of_touch: set[str] = field(default_factory=set)
    draining_s: float = 0
    acked_s: dict[int, float] = field(default_factory=dict)
    # What each host logs as the most that a version can be late, in seconds.
    logged_s: dict[tuple[str, int], float] = field(default_factory=dict)

    def record_log(self, message: loguru.Message) -> None:
        """Keep how late a configuration can be at most, as a host logs it."""
        extra = message.record['extra']
        if 'at_most_late_us' in extra:
            host_id = _running_host.get()
            version = self.hosts[host_id].version
            late_s = extra['at_most_late_us'] / SECOND_US
            self.logged_s[host_id, version] = late_s

    def unlogged_s(self) -> float:
        """Return by how much a real delay exceeds the logged one at most."""
        return max(
            self.hosts[host_id].used_s[version] - self.acked_s[version] - late_s
            for (host_id, version), late_s in self.logged_s.items()
            if version in self.acked_s and host_id in self.hosts
        )

    def readers(self) -> list[str]:
        """Return the hosts that read the store for their domain."""
        now_us = self.loop.now_us()
        return [
            host_id
            for host_id, host in self.hosts.items()
            if host.node.election.should_read(now_us)
        ]

    def reader_of(self, domain: str) -> str:
        """Return the host that reads the store for a domain."""
        return next(
            host_id
            for host_id in self.readers()
            if self.hosts[host_id].entry.domain == domain
        )

    def change(self) -> int:
        """Write a new configuration; return its version."""
        version = len(self.acked_s) + 2
        self.acked_s[version] = self.loop.time()
        self.store.put_configuration(version)
        return version

    def drain_target(self) -> None:
        """Let the target report that it drains."""
        self.draining_s = self.loop.time()
        entry = {**HEARTBEAT, 'state': 'draining', 'sequence': 9}
        self.store.append(
            records.TARGETS_TOPIC, 'i-1', json.dumps(entry).encode()
        )

    def kill(self, host_id: str) -> None:
        """End a host for good."""
        self.hosts.pop(host_id).kill()

    def cut_from_all(self, host_id: str) -> None:
        """Cut a host off from the store and from all other hosts."""
        self.store.cut(host_id)
        self.isolated.add(host_id)

    def host_at(self, address: tuple[str, int]) -> str:
        """Return the host with an address."""
        return f'h{address[0].rpartition(".")[2]}'

    def is_path_open(self, sender: str, receiver: str) -> bool:
        """Whether both hosts live and can reach each other."""
        if sender == receiver:
            return True
        ends = {sender, receiver}
        return not ends & self.isolated and ends <= self.hosts.keys()

    def transmit(
        self, sender: str, receiver: str, message: messages.FleetMessage
    ) -> None:
        """Deliver a datagram after a delay, unless it is lost."""
        is_notice = isinstance(message, messages.StateNotice)
        if is_notice and self.rng.random() < self.lost_notices:
            return

        def deliver() -> None:
            if self.is_path_open(sender, receiver) and receiver in self.hosts:
                self.hosts[receiver].receive(sender, message)

        self.loop.call_later(DELAY_S, deliver)

    async def pull_state(
        self, address: tuple[str, int], pull: messages.StatePull
    ) -> messages.StateCopy | None:
        """Return the copy that another host sends, or None after a timeout."""
        sender, receiver = _running_host.get(), self.host_at(address)
        if not self.is_path_open(sender, receiver):
            await asyncio.sleep(PULL_TIMEOUT_S)
            return None
        await asyncio.sleep(2 * DELAY_S)
        host = self.hosts.get(receiver)
        if host is None:
            return None
        return _answer_pull(host, pull, self.loop.now_us())

    def delays_s(self) -> list[float]:
        """Return how long each host in touch took to use each change."""
        return [
            _used_s(host, version, LATEST_S + acked_s) - acked_s
            for host_id, host in self.hosts.items()
            for version, acked_s in self.acked_s.items()
            if host_id not in self.out_of_touch
        ]

    def drain_delays_s(self) -> list[float]:
        """Return how long each host in touch used the draining target."""
        latest_s = self.draining_s + LATEST_S
        return [
            (host.drained_s or latest_s) - self.draining_s
            for host_id, host in self.hosts.items()
            if host_id not in self.out_of_touch
        ]

    async def observe(self) -> None:
        """Record when each host begins to use each version."""
        while True:
            await asyncio.sleep(CHECK_S)
            for host in self.hosts.values():
                host.used_s.setdefault(host.version, self.loop.time())
                if not host.drained_s and host.knows_draining:
                    host.drained_s = self.loop.time()


def _used_s(host: StateHost, version: int, latest_s: float) -> float:
    """Return when a host began to use a version or a newer one."""
    return min(
        (at_s for known, at_s in host.used_s.items() if known >= version),
        default=latest_s,
    )


def _answer_pull(
    host: StateHost, pull: messages.StatePull, now_us: int
) -> messages.StateCopy:
    mirror = host.feed.mirror
    return messages.StateCopy(
        mirror.deltas_since(pull.versions),
        confirmed_age_us=mirror.freshness.age_us(now_us),
    )


def _settings(entry: HostEntry) -> GatewaySettings:
    unused_address = Address('127.0.0.1', 9)
    return GatewaySettings(
        host_id=entry.host_id,
        domain=entry.domain,
        address=entry.address,
        capacity=entry.capacity,
        peer_port=entry.peer_port,
        is_first_start=False,
        metrics_port=0,
        callers=unused_address,
        readiness=unused_address,
        store=unused_address,
        seeds=(),
        max_body_memory_bytes=2**20,
        max_answer_memory_bytes=2**20,
        stop_grace_us=0,
        retry_policy=RETRY_POLICY,
        limit_policy=LIMIT_POLICY,
    )


# Disturbs the fleet, changes the configuration, and returns the hosts that are
# out of touch.
Script = Callable[[StateReplay], Coroutine[Any, Any, set[str]]]


def replay_state(
    script: Script,
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
    hosts: int = 15,
) -> StateReplay:
    """Run a script; the replay has the delays of its changes."""
    loop = VirtualTimeLoop()
    for module in (feed_module, long_poll, state_puller):
        monkeypatch.setattr(module, 'boot_time_us', loop.now_us)
    with (
        ExitStack() as stack,
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        store = SharedStore(loop)
        replay = StateReplay(loop, random.Random(seed), store)
        logger.remove()
        sink = logger.add(replay.record_log)
        stack.callback(logger.remove, sink)
        monkeypatch.setattr(state_puller, 'pull_state', replay.pull_state)
        runner.run(_run(replay, script, hosts))
    return replay


async def _run(replay: StateReplay, script: Script, hosts: int) -> None:
    replay.store.put_configuration(1)
    replay.store.append(
        records.TARGETS_TOPIC, 'i-1', json.dumps(HEARTBEAT).encode()
    )
    for index in range(hosts):
        host_id = f'h{index}'
        domain = DOMAINS[index % len(DOMAINS)]
        entry = HostEntry(
            host_id, domain, f'10.0.0.{index}', PEER_PORT, capacity=86
        )
        replay.hosts[host_id] = StateHost(replay, entry)
    for host in replay.hosts.values():
        host.start()
    observing = asyncio.ensure_future(replay.observe())
    await asyncio.sleep(SETTLE_S + replay.rng.random())
    replay.out_of_touch = await script(replay)
    await asyncio.sleep(LATEST_S)
    observing.cancel()
    for host in replay.hosts.values():
        host.kill()
