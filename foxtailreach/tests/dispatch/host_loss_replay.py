"""Replays a service whose callers leave and whose hosts are lost.

Requests at lost hosts fail without a report to the broker, and those whose
caller has left are reported as abandoned. So the broker sees fewer requests and
fewer failures than the callers.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.messages import SendOutcome
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.tests.dispatch.fixtures import (
    START_US,
    create_broker,
    grants,
    slot_report,
    slot_request,
)
from foxtailreach.tests.dispatch.load_replay import (
    RANDOM_ERROR_SHARE,
    WINDOW_S,
    healthy_targets,
    violates_floor,
)

TICK_US = 20 * MILLISECOND_US
# Brokers detect the loss of a host that holds slots within this time.
LOSS_DETECTED_US = 1750 * MILLISECOND_US
# The first window after the start, in which nothing is known of the targets.
FIRST_WINDOW_END_S = 4.0
WINDOW_STEP_S = 0.1
# A failed answer takes a millisecond.
FAILED_US = MILLISECOND_US
Periods = list[list[tuple[float, float]]]


@dataclass(slots=True, frozen=True)
class HostLossLoad:
    """Targets, requests that run once, callers that leave, and lost hosts.

    Each target fails most requests for `failing_s` of each `period_s`, with a
    phase of its own. The share `leaving_share` of the callers leaves within
    `leaves_within_s`. The hosts are lost from `lost_from_s` to `lost_to_s`; if
    `is_broker_lost`, the broker is among them. Only `counted_targets` of the
    healthy targets count; the links of the others are disturbed.
    """

    targets: int = 81
    requests_per_s: float = 165
    period_s: float = 9
    failing_s: float = 2.7
    failing_share: float = 0.85
    mean_latency_ms: int = 220
    leaving_share: float = 0.2
    leaves_within_s: float = 0.75
    lost_share: float = 0.16
    lost_from_s: float = 3.8
    lost_to_s: float = 7.3
    is_broker_lost: bool = False
    counted_targets: int = 21
    hosts: int = 135
    until_s: float = 9


@dataclass(slots=True, frozen=True)
class Request:
    """One request; `leaves_us` is when its caller leaves, 0 if it stays."""

    sent_us: int
    host: int
    leaves_us: int


@dataclass(slots=True)
class HostLossReplay:
    """Sends to targets, and which requests were not served for callers."""

    load: HostLossLoad
    failing: Periods
    sends: list[tuple[float, int]] = field(default_factory=list)
    ended: list[tuple[float, bool]] = field(default_factory=list)

    def violations(self, seed: int) -> float:
        """Return the share of windows that violate the coverage floor."""
        windows = [self._window(end_s, seed) for end_s in self._window_ends()]
        return sum(
            violates_floor(healthy, used, unserved)
            for healthy, used, unserved in windows
        ) / len(windows)

    def unserved_share(self, start_s: float, end_s: float) -> float:
        """Return the share of requests sent in a time that were not served."""
        unserved = [
            is_failed
            for sent_s, is_failed in self.ended
            if start_s <= sent_s < end_s
        ]
        return sum(unserved) / max(1, len(unserved))

    def _window_ends(self) -> list[float]:
        count = int((self.load.until_s - FIRST_WINDOW_END_S) / WINDOW_STEP_S)
        return [
            FIRST_WINDOW_END_S + step * WINDOW_STEP_S for step in range(count)
        ]

    def _window(
        self, end_s: float, seed: int
    ) -> tuple[list[int], set[int], float]:
        healthy = healthy_targets(self.failing, end_s)
        # The same targets are disturbed in all windows.
        order = random.Random(seed).sample(
            range(self.load.targets), self.load.targets
        )
        counted = sorted(healthy, key=order.index)[: self.load.counted_targets]
        start_s = end_s - WINDOW_S
        used = {
            target for sent_s, target in self.sends if start_s <= sent_s < end_s
        }
        return counted, used, self.unserved_share(start_s, end_s)


class _Events:
    """Events of one replay in virtual time, the earliest first."""

    def __init__(self, load: HostLossLoad, seed: int) -> None:
        self._load = load
        self._rng = random.Random(seed)
        self.result = HostLossReplay(load, self._draw_failing())
        self._lost = frozenset(
            self._rng.sample(
                range(load.hosts), round(load.lost_share * load.hosts)
            )
        )
        self._broker = create_broker(load.targets)
        self._has_new_broker = False
        self._is_loss_known = False
        self._ask_ids = itertools.count(1)
        self._requests: dict[int, Request] = {}
        self._reports: list[tuple[int, int, messages.SlotReport]] = []

    def run(self) -> HostLossReplay:
        """Play all events."""
        now_us = next_us = START_US
        while now_us < START_US + int(self._load.until_s * SECOND_US):
            if next_us <= now_us:
                next_us += self._draw_pause_us()
                self._send_request(now_us)
            self._lose_hosts(now_us)
            self._end_requests(now_us)
            self._start(self._broker.tick(now_us), now_us)
            upcoming_us = self._reports[0][0] if self._reports else next_us
            now_us = max(
                now_us + 1, min(next_us, upcoming_us, now_us + TICK_US)
            )
        return self.result

    def _draw_pause_us(self) -> int:
        pause_s = self._rng.expovariate(self._load.requests_per_s)
        return int(pause_s * SECOND_US)

    def _lose_hosts(self, now_us: int) -> None:
        """Replace a lost broker at once; report the other hosts later."""
        if self._load.is_broker_lost and self._is_lost_time(now_us):
            if not self._has_new_broker:
                self._has_new_broker = True
                digest = self._broker.digest(now_us)
                self._broker = create_broker(self._load.targets, now_us)
                self._broker.merge_evidence(digest, now_us)
        if self._is_lost_time(now_us - LOSS_DETECTED_US):
            if not self._is_loss_known:
                self._is_loss_known = True
                for host in self._lost:
                    effects = self._broker.host_lost(_host_id(host), now_us)
                    self._start(effects, now_us)

    def _draw_failing(self) -> Periods:
        load = self._load
        failing = []
        for _ in range(load.targets):
            phase_s = self._rng.uniform(-load.period_s, 0)
            starts = [
                phase_s + index * load.period_s
                for index in range(int(load.until_s / load.period_s) + 3)
            ]
            failing.append(
                [(start_s, start_s + load.failing_s) for start_s in starts]
            )
        return failing

    def _is_lost_time(self, now_us: int) -> bool:
        at_s = (now_us - START_US) / SECOND_US
        return self._load.lost_from_s <= at_s < self._load.lost_to_s

    def _is_lost(self, host: int, now_us: int) -> bool:
        return host in self._lost and self._is_lost_time(now_us)

    def _send_request(self, now_us: int) -> None:
        host = self._rng.randrange(self._load.hosts)
        if self._is_lost(host, now_us):
            self._record(now_us, is_failed=True)
            return
        leaves_us = 0
        if self._rng.random() < self._load.leaving_share:
            stays_s = self._rng.uniform(0, self._load.leaves_within_s)
            leaves_us = now_us + int(stays_s * SECOND_US)
        ask_id = next(self._ask_ids)
        self._requests[ask_id] = Request(now_us, host, leaves_us)
        request = slot_request(ask_id, time_left_us=4 * SECOND_US)
        effects = self._broker.request_slot(
            _host_id(host), 'd1', request, now_us
        )
        self._start(effects, now_us)

    def _start(self, effects: list[messages.SendHost], now_us: int) -> None:
        """Send the requests that were granted a slot."""
        for grant in grants(effects):
            request = self._requests[grant.ask_id]
            target = int(grant.target_id[1:])
            at_s = (now_us - START_US) / SECOND_US
            self.result.sends.append((at_s, target))
            outcome, latency_us = self._draw_outcome(target, at_s)
            ended_us = now_us + latency_us
            if request.leaves_us and request.leaves_us < ended_us:
                outcome = SendOutcome.ABANDONED
                ended_us = max(now_us, request.leaves_us)
            report = slot_report(grant, outcome, ended_us - now_us)
            heapq.heappush(self._reports, (ended_us, grant.ask_id, report))

    def _draw_outcome(
        self, target: int, at_s: float
    ) -> tuple[SendOutcome, int]:
        load = self._load
        is_failing = any(
            start_s <= at_s < stop_s
            for start_s, stop_s in self.result.failing[target]
        )
        failing_share = load.failing_share if is_failing else RANDOM_ERROR_SHARE
        if self._rng.random() < failing_share:
            return SendOutcome.FAILED, FAILED_US
        mean_us = load.mean_latency_ms * MILLISECOND_US
        return SendOutcome.SERVED, int(self._rng.gammavariate(4, mean_us / 4))

    def _end_requests(self, now_us: int) -> None:
        while self._reports and self._reports[0][0] <= now_us:
            _, ask_id, report = heapq.heappop(self._reports)
            request = self._requests.pop(ask_id)
            if self._is_lost(request.host, now_us):
                self._record(request.sent_us, is_failed=True)
                continue
            if report.outcome is not SendOutcome.ABANDONED:
                is_failed = report.outcome is not SendOutcome.SERVED
                self._record(request.sent_us, is_failed=is_failed)
            effects = self._broker.report(
                _host_id(request.host), report, now_us
            )
            self._start(effects, now_us)

    def _record(self, sent_us: int, *, is_failed: bool) -> None:
        at_s = (sent_us - START_US) / SECOND_US
        self.result.ended.append((at_s, is_failed))


def replay_host_loss(load: HostLossLoad, seed: int) -> HostLossReplay:
    """Send the requests through a broker in virtual time."""
    return _Events(load, seed).run()


def _host_id(host: int) -> str:
    return f'h{host}'
