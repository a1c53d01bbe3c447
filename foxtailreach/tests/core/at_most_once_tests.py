"""Non-idempotent requests run at most once, and verdicts are always true."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace
from functools import partial

from hypothesis import given
from hypothesis import strategies as st

from foxtailreach.bench.deployments import key_of, load_deployment
from foxtailreach.bench.fleet import Fleet, ModelTarget
from foxtailreach.bench.routing import without_limits
from foxtailreach.config.objects import Objects
from foxtailreach.core import effects, events, messages
from foxtailreach.core.entry import request_of_handoff
from foxtailreach.core.events import AttemptOutcome
from foxtailreach.core.verdict import Verdict

HOSTS = 4
REQUESTS = 30
SECOND_US = 1_000_000


class ChaosFleet(Fleet):
    """A fleet with random faults of the network and the targets."""

    def __init__(self, objects: Objects, chaos: random.Random) -> None:
        super().__init__(objects, seed=1)
        self.chaos = chaos
        self.is_chaotic = False

    def _send(
        self,
        sender: str,
        receiver: str,
        message: messages.PeerMessage,
    ) -> None:
        if not self.is_chaotic or isinstance(message, messages.LogBatch):
            super()._send(sender, receiver, message)
            return
        event = events.PeerReceived(sender, message)
        match self.chaos.randrange(12):
            case 0:
                disconnected = events.PeerDisconnected(receiver)
                self.after(500, lambda: self.post(sender, disconnected))
            case 1:
                unsent = events.PeerUnsent(receiver, message)
                self.after(500, lambda: self.post(sender, unsent))
            case 2:
                for delay_us in (200, 40_000):
                    self.after(delay_us, lambda: self.post(receiver, event))
            case 3:
                delay_us = self.chaos.randrange(2 * SECOND_US)
                self.after(delay_us, lambda: self.post(receiver, event))
            case 4:
                super()._send(sender, receiver, message)
                disconnected = events.PeerDisconnected(receiver)
                self.after(900, lambda: self.post(sender, disconnected))
            case _:
                super()._send(sender, receiver, message)

    def _arrive(
        self,
        host_id: str,
        start: effects.StartAttempt,
        target: ModelTarget,
        delay_us: int,
    ) -> None:
        fault = self.chaos.randrange(10) if self.is_chaotic else 9
        outcomes = {
            0: AttemptOutcome.CONNECT_FAILED,
            1: AttemptOutcome.CONNECTION_LOST,
            2: AttemptOutcome.PARTIAL,
            3: AttemptOutcome.TIMEOUT,
        }
        if fault not in outcomes:
            super()._arrive(host_id, start, target, delay_us)
            return
        outcome = outcomes[fault]
        if outcome is not AttemptOutcome.CONNECT_FAILED:
            target.runs.append(
                (self.now_us, start.head.request_id, start.customer),
            )
        if outcome is AttemptOutcome.PARTIAL:
            self.post(host_id, events.AttemptHead(start.attempt_id, 200))
            started_id = request_of_handoff(start.head.request_id)
            self.post(start.origin, events.AnswerStarted(started_id))
        self._finish_later(host_id, start.attempt_id, delay_us, outcome)


@given(chaos=st.randoms(use_true_random=False))
def test_non_idempotent_requests_run_at_most_once(chaos: random.Random) -> None:
    objects = without_limits(load_deployment('scara'))
    fleet = ChaosFleet(objects, chaos)
    fleet.add_hosts(HOSTS)
    fleet.run_until(4 * SECOND_US)
    fleet.is_chaotic = True
    sent: dict[str, tuple[str, str]] = {}
    customers = list(objects.customers)
    for _ in range(REQUESTS):
        fleet.run_until(fleet.now_us + chaos.randrange(40_000))
        host_id = chaos.choice(list(fleet.nodes))
        customer = chaos.choice(customers)
        method = chaos.choice(('GET', 'POST', 'POST'))
        request_id = fleet.request(
            host_id,
            key_of(customer),
            '/stoc/a',
            method,
        )
        sent[request_id] = (method, customer)
        if chaos.random() < 0.1:
            caller_left = events.CallerDisconnected(request_id)
            fleet.after(5000, partial(fleet.post, host_id, caller_left))
    fleet.run_until(fleet.now_us + 15 * SECOND_US)
    runs: Counter[str] = Counter()
    for target in fleet.targets.values():
        for _, handoff_id, customer in target.runs:
            request_id = request_of_handoff(handoff_id)
            runs[request_id] += 1
            assert sent[request_id][1] == customer
    run_twice = [
        request_id
        for request_id, (method, _) in sent.items()
        if method == 'POST' and runs[request_id] > 1
    ]
    assert not run_twice
    answers = Counter(answer.request_id for answer in fleet.answers)
    assert all(count == 1 for count in answers.values())
    for answer in fleet.answers:
        if answer.verdict == Verdict.NOT_RUN.value:
            assert not runs[answer.request_id]
        if answer.verdict == Verdict.RAN.value:
            assert runs[answer.request_id]


def test_stale_result_starts_no_second_run() -> None:
    objects = without_limits(load_deployment('scara'))
    fleet = Fleet(replace(objects), seed=3)
    fleet.add_hosts(HOSTS)
    fleet.run_until(4 * SECOND_US)
    customer = next(iter(objects.customers))
    request_id = fleet.request(
        'host-0000',
        key_of(customer),
        '/stoc/a',
        'POST',
    )
    fleet.run_until(fleet.now_us + 1000)
    refusal = messages.HandoffResult(f'{request_id}.1', Verdict.NOT_RUN, None)
    stale = messages.HandoffResult(f'{request_id}.0', Verdict.NOT_RUN, None)
    pending_request = fleet.nodes['host-0000'].entry.pending.get(request_id)
    assert pending_request is not None
    handoffs = pending_request.handoffs
    fleet.post('host-0000', events.PeerReceived('host-0001', stale))
    assert pending_request.handoffs == handoffs
    fleet.post('host-0000', events.PeerReceived('host-0001', refusal))
    fleet.post('host-0000', events.PeerReceived('host-0001', refusal))
    assert pending_request.handoffs == handoffs + 1
