"""A randomized soak of real host processes, with faults from outside.

Several series of faults overlap while callers keep using their connections.
The promises to callers and targets are checked by what these have seen.
"""

from __future__ import annotations

import asyncio
import math
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import h11

from foxtailreach.tests.platform.crowds_tests import CROWDS
from foxtailreach.tests.platform.end_to_end_tests import (
    Answer,
    Fleet,
    configuration,
    read_answer,
    request_bytes,
    start_fleet,
)
from foxtailreach.tests.platform.endless_answers_tests import peak_memory_mb
from foxtailreach.tests.platform.fakes import Target
from foxtailreach.tests.platform.untrusted_callers_tests import Crowd, repeat

HEARTBEAT_S = 1.5
FAULT_SERIES = 3
CALLERS_PER_HOST = 2
# Operators' bounds for targets that leave and for withdrawn keys.
DRAIN_BOUND_S = 2.0
CONFIGURATION_BOUND_S = 2.0
# A host or store counts as undisturbed this long after a fault.
CONTACT_S = 3.0
# A request sent this long before a planned stop has been read.
READ_S = 0.2
RECOVERY_S = 15.0
MAX_TARGETS = 8
CROWD_SIZE = 6
# The default of a host.
MEMORY_MB = 200


@dataclass(slots=True)
class Sent:
    """One request of a caller, and its answer, or None if it was cut off."""

    request_id: str
    host: str
    path: str
    key: str
    at_s: float
    answer: Answer | None = None


class OneHost(Fleet):
    """A fleet whose hosts all have the address of one of them."""

    def __init__(self, fleet: Fleet, host: str) -> None:
        """Stand for a host of a fleet."""
        super().__init__(fleet.store, [], fleet.folder, fleet.port)
        self._address = fleet.address(host)

    def address(self, name: str) -> str:
        """Return the address of this host."""
        return self._address


@dataclass(slots=True)
class Kill:
    """A kill of a host, and when its next process was started."""

    host: str
    at_s: float
    started_s: float = math.inf


