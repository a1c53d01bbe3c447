"""Simulates a fleet in virtual time.

The nodes run the real core. The network is simulated by delays, lost messages
and cut links, and targets by a model; there are no sockets.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from foxtailreach.bench.clock import VirtualClock
from foxtailreach.config.objects import ChangeSet, Objects
from foxtailreach.config.records import ChangeRecord, encode_record
from foxtailreach.core import effects, events, messages
from foxtailreach.core.events import AttemptOutcome
from foxtailreach.core.node import TICK_INTERVAL_US, Node, NodeConfig
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

LOCAL_DELAY_US = 150
REMOTE_DELAY_US = 1500
CONNECT_TIMEOUT_US = 400 * MILLISECOND_US
LOG_DELAY_US = 5 * MILLISECOND_US
MEAN_SERVICE_US = 20 * MILLISECOND_US
ERROR_STATUS = 500
SHED_STATUS = 503
OK_STATUS = 200

ServiceTime = Callable[[random.Random], float]


def exponential_service(rng: random.Random) -> float:
    """Draw a service time in us, exponential with mean MEAN_SERVICE_US."""
    return rng.expovariate(1 / MEAN_SERVICE_US)


@dataclass(slots=True)
class ModelTarget:
    """A simulated target, and a record of the requests that it ran.

    `in_flight` holds (host, attempt id), `runs` (time in us, request id,
    customer). `max_over_capacity` is the largest number of requests above the
    capacity at any time, and `unreachable_from` names the failure domains
    whose hosts cannot connect.
    """

    name: str
    domain: str
    slots: int
    service_time: ServiceTime = exponential_service
    slow_factor: float = 1
    error_ratio: float = 0
    is_hanging: bool = False
    is_refusing: bool = False
    warm_at_us: int = 0
    cold_slots: int = 1
    crash_path: str = ''
    crashed_until_us: int = 0
    unreachable_from: frozenset[str] = frozenset()
    in_flight: set[tuple[str, int]] = field(default_factory=set)
    max_over_capacity: int = 0
    sheds: int = 0
    crashes: int = 0
    runs: list[tuple[int, str, str]] = field(default_factory=list)

    def capacity(self, now_us: int) -> int:
        """Return how many requests the target can run at once."""
        return self.cold_slots if now_us < self.warm_at_us else self.slots


@dataclass(slots=True, frozen=True)
class Answered:
    """The outcome of a caller's request; `customer` holds the API key."""

    request_id: str
    customer: str
    started_us: int
    latency_us: int
    refusal: str = ''
    verdict: str = ''


@dataclass(slots=True)
class Counters:
    """Totals over a simulation.

    `messages_by_type` counts messages between hosts, `connections` holds
    (host, target) and `ejections` (time in us, target, detail).
    """

    messages_by_type: Counter[str] = field(default_factory=Counter)
    attempts: int = 0
    sheds: int = 0
    connections: set[tuple[str, str]] = field(default_factory=set)
    ejections: list[tuple[int, str, str]] = field(default_factory=list)


