"""State machine test of a pool.

Requests, outcomes, ejections, time and configuration changes come in any
order. The floor must hold, no target may exceed its slots and each request
must end exactly once.
"""

from __future__ import annotations

import itertools
import random
from ipaddress import IPv4Address

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from foxtailreach.config.objects import Service, Target
from foxtailreach.core import effects, messages
from foxtailreach.core.crashes import CrashTracker
from foxtailreach.core.events import AttemptOutcome
from foxtailreach.core.pool.ejection import floor_targets, healthy_targets
from foxtailreach.core.pool.owner import PoolOwner

NAMES = [f'target-{index}' for index in range(6)]
OUTCOMES = st.sampled_from(list(AttemptOutcome))


def build_target(slots: int = 2) -> Target:
    address = IPv4Address('127.0.0.1')
    return Target('service', 'domain', address, 9000, slots)


def build_handoff(
    number: int,
    customer: str = 'customer',
    method: str = 'GET',
) -> messages.Handoff:
    return messages.Handoff(
        head=messages.RequestHead(f'request-{number}.1', method, '/'),
        pool_id='service/domain/0',
        customer=customer,
        weight=1,
        duration='short',
        idempotent=method == 'GET',
        fingerprint=number,
        deadline_left_us=5_000_000,
        queue_left_us=500_000,
        origin='entry',
        forwards_left=0,
        retries_left=2,
    )


def build_owner(service: Service, names: list[str]) -> PoolOwner:
    owner = PoolOwner(
        'service/domain/0',
        service,
        CrashTracker(),
        itertools.count(1).__next__,
        random.Random(1),
        0,
    )
    owner.update_targets(service, {name: build_target() for name in names}, 0)
    return owner


class PoolMachine(RuleBasedStateMachine):
    """Runs a pool of six targets and records how each request ends."""

    @initialize(floor=st.sampled_from((0, 34, 50, 100)))
    def start(self, floor: int) -> None:
        self.now_us = 0
        self.service = Service(floor_percent=floor, cold_slots=1)
        self.owner = build_owner(self.service, NAMES)
        self.running: dict[int, str] = {}
        self.results: dict[str, int] = {}
        self.submitted = 0
        self.healthy = healthy_targets(self.owner.targets)

    def apply_effects(self, new_effects: list[effects.Effect]) -> None:
        for effect in new_effects:
            match effect:
                case effects.StartAttempt():
                    self.running[effect.attempt_id] = effect.target
                case effects.SendPeer(message=messages.HandoffResult() as end):
                    count = self.results.get(end.request_id, 0)
                    self.results[end.request_id] = count + 1

    @rule(method=st.sampled_from(('GET', 'POST')), count=st.integers(1, 8))
    def submit(self, method: str, count: int) -> None:
        for _ in range(count):
            self.submitted += 1
            handoff = build_handoff(self.submitted, method=method)
            self.apply_effects(self.owner.submit(handoff, self.now_us))

    @rule(
        data=st.data(),
        status=st.sampled_from((200, 500, 503)),
        outcome=OUTCOMES,
    )
    def end_attempt(
        self,
        data: st.DataObject,
        status: int,
        outcome: AttemptOutcome,
    ) -> None:
        if not self.running:
            return
        attempt_id = data.draw(st.sampled_from(sorted(self.running)))
        self.running.pop(attempt_id)
        if outcome in {AttemptOutcome.COMPLETE, AttemptOutcome.PARTIAL}:
            self.apply_effects(
                self.owner.attempt_head(attempt_id, status, self.now_us),
            )
        was_sent = outcome is not AttemptOutcome.CONNECT_FAILED
        self.apply_effects(
            self.owner.attempt_ended(
                attempt_id,
                outcome,
                self.now_us,
                was_sent=was_sent,
            ),
        )

    @rule(name=st.sampled_from(NAMES), count=st.integers(1, 20))
    def fail_connections(self, name: str, count: int) -> None:
        self.submit('GET', count)
        for attempt_id, target in list(self.running.items()):
            if target == name:
                self.running.pop(attempt_id)
                new_effects = self.owner.attempt_ended(
                    attempt_id,
                    AttemptOutcome.CONNECT_FAILED,
                    self.now_us,
                    was_sent=False,
                )
                self.apply_effects(new_effects)

    @rule(milliseconds=st.sampled_from((10, 100, 1000, 20_000)))
    def wait(self, milliseconds: int) -> None:
        self.now_us += milliseconds * 1000
        self.apply_effects(self.owner.tick(self.now_us))

    @rule(names=st.sets(st.sampled_from(NAMES), min_size=1))
    def configure(self, names: set[str]) -> None:
        targets = {name: build_target() for name in sorted(names)}
        new_effects = self.owner.update_targets(
            self.service, targets, self.now_us
        )
        self.apply_effects(new_effects)
        self.now_us += 200_000
        self.apply_effects(self.owner.tick(self.now_us))

    @invariant()
    def healthy_targets_never_fall_below_the_floor(self) -> None:
        if hasattr(self, 'owner'):
            floor = floor_targets(self.owner.targets, self.service)
            assert healthy_targets(self.owner.targets) >= floor

    @invariant()
    def no_target_exceeds_its_slots(self) -> None:
        if hasattr(self, 'owner'):
            for state in self.owner.targets.values():
                assert 0 <= state.in_flight <= state.target.slots

    @invariant()
    def each_request_ends_once(self) -> None:
        if hasattr(self, 'owner'):
            assert all(count == 1 for count in self.results.values())
            unfinished = self.submitted - len(self.results)
            assert unfinished == self.owner.queued + len(self.running)


TestPoolMachine = PoolMachine.TestCase
TestPoolMachine.settings = settings(max_examples=80, stateful_step_count=40)