@dataclass(slots=True)
class Soak:
    """A fleet under faults, and what callers have seen of it."""

    fleet: Fleet
    rng: random.Random
    ends_s: float
    sent: list[Sent] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    # Hosts that a fault acts on, and spans of disturbance by host or `store`.
    busy: set[str] = field(default_factory=set)
    disturbed: list[tuple[str, float, float]] = field(default_factory=list)
    stops: list[tuple[str, float]] = field(default_factory=list)
    kills: list[Kill] = field(default_factory=list)
    left_s: dict[str, float] = field(default_factory=dict)
    # Pauses that targets asked for: target, start and end.
    pauses: list[tuple[str, float, float]] = field(default_factory=list)
    withdrawn: list[tuple[float, float]] = field(default_factory=list)
    version: int = 1
    has_second_key: bool = True

    def now_s(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    def is_over(self) -> bool:
        """Tell whether no further request or fault is due."""
        return self.now_s() >= self.ends_s

    def is_disturbed(self, name: str, start_s: float, end_s: float) -> bool:
        """Tell whether a fault acted on a host or the store in a span."""
        return any(
            disturbed == name and since_s < end_s and until_s > start_s
            for disturbed, since_s, until_s in self.disturbed
        )

    async def run_targets(self) -> None:
        """Write the heartbeats of the targets that are listed."""
        while True:
            if not self.fleet.store.is_down:
                for target in self.fleet.targets:
                    if target.target_id not in self.left_s:
                        await self._put(target, target.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def run_caller(self, host: str, name: str) -> None:
        """Send requests on one connection for as long as it lasts."""
        number = 0
        while not self.is_over():
            try:
                reader, writer = await asyncio.open_connection(
                    self.fleet.address(host), self.fleet.port + 2
                )
            except OSError:
                await asyncio.sleep(0.1)
                continue
            is_open = True
            while is_open and not self.is_over():
                number += 1
                sent = self._draw_request(host, f'{name}-{number}')
                is_open = await self._exchange(reader, writer, sent)
                await asyncio.sleep(self.rng.expovariate(20))
            writer.close()

    async def run_faults(self) -> None:
        """Inject one fault after another until the soak ends."""
        faults: list[Callable[[], Awaitable[None]]] = [
            self._stop_and_start,
            self._kill_and_start,
            self._pause,
            self._reload,
            self._change_configuration,
            self._drain_target,
            self._pause_target,
            self._remove_target,
            self._add_target,
            self._take_store_down,
            self._refuse_calls,
            self._send_crowd,
        ]
        while not self.is_over():
            await self.rng.choice(faults)()
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))

    async def check_recovery(self) -> None:
        """Expect all hosts to serve again after the faults."""
        try:
            async with asyncio.timeout(RECOVERY_S):
                for host in self.fleet.processes:
                    await self.fleet.wait_ready(host)
                    while (await self.fleet.request(host)).status != 200:
                        await asyncio.sleep(0.1)
        except (TimeoutError, OSError) as error:
            self.violations.append(f'RECOVER: {error!r}')

    def check_memory(self) -> None:
        """Expect all hosts to stay within their memory."""
        for host, process in self.fleet.processes.items():
            memory_mb = peak_memory_mb(process.pid)
            if memory_mb > MEMORY_MB:
                self.violations.append(f'MEMORY: {host} {memory_mb:.0f} MB')

    def check(self) -> list[str]:
        """Return all violations of the promises."""
        ran: dict[str, list[tuple[str, float]]] = {}
        reached: dict[str, list[tuple[str, float]]] = {}
        for target in self.fleet.targets:
            for received in target.seen:
                runs = ran.setdefault(received.request_id, [])
                runs.append((target.target_id, received.at_s))
            for received in (*target.seen, *target.declined):
                arrivals = reached.setdefault(received.request_id, [])
                arrivals.append((target.target_id, received.at_s))
        for sent in self.sent:
            self._check_runs(sent, ran.get(sent.request_id, []))
            self._check_drain(sent, reached.get(sent.request_id, []))
            self._check_key(sent)
            self._check_stop(sent)
        for target in self.fleet.targets:
            self._check_pauses(target)
            self._check_told(target)
        return self.violations

    def _check_told(self, target: Target) -> None:
        """Check that a host to which a target has said that it leaves obeys.

        Only a kill, a stop or a pause of the host since then excuses it.
        """
        told_s: dict[str, float] = {}
        hosts = {sent.request_id: sent for sent in self.sent}
        arrivals = [*target.seen, *target.declined]
        for received in sorted(arrivals, key=lambda one: one.at_s):
            sent = hosts.get(received.request_id)
            if sent is None:
                continue
            since_s = told_s.get(sent.host)
            if since_s is not None and sent.at_s > since_s + DRAIN_BOUND_S:
                if not self.is_disturbed(sent.host, since_s, received.at_s):
                    self.violations.append(f'DRAIN, told: {sent}')
            says_so = target.says_leaving_s <= received.at_s
            if (
                says_so
                and sent.answer is not None
                and sent.answer.status == 200
            ):
                told_s.setdefault(sent.host, received.at_s)

    def _check_pauses(self, target: Target) -> None:
        """Check that no host sends more than two requests into a pause."""
        hosts = {sent.request_id: sent.host for sent in self.sent}
        for target_id, start_s, end_s in self.pauses:
            if target_id != target.target_id:
                continue
            arrivals: dict[str, list[float]] = {}
            for received in target.declined:
                if start_s <= received.at_s < end_s:
                    host = hosts.get(received.request_id, '')
                    arrivals.setdefault(host, []).append(received.at_s)
            for host, times_s in arrivals.items():
                late = [at_s for at_s in times_s if at_s > times_s[0] + 0.5]
                if len(late) > 2 and not self.is_disturbed(
                    host, start_s, end_s
                ):
                    self.violations.append(
                        f'PAUSE: {target_id} got {len(late)} from {host}'
                    )

    async def _put(self, target: Target, entry: dict[str, Any] | None) -> None:
        await self.fleet.store.put('keyed.servers', target.target_id, entry)

    def _draw_request(self, host: str, request_id: str) -> Sent:
        path = self.rng.choice(('/safe/x', '/a/x'))
        key = self.rng.choice(('k1', 'k1', 'k2'))
        sent = Sent(request_id, host, path, key, self.now_s())
        self.sent.append(sent)
        return sent

    async def _exchange(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sent: Sent,
    ) -> bool:
        """Send one request; return whether the connection stays open."""
        parser = h11.Connection(h11.CLIENT)
        method = 'GET' if sent.path.startswith('/safe') else 'POST'
        payload = request_bytes(
            parser, sent.path, method, sent.key, request_id=sent.request_id
        )
        try:
            writer.write(payload)
            sent.answer = await read_answer(reader, parser)
        except (ConnectionError, h11.RemoteProtocolError):
            return False
        if parser.trailing_data[0]:
            self.violations.append(f'MIXED: bytes after {sent.request_id}')
        is_kept = sent.answer.headers.get('connection', '') != 'close'
        return is_kept and parser.their_state is h11.DONE

    def _check_runs(
        self, sent: Sent, arrivals: list[tuple[str, float]]
    ) -> None:
        """Check what an answer says against where the request ran."""
        is_unsafe = sent.path.startswith('/a/')
        if is_unsafe and len(arrivals) > 1:
            self.violations.append(f'TWICE: {sent}')
        answer = sent.answer
        if answer is None:
            return
        if answer.status in {429, 503} and is_unsafe and arrivals:
            self.violations.append(f'REFUSED: {sent}')
        if answer.status != 200:
            return
        answered = answer.headers.get('x-foxtailreach-request-id')
        ran_at = {f'{target_id} {sent.path}' for target_id, _ in arrivals}
        if answered != sent.request_id or answer.body not in ran_at:
            self.violations.append(f'MIXED: {sent}')

    def _check_drain(
        self, sent: Sent, arrivals: list[tuple[str, float]]
    ) -> None:
        """Check that no host in contact used a target that had left."""
        for target_id, at_s in arrivals:
            left_s = self.left_s.get(target_id, at_s)
            calm_from_s = left_s - CONTACT_S
            if at_s - left_s <= DRAIN_BOUND_S:
                continue
            if self.is_disturbed('store', calm_from_s, at_s):
                continue
            if not self.is_disturbed(sent.host, calm_from_s, at_s):
                late_s = at_s - left_s
                self.violations.append(f'DRAIN: {late_s:.2f} s, {sent}')

    def _check_key(self, sent: Sent) -> None:
        """Check that a withdrawn key serves nobody."""
        if sent.key != 'k2' or sent.answer is None:
            return
        for since_s, until_s in self.withdrawn:
            if not since_s + CONFIGURATION_BOUND_S < sent.at_s < until_s:
                continue
            calm_from_s = since_s - CONTACT_S
            is_calm = not self.is_disturbed('store', calm_from_s, sent.at_s)
            is_calm &= not self.is_disturbed(sent.host, calm_from_s, sent.at_s)
            if sent.answer.status == 200 and is_calm:
                self.violations.append(f'CONFIG: withdrawn key, {sent}')

    def _check_stop(self, sent: Sent) -> None:
        """Check that a planned stop cuts off no request that was read."""
        if sent.answer is not None or sent.at_s > self.ends_s - CONTACT_S:
            return
        for host, at_s in self.stops:
            is_before = at_s - 1 < sent.at_s < at_s - READ_S
            # A kill shortly before the stop of the next process cuts it off;
            # what is sent between the two processes is read by neither.
            was_killed = any(
                kill.host == host
                and kill.at_s < at_s
                and sent.at_s <= kill.started_s
                for kill in self.kills
            )
            if host == sent.host and is_before and not was_killed:
                self.violations.append(f'LOST: {sent}')

    def _take_host(self) -> str | None:
        """Choose a host for a fault; most stay untouched."""
        free = sorted(set(self.fleet.processes) - self.busy)
        if len(free) <= len(self.fleet.processes) // 2:
            return None
        host = self.rng.choice(free)
        self.busy.add(host)
        return host

    def _release_host(self, host: str, since_s: float) -> None:
        self.busy.discard(host)
        self.disturbed.append((host, since_s, self.now_s() + CONTACT_S))

    async def _stop_and_start(self) -> None:
        host = self._take_host()
        if host is None:
            return
        since_s = self.now_s()
        process = self.fleet.processes[host]
        self.stops.append((host, since_s))
        process.send_signal(signal.SIGTERM)
        await process.wait()
        await self.fleet.start(host)
        await self.fleet.wait_ready(host)
        self._release_host(host, since_s)

    async def _kill_and_start(self) -> None:
        host = self._take_host()
        if host is None:
            return
        since_s = self.now_s()
        process = self.fleet.processes[host]
        kill = Kill(host, since_s)
        self.kills.append(kill)
        process.kill()
        await process.wait()
        await asyncio.sleep(self.rng.uniform(0, 2))
        kill.started_s = self.now_s()
        await self.fleet.start(host)
        await self.fleet.wait_ready(host)
        self._release_host(host, since_s)

    async def _pause(self) -> None:
        host = self._take_host()
        if host is None:
            return
        since_s = self.now_s()
        self.fleet.processes[host].send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.3, 2.5))
        self.fleet.processes[host].send_signal(signal.SIGCONT)
        self._release_host(host, since_s)

    async def _reload(self) -> None:
        host = self._take_host()
        if host is None:
            return
        self.fleet.processes[host].send_signal(signal.SIGHUP)
        self.busy.discard(host)

    async def _change_configuration(self) -> None:
        """Withdraw the second key, or give it back."""
        if self.fleet.store.is_down:
            return
        self.version += 1
        self.has_second_key = not self.has_second_key
        keys = ['k1', 'k2'] if self.has_second_key else ['k1']
        document = configuration(self.version, api_keys=keys)
        await self.fleet.store.put('keyed.op', 'config', document)
        if self.has_second_key:
            since_s, _ = self.withdrawn.pop()
            self.withdrawn.append((since_s, self.now_s()))
        else:
            self.withdrawn.append((self.now_s(), float('inf')))

    def _leaving_target(self) -> Target | None:
        listed = [
            target
            for target in self.fleet.targets
            if target.target_id not in self.left_s
        ]
        if len(listed) <= 2 or self.fleet.store.is_down:
            return None
        target = self.rng.choice(listed)
        self.left_s[target.target_id] = self.now_s()
        return target

    async def _drain_target(self) -> None:
        target = self._leaving_target()
        if target is None:
            return
        # At times it says so in its answers before its entry does.
        if self.rng.random() < 0.5:
            target.is_leaving = True
            target.says_leaving_s = self.now_s()
            await asyncio.sleep(self.rng.uniform(0, 1))
        await self._put(target, target.entry('draining'))

    async def _pause_target(self) -> None:
        """Let a target turn requests away, and ask for quiet meanwhile."""
        target = self.rng.choice(self.fleet.targets)
        start_s = self.now_s()
        if target.paused_until_s > start_s:
            return
        target.paused_until_s = start_s + self.rng.uniform(0.5, 4)
        self.pauses.append((target.target_id, start_s, target.paused_until_s))

    async def _remove_target(self) -> None:
        """Remove a target, at times shortly after a host was refused."""
        if self.rng.random() < 0.5:
            await self._refuse_calls()
            await asyncio.sleep(self.rng.uniform(0.3, 1.2))
        target = self._leaving_target()
        if target is not None:
            await self._put(target, None)

    async def _add_target(self) -> None:
        targets = self.fleet.targets
        if len(targets) < MAX_TARGETS:
            target = Target(f't{len(targets)}', delay_s=0.1)
            target.open()
            targets.append(target)
            await self._put(target, target.entry())

    async def _send_crowd(self) -> None:
        """Let callers of one kind misbehave at a host, also while it stops."""
        host = self.rng.choice(sorted(self.fleet.processes))
        kind = self.rng.choice(sorted(CROWDS))
        since_s = self.now_s()
        one_host = OneHost(self.fleet, host)
        crowd = Crowd(CROWDS[kind].caller, CROWD_SIZE)
        callers = [
            asyncio.ensure_future(repeat(crowd, one_host, index))
            for index in range(CROWD_SIZE)
        ]
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        self.disturbed.append((host, since_s, self.now_s() + CONTACT_S))

    async def _refuse_calls(self) -> None:
        """Refuse a few hosts, while the store serves targets and others."""
        self.fleet.store.refusals_left = self.rng.randint(1, 3)

    async def _take_store_down(self) -> None:
        """Refuse calls for a moment; targets write nothing meanwhile."""
        store = self.fleet.store
        if store.is_down:
            return
        since_s = self.now_s()
        store.is_down = True
        await asyncio.sleep(self.rng.choice((0.1, 0.5, 2.5)))
        store.is_down = False
        self.disturbed.append(('store', since_s, self.now_s() + CONTACT_S))


async def run_soak(
    folder: Path, seed: int, hosts: int, seconds: float
) -> list[str]:
    """Run one seed; return the violations of the promises."""
    async with start_fleet(folder, hosts) as fleet:
        for target in fleet.targets:
            target.delay_s = 0.1
        now_s = asyncio.get_running_loop().time()
        soak = Soak(fleet, random.Random(seed), now_s + seconds)
        heartbeats = asyncio.ensure_future(soak.run_targets())
        async with asyncio.TaskGroup() as group:
            for host in fleet.processes:
                for number in range(CALLERS_PER_HOST):
                    name = f'{host}-{number}'
                    group.create_task(soak.run_caller(host, name))
            for _ in range(FAULT_SERIES):
                group.create_task(soak.run_faults())
        await soak.check_recovery()
        soak.check_memory()
        heartbeats.cancel()
        return soak.check()
