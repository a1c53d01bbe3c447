"""Baseline routing strategies to compare the routing core with.

Both are models in virtual time: independent choice by each entry host, and
slot leases that the owner of a pool grants to entry hosts.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass, field

from foxtailreach.bench.clock import VirtualClock
from foxtailreach.bench.fleet import (
    LOCAL_DELAY_US,
    REMOTE_DELAY_US,
    ModelTarget,
)
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

MAX_SHED_RETRIES = 8
MAX_QUEUE_US = 500 * MILLISECOND_US


@dataclass(slots=True)
class BaselineCounts:
    """Latencies, refusals and costs of a baseline."""

    latencies_us: list[int] = field(default_factory=list)
    refused: int = 0
    sheds: int = 0
    messages: int = 0
    connections: set[tuple[str, str]] = field(default_factory=set)


class Baseline(VirtualClock):
    """Targets, entry hosts and arrivals; the hosts share no state."""

    def __init__(
        self,
        targets: list[ModelTarget],
        hosts: dict[str, str],
        seed: int,
    ) -> None:
        """Start with targets and a mapping of hosts to failure domains."""
        super().__init__()
        self.rng = random.Random(seed)
        self.targets = targets
        self.hosts = hosts
        self.counts = BaselineCounts()

    def schedule_arrivals(self, rate_per_s: float, until_us: int) -> None:
        """Schedule Poisson arrivals at random hosts."""
        names = list(self.hosts)

        def arrive() -> None:
            self.start_request(self.rng.choice(names))
            wait_us = self.rng.expovariate(rate_per_s) * SECOND_US
            if self.now_us + wait_us < until_us:
                self.after(wait_us, arrive)

        self.after(0, arrive)

    def start_request(self, host: str) -> None:
        """Start a request at an entry host."""
        raise NotImplementedError

    def delay_us(self, host: str, domain: str) -> int:
        """Return the one-way delay from a host to a failure domain."""
        is_local = self.hosts[host] == domain
        return LOCAL_DELAY_US if is_local else REMOTE_DELAY_US


class IndependentChoice(Baseline):
    """Each host picks the less busy of two random targets by its own counts."""

    def __init__(
        self,
        targets: list[ModelTarget],
        hosts: dict[str, str],
        seed: int,
    ) -> None:
        """Start without outstanding requests."""
        super().__init__(targets, hosts, seed)
        self._outstanding: Counter[tuple[str, str]] = Counter()
        self._running: Counter[str] = Counter()

    def start_request(self, host: str) -> None:
        """Send a request to a target that the host picks by itself."""
        self._attempt(host, self.now_us, MAX_SHED_RETRIES)

    def _attempt(self, host: str, started_us: int, retries: int) -> None:
        pair = self.rng.sample(self.targets, 2)
        target = min(pair, key=lambda one: self._outstanding[host, one.name])
        key = (host, target.name)
        self._outstanding[key] += 1
        self.counts.connections.add(key)
        delay_us = self.delay_us(host, target.domain)
        self.after(
            delay_us,
            lambda: self._reach_target(host, target, started_us, retries),
        )

    def _reach_target(
        self,
        host: str,
        target: ModelTarget,
        started_us: int,
        retries: int,
    ) -> None:
        delay_us = self.delay_us(host, target.domain)
        if self._running[target.name] >= target.slots:
            self.counts.sheds += 1
            self.after(
                delay_us,
                lambda: self._handle_shed(host, target, started_us, retries),
            )
            return
        self._running[target.name] += 1

        def served() -> None:
            self._running[target.name] -= 1
            self.after(delay_us, lambda: self._finish(host, target, started_us))

        self.after(target.service_time(self.rng), served)

    def _handle_shed(
        self,
        host: str,
        target: ModelTarget,
        started_us: int,
        retries: int,
    ) -> None:
        self._outstanding[host, target.name] -= 1
        if retries:
            self._attempt(host, started_us, retries - 1)
        else:
            self.counts.refused += 1

    def _finish(self, host: str, target: ModelTarget, started_us: int) -> None:
        self._outstanding[host, target.name] -= 1
        self.counts.latencies_us.append(self.now_us - started_us)


@dataclass(slots=True)
class LeaseOwner:
    """The owner of a pool, which grants its slots in order of arrival."""

    domain: str
    targets: list[ModelTarget]
    free_slots: list[ModelTarget] = field(default_factory=list)
    queue: deque[tuple[str, int]] = field(default_factory=deque)


class SlotLeases(Baseline):
    """Owners grant slots; entry hosts connect to targets directly.

    A host asks the owner whose pool has the fewest requests per slot, as
    reported with that owner's last grant. The one-way delay in seconds is
    added, so near pools are preferred.
    """

    def __init__(
        self,
        targets: list[ModelTarget],
        hosts: dict[str, str],
        seed: int,
    ) -> None:
        """Divide the targets into one pool per failure domain."""
        super().__init__(targets, hosts, seed)
        self._owners: dict[str, LeaseOwner] = {}
        for target in targets:
            owner = self._owners.setdefault(
                target.domain,
                LeaseOwner(target.domain, []),
            )
            owner.targets.append(target)
            owner.free_slots.extend(target for _ in range(target.slots))
        self._load_estimates: dict[tuple[str, str], float] = {}

    def start_request(self, host: str) -> None:
        """Ask the owner with the lowest cost for a slot."""
        domains = list(self._owners)
        self.rng.shuffle(domains)
        domain = min(domains, key=lambda one: self._cost(host, one))
        self.counts.messages += 1
        started_us = self.now_us
        owner = self._owners[domain]
        slots = sum(target.slots for target in owner.targets)
        estimate = self._load_estimates.get((host, domain), 0)
        self._load_estimates[host, domain] = estimate + 1 / slots
        self.after(
            self.delay_us(host, domain),
            lambda: self._request_slot(owner, host, started_us),
        )

    def _cost(self, host: str, domain: str) -> float:
        delay_s = self.delay_us(host, domain) / SECOND_US
        return self._load_estimates.get((host, domain), 0) + delay_s

    def _request_slot(
        self,
        owner: LeaseOwner,
        host: str,
        started_us: int,
    ) -> None:
        if owner.free_slots:
            self._grant_slot(owner, owner.free_slots.pop(), host, started_us)
        else:
            owner.queue.append((host, started_us))

    def _grant_slot(
        self,
        owner: LeaseOwner,
        target: ModelTarget,
        host: str,
        started_us: int,
    ) -> None:
        self.counts.messages += 1
        self.counts.connections.add((host, target.name))
        delay_us = self.delay_us(host, owner.domain)
        busy = sum(one.slots for one in owner.targets) - len(owner.free_slots)
        load = busy + len(owner.queue)
        slots = sum(one.slots for one in owner.targets)

        def granted() -> None:
            self._load_estimates[host, owner.domain] = load / slots
            self.after(delay_us, run)

        def run() -> None:
            self.after(target.service_time(self.rng), served)

        def served() -> None:
            self.after(delay_us, answered)

        def answered() -> None:
            self.counts.latencies_us.append(self.now_us - started_us)
            self.counts.messages += 1
            self.after(delay_us, lambda: self._release_slot(owner, target))

        self.after(delay_us, granted)

    def _release_slot(self, owner: LeaseOwner, target: ModelTarget) -> None:
        while owner.queue:
            host, started_us = owner.queue.popleft()
            if self.now_us - started_us < MAX_QUEUE_US:
                self._grant_slot(owner, target, host, started_us)
                return
            self.counts.refused += 1
        owner.free_slots.append(target)
