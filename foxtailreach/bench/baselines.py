"""Ways to choose a target that the routing core is compared with.

Both are models in virtual time: independent choice by each entry host, and
slot leases that a pool's owner grants to entry hosts.
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
LEASE_QUEUE_US = 500 * MILLISECOND_US


@dataclass(slots=True)
class Tally:
    """What a baseline did."""

    latencies_us: list[int] = field(default_factory=list)
    refused: int = 0
    sheds: int = 0
    messages: int = 0
    connections: set[tuple[str, str]] = field(default_factory=set)


class Baseline(VirtualClock):
    """Targets, entry hosts and arrivals without any shared state."""

    def __init__(
        self,
        targets: list[ModelTarget],
        hosts: dict[str, str],
        seed: int,
    ) -> None:
        """Take targets and a map of hosts to their failure domains."""
        super().__init__()
        self.rng = random.Random(seed)
        self.targets = targets
        self.hosts = hosts
        self.tally = Tally()

    def offer(self, rate_per_s: float, until_us: int) -> None:
        """Schedule Poisson arrivals at random hosts."""
        names = list(self.hosts)

        def arrive() -> None:
            self.start(self.rng.choice(names))
            wait_us = self.rng.expovariate(rate_per_s) * SECOND_US
            if self.now_us + wait_us < until_us:
                self.after(wait_us, arrive)

        self.after(0, arrive)

    def start(self, host: str) -> None:
        """Begin one request at an entry host."""
        raise NotImplementedError

    def delay_us(self, host: str, domain: str) -> int:
        """Return the one-way delay from a host to a failure domain."""
        same = self.hosts[host] == domain
        return LOCAL_DELAY_US if same else REMOTE_DELAY_US


class IndependentChoice(Baseline):
    """Each host takes the better of two targets by its own counts."""

    def __init__(
        self,
        targets: list[ModelTarget],
        hosts: dict[str, str],
        seed: int,
    ) -> None:
        """Start with zero outstanding requests per host and target."""
        super().__init__(targets, hosts, seed)
        self._counts: Counter[tuple[str, str]] = Counter()
        self._busy: Counter[str] = Counter()

    def start(self, host: str) -> None:
        """Send a request to a target of the host's own choice."""
        self._try(host, self.now_us, MAX_SHED_RETRIES)

    def _try(self, host: str, started_us: int, retries: int) -> None:
        pair = self.rng.sample(self.targets, 2)
        target = min(pair, key=lambda one: self._counts[host, one.name])
        key = (host, target.name)
        self._counts[key] += 1
        self.tally.connections.add(key)
        delay_us = self.delay_us(host, target.domain)
        self.after(
            delay_us,
            lambda: self._arrive(host, target, started_us, retries),
        )

    def _arrive(
        self,
        host: str,
        target: ModelTarget,
        started_us: int,
        retries: int,
    ) -> None:
        delay_us = self.delay_us(host, target.domain)
        if self._busy[target.name] >= target.slots:
            self.tally.sheds += 1
            self.after(
                delay_us,
                lambda: self._shed(host, target, started_us, retries),
            )
            return
        self._busy[target.name] += 1

        def served() -> None:
            self._busy[target.name] -= 1
            self.after(delay_us, lambda: self._done(host, target, started_us))

        self.after(target.service_time(self.rng), served)

    def _shed(
        self,
        host: str,
        target: ModelTarget,
        started_us: int,
        retries: int,
    ) -> None:
        self._counts[host, target.name] -= 1
        if retries:
            self._try(host, started_us, retries - 1)
        else:
            self.tally.refused += 1

    def _done(self, host: str, target: ModelTarget, started_us: int) -> None:
        self._counts[host, target.name] -= 1
        self.tally.latencies_us.append(self.now_us - started_us)


@dataclass(slots=True)
class LeaseOwner:
    """The owner of a pool, which grants slots in order of arrival."""

    domain: str
    targets: list[ModelTarget]
    free: list[ModelTarget] = field(default_factory=list)
    waiting: deque[tuple[str, int]] = field(default_factory=deque)


class SlotLeases(Baseline):
    """Owners grant slots; entry hosts connect to targets directly.

    A host asks the owner of the pool with the fewest requests per slot as
    told in that owner's last grant.
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
            owner.free.extend(target for _ in range(target.slots))
        self._views: dict[tuple[str, str], float] = {}

    def start(self, host: str) -> None:
        """Ask an owner for a slot."""
        domains = list(self._owners)
        self.rng.shuffle(domains)
        domain = min(domains, key=lambda one: self._cost(host, one))
        self.tally.messages += 1
        started_us = self.now_us
        owner = self._owners[domain]
        slots = sum(target.slots for target in owner.targets)
        view = self._views.get((host, domain), 0)
        self._views[host, domain] = view + 1 / slots
        self.after(
            self.delay_us(host, domain),
            lambda: self._ask(owner, host, started_us),
        )

    def _cost(self, host: str, domain: str) -> float:
        hop = self.delay_us(host, domain) / SECOND_US
        return self._views.get((host, domain), 0) + hop

    def _ask(self, owner: LeaseOwner, host: str, started_us: int) -> None:
        if owner.free:
            self._grant(owner, owner.free.pop(), host, started_us)
        else:
            owner.waiting.append((host, started_us))

    def _grant(
        self,
        owner: LeaseOwner,
        target: ModelTarget,
        host: str,
        started_us: int,
    ) -> None:
        self.tally.messages += 1
        self.tally.connections.add((host, target.name))
        delay_us = self.delay_us(host, owner.domain)
        busy = sum(one.slots for one in owner.targets) - len(owner.free)
        load = busy + len(owner.waiting)
        slots = sum(one.slots for one in owner.targets)

        def granted() -> None:
            self._views[host, owner.domain] = load / slots
            self.after(delay_us, run)

        def run() -> None:
            self.after(target.service_time(self.rng), served)

        def served() -> None:
            self.after(delay_us, answered)

        def answered() -> None:
            self.tally.latencies_us.append(self.now_us - started_us)
            self.tally.messages += 1
            self.after(delay_us, lambda: self._release(owner, target))

        self.after(delay_us, granted)

    def _release(self, owner: LeaseOwner, target: ModelTarget) -> None:
        while owner.waiting:
            host, started_us = owner.waiting.popleft()
            if self.now_us - started_us < LEASE_QUEUE_US:
                self._grant(owner, target, host, started_us)
                return
            self.tally.refused += 1
        owner.free.append(target)