class Fleet(VirtualClock):
    """A simulated fleet: nodes, targets, the log and a clock."""

    def __init__(self, objects: Objects, seed: int) -> None:
        """Create the targets of a configuration; see `add_hosts`."""
        super().__init__()
        self.rng = random.Random(seed)
        self.objects = objects
        self.nodes: dict[str, Node] = {}
        self.domains: dict[str, str] = {}
        self.answers: list[Answered] = []
        self.counters = Counters()
        self.log: list[bytes] = []
        self.is_log_unavailable = False
        self.hosts_without_log: set[str] = set()
        self.stopping: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()
        self.paused: set[str] = set()
        self.loss_ratio = 0.0
        self.on_message: Callable[[messages.PeerMessage], None] | None = None
        self._requests: dict[str, tuple[int, str]] = {}
        self._request_ids = itertools.count(1)
        self.targets = {
            name: ModelTarget(name, target.domain, target.slots)
            for name, target in objects.targets.items()
        }
        change = ChangeSet('initial', 0, objects)
        self.log.append(encode_record(ChangeRecord(change)))

    def add_hosts(self, count: int) -> None:
        """Start hosts, spread evenly over the failure domains."""
        domains = sorted(self.objects.domains)
        for index in range(count):
            self.add_host(f'host-{index:04}', domains[index % len(domains)])
        self.deliver_host_list()
        for host_id in list(self.nodes):
            self._schedule_tick(host_id)
            self._read_log(host_id)

    def add_host(self, host_id: str, domain: str) -> Node:
        """Create a node; its ticks and log reads are not started."""
        config = NodeConfig(host_id, domain, incarnation=self.now_us + 1)
        rng = random.Random(self.rng.getrandbits(32))
        node = Node.from_config(config, rng, self.now_us)
        self.nodes[host_id] = node
        self.domains[host_id] = domain
        return node

    def replace_host(self, host_id: str) -> Node:
        """Start a new process under the id of an earlier host."""
        node = self.add_host(host_id, self.domains[host_id])
        self.deliver_host_list()
        self._schedule_tick(host_id)
        self._read_log(host_id)
        return node

    def kill_host(self, host_id: str, list_lag_us: int) -> None:
        """End a host at once; the host list is updated after `list_lag_us`."""
        self.nodes.pop(host_id)
        self.at(self.now_us + list_lag_us, self.deliver_host_list)

    def deliver_host_list(self) -> None:
        """Deliver the platform's host list to every node."""
        hosts = tuple(
            messages.HostEntry(host_id, self.domains[host_id], '', 1)
            for host_id in sorted(self.nodes)
        )
        for host_id in list(self.nodes):
            self.post(host_id, events.HostsListed(hosts))

    def stop_host(self, host_id: str) -> None:
        """Stop a host gracefully; it ends when its requests are complete."""
        self.stopping.add(host_id)
        self.post(host_id, events.StopRequested())

    @property
    def entry_hosts(self) -> list[str]:
        """Hosts that get new requests from callers."""
        return [name for name in self.nodes if name not in self.stopping]

    @property
    def unanswered(self) -> list[str]:
        """Ids of the requests without an answer so far."""
        return list(self._requests)

    def publish(self, change: ChangeSet) -> None:
        """Append a change set to the log."""
        self._append_to_log(encode_record(ChangeRecord(change)))

    def request(
        self,
        host_id: str,
        key: str,
        path: str,
        method: str = 'GET',
        fingerprint: int | None = None,
    ) -> str:
        """Send a request from a caller to a host now; return its id."""
        number = next(self._request_ids)
        request_id = f'{host_id}-{number}'
        head = messages.RequestHead(request_id, method, path)
        request_fingerprint = number if fingerprint is None else fingerprint
        self._requests[request_id] = (self.now_us, key)
        self.post(host_id, events.CallerRequest(head, key, request_fingerprint))
        return request_id

    def post(self, host_id: str, event: events.Event) -> None:
        """Deliver an event to a node and apply the effects.

        A paused host gets its events late, once it is no longer paused.
        """
        node = self.nodes.get(host_id)
        if node is None:
            return
        if host_id in self.paused:
            self.at(
                self.now_us + TICK_INTERVAL_US,
                lambda: self.post(host_id, event),
            )
            return
        for effect in node.handle(event, self.now_us):
            self._apply_effect(host_id, effect)

    def _apply_effect(self, host_id: str, effect: effects.Effect) -> None:
        match effect:
            case effects.SendPeer(host_id=receiver, message=message):
                self._send(host_id, receiver, message)
            case effects.StartAttempt():
                self._start_attempt(host_id, effect)
            case effects.CancelAttempt(attempt_id=attempt_id):
                self._end_attempt(
                    host_id,
                    attempt_id,
                    AttemptOutcome.CANCELLED,
                )
            case effects.AppendRecord(payload=payload):
                if host_id not in self.hosts_without_log:
                    self._append_to_log(payload)
            case effects.Stopped():
                self.after(0, lambda: self.kill_host(host_id, SECOND_US))
            case effects.Note(name='target-ejected') as note:
                self.counters.ejections.append(
                    (self.now_us, note.subject, note.detail),
                )
            case effects.RefuseRequest(request_id=request_id, refusal=refusal):
                self._record_answer(
                    request_id,
                    refusal.reason.value,
                    refusal.verdict.value,
                )
            case effects.FinishRequest(request_id=request_id, verdict=verdict):
                self._record_answer(request_id, '', verdict.value)
            case _:
                return

    def _record_answer(
        self,
        request_id: str,
        refusal: str,
        verdict: str,
    ) -> None:
        started_us, customer = self._requests.pop(request_id)
        self.answers.append(
            Answered(
                request_id,
                customer,
                started_us,
                self.now_us - started_us,
                refusal,
                verdict,
            ),
        )

    def _send(
        self,
        sender: str,
        receiver: str,
        message: messages.PeerMessage,
    ) -> None:
        self.counters.messages_by_type[type(message).__name__] += 1
        if self.on_message is not None:
            self.on_message(message)
        if (sender, receiver) in self.cut_links:
            return
        if self.loss_ratio and self.rng.random() < self.loss_ratio:
            return
        if receiver not in self.nodes:
            self.at(
                self.now_us + CONNECT_TIMEOUT_US,
                lambda: self.post(sender, events.PeerUnsent(receiver, message)),
            )
            return
        delay_us = self._delay_us(self.domains[sender], self.domains[receiver])
        event = events.PeerReceived(sender, message)
        self.at(self.now_us + delay_us, lambda: self.post(receiver, event))

    def _delay_us(self, origin: str, destination: str) -> int:
        return LOCAL_DELAY_US if origin == destination else REMOTE_DELAY_US

    def _start_attempt(self, host_id: str, start: effects.StartAttempt) -> None:
        self.counters.attempts += 1
        self.counters.connections.add((host_id, start.target))
        target = self.targets[start.target]
        domain = self.domains[host_id]
        delay_us = self._delay_us(domain, target.domain)
        if domain in target.unreachable_from:
            self._finish_later(
                host_id,
                start.attempt_id,
                CONNECT_TIMEOUT_US,
                AttemptOutcome.CONNECT_FAILED,
            )
            return
        self.at(
            self.now_us + delay_us,
            lambda: self._arrive(host_id, start, target, delay_us),
        )

    def _arrive(
        self,
        host_id: str,
        start: effects.StartAttempt,
        target: ModelTarget,
        delay_us: int,
    ) -> None:
        if target.is_refusing or self.now_us < target.crashed_until_us:
            outcome = AttemptOutcome.CONNECT_FAILED
            self._finish_later(host_id, start.attempt_id, delay_us, outcome)
            return
        excess = len(target.in_flight) + 1 - target.capacity(self.now_us)
        target.max_over_capacity = max(target.max_over_capacity, excess)
        if excess > 0:
            target.sheds += 1
            self.counters.sheds += 1
            self._head_later(host_id, start.attempt_id, delay_us, SHED_STATUS)
            return
        running = (host_id, start.attempt_id)
        target.in_flight.add(running)
        target.runs.append(
            (self.now_us, start.head.request_id, start.customer),
        )
        if target.crash_path and target.crash_path in start.head.path:
            self._crash(target, delay_us)
            return
        if target.is_hanging:
            return
        service_us = target.service_time(self.rng) * target.slow_factor
        self.at(
            self.now_us + service_us,
            lambda: self._complete(host_id, start.attempt_id, target, delay_us),
        )

    def _complete(
        self,
        host_id: str,
        attempt_id: int,
        target: ModelTarget,
        delay_us: int,
    ) -> None:
        running = (host_id, attempt_id)
        if running not in target.in_flight:
            return
        target.in_flight.discard(running)
        status = OK_STATUS
        if self.rng.random() < target.error_ratio:
            status = ERROR_STATUS
        self._head_later(host_id, attempt_id, delay_us, status)

    def _crash(self, target: ModelTarget, delay_us: int) -> None:
        target.crashes += 1
        target.crashed_until_us = self.now_us + SECOND_US
        target.warm_at_us = target.crashed_until_us + SECOND_US
        lost_attempts, target.in_flight = target.in_flight, set()
        for host_id, attempt_id in lost_attempts:
            self._finish_later(
                host_id,
                attempt_id,
                delay_us,
                AttemptOutcome.CONNECTION_LOST,
            )

    def _head_later(
        self,
        host_id: str,
        attempt_id: int,
        delay_us: int,
        status: int,
    ) -> None:
        def deliver() -> None:
            self.post(host_id, events.AttemptHead(attempt_id, status))
            self._end_attempt(host_id, attempt_id, AttemptOutcome.COMPLETE)

        self.at(self.now_us + delay_us, deliver)

    def _finish_later(
        self,
        host_id: str,
        attempt_id: int,
        delay_us: int,
        outcome: AttemptOutcome,
    ) -> None:
        self.at(
            self.now_us + delay_us,
            lambda: self._end_attempt(host_id, attempt_id, outcome),
        )

    def _end_attempt(
        self,
        host_id: str,
        attempt_id: int,
        outcome: AttemptOutcome,
    ) -> None:
        was_sent = outcome is not AttemptOutcome.CONNECT_FAILED
        if outcome is AttemptOutcome.CANCELLED:
            for target in self.targets.values():
                target.in_flight.discard((host_id, attempt_id))
        self.post(
            host_id,
            events.AttemptEnded(attempt_id, outcome, was_sent),
        )

    def _append_to_log(self, payload: bytes) -> None:
        if self.is_log_unavailable:
            return
        self.log.append(payload)

    def _read_log(self, host_id: str) -> None:
        node = self.nodes.get(host_id)
        if node is None:
            return
        if self.is_log_unavailable or host_id in self.hosts_without_log:
            self.post(host_id, events.LogFailed())
        else:
            offset = node.fold.next_offset
            records = tuple(
                messages.LogRecord(offset + index, payload)
                for index, payload in enumerate(self.log[offset:])
            )
            event = events.LogRead(records, 0, len(self.log))
            self.at(
                self.now_us + LOG_DELAY_US,
                lambda: self.post(host_id, event),
            )
        self.at(
            self.now_us + node.poll_interval_factor() * SECOND_US // 2,
            lambda: self._read_log(host_id),
        )

    def _schedule_tick(self, host_id: str) -> None:
        node = self.nodes.get(host_id)

        def tick() -> None:
            if self.nodes.get(host_id) is node:
                self.post(host_id, events.Tick())
                self.at(self.now_us + TICK_INTERVAL_US, tick)

        offset_us = self.rng.randrange(TICK_INTERVAL_US)
        self.at(self.now_us + offset_us, tick)
