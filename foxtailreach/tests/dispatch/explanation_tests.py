"""Explanations of a placement: the same decision, and nothing changed.

Load: operators ask where requests go while the hosts are in use.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from foxtailreach.core.dispatch import messages, service_brokers
from foxtailreach.core.dispatch.broker import Standing
from foxtailreach.core.dispatch.deployment import (
    Deployment,
    RequestKind,
    TargetSpec,
)
from foxtailreach.core.dispatch.explanation import explain_placement
from foxtailreach.core.dispatch.messages import SendOutcome
from foxtailreach.core.dispatch.placement_messages import (
    MAX_CANDIDATES,
    CandidateFlag,
    Decision,
    PlacementReport,
)
from foxtailreach.core.dispatch.pool_messages import (
    PoolStatus,
    SlotReferral,
    SlotScope,
)
from foxtailreach.core.dispatch.service_brokers import (
    Requester,
    ServiceBrokers,
)
from foxtailreach.core.dispatch.target_record import TargetStatus
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.rpc.fleet import FLEET_CODEC
from foxtailreach.tests.dispatch.fixtures import (
    RETRY_POLICY,
    SERVICE,
    START_US,
    slot_report,
    slot_request,
    spec,
)
from foxtailreach.tests.dispatch.state_dump import dump_state

REQUESTER = Requester('h1', 'd1', Standing(is_sole=True, is_settled=True))
ASK_ID = 1_000_000
MAX_MESSAGE_BYTES = 1200


def create_brokers(
    targets: list[TargetSpec],
    evacuated: frozenset[str] = frozenset(),
    seed: int = 1,
) -> ServiceBrokers:
    """Create the brokers of one host."""
    brokers = ServiceBrokers(
        RETRY_POLICY, random.Random(seed), prefers_own_domain=True
    )
    deployment = Deployment(1, services={'svc': SERVICE})
    brokers.update(deployment, targets, evacuated, START_US)
    return brokers


def ask(
    brokers: ServiceBrokers, request: messages.SlotRequest, now_us: int
) -> messages.FleetMessage | None:
    """Return the reply to a request; None if it has none yet."""
    for effect in brokers.request_slot(REQUESTER, request, now_us):
        if getattr(effect.message, 'ask_id', None) == request.ask_id:
            return effect.message
    return None


def report(
    brokers: ServiceBrokers,
    grant: messages.FleetMessage | None,
    outcome: SendOutcome = SendOutcome.SERVED,
    now_us: int = START_US,
    pool: str = 'svc',
    **changes: object,
) -> None:
    """Report the outcome of a granted request."""
    assert isinstance(grant, messages.SlotGrant)
    known = replace(
        slot_report(grant, outcome, 1000),
        service_name=pool,
        **changes,  # type: ignore[arg-type]
    )
    brokers.report('h1', known, now_us)


def decision_of(reply: messages.FleetMessage | None) -> tuple[object, ...]:
    """Return what a reply decides."""
    match reply:
        case messages.SlotGrant():
            return Decision.GRANTED, reply.target_id
        case messages.SlotRefused():
            return Decision.REFUSED, reply.cause, reply.retry_after_us
        case SlotReferral():
            return Decision.REFERRED, reply.domain, reply.is_final
        case _:
            return (Decision.QUEUED,)


def explained_decision(explained: PlacementReport) -> tuple[object, ...]:
    """Return what a report says that a request would get."""
    match explained.decision:
        case Decision.GRANTED:
            return Decision.GRANTED, explained.target_id
        case Decision.REFUSED:
            return Decision.REFUSED, explained.cause, explained.retry_after_us
        case Decision.REFERRED:
            return Decision.REFERRED, explained.domain, explained.is_final
        case _:
            return (explained.decision,)


def explain_then_ask(
    brokers: ServiceBrokers, request: messages.SlotRequest, now_us: int
) -> PlacementReport:
    """Explain a request and send it; compare decisions and states."""
    before = dump_state(brokers)
    explained = explain_placement(brokers, REQUESTER, request, now_us)
    assert dump_state(brokers) == before
    reply = ask(brokers, request, now_us)
    if isinstance(reply, messages.SlotGrant):
        # The comparison above can tell states apart.
        assert dump_state(brokers) != before
    assert explained_decision(explained) == decision_of(reply)
    return explained


def untouched(**changes: object) -> ServiceBrokers:
    """Brokers without evidence on four targets."""
    return create_brokers([spec(index, **changes) for index in range(4)])


def proven() -> ServiceBrokers:
    """Four targets succeeded, the last one failed then."""
    brokers = untouched()
    granted = [
        ask(brokers, slot_request(ask_id), START_US) for ask_id in range(8)
    ]
    for grant in granted:
        report(brokers, grant)
    last = ask(brokers, slot_request(8), START_US)
    report(brokers, last, SendOutcome.FAILED)
    return brokers


def full(requests: int) -> ServiceBrokers:
    """Requests take all eight slots, and others wait."""
    brokers = untouched()
    for ask_id in range(requests):
        ask(brokers, slot_request(ask_id, customer='c2'), START_US)
    return brokers


def paused() -> ServiceBrokers:
    """All targets have asked for a pause."""
    brokers = untouched()
    granted = [
        ask(brokers, slot_request(ask_id), START_US) for ask_id in range(8)
    ]
    for grant in granted:
        report(brokers, grant, pause_us=SECOND_US)
    return brokers


def crashed() -> ServiceBrokers:
    """A request has crashed three targets."""
    brokers = untouched()
    for ask_id in range(3):
        grant = ask(brokers, slot_request(ask_id, fingerprint=7), START_US)
        report(brokers, grant, SendOutcome.LOST, fingerprint=7)
    return brokers


def without_room() -> ServiceBrokers:
    """The pool of one domain is full; the other has slots to spare."""
    brokers = create_brokers(
        [spec(index, domain=f'd{1 + index // 4}') for index in range(8)]
    )
    request = slot_request(0, service_name='svc@d1')
    granted = [
        ask(brokers, replace(request, ask_id=ask_id), START_US)
        for ask_id in range(8)
    ]
    for grant in granted:
        report(brokers, grant, pool='svc@d1')
    for ask_id in range(8, 17):
        ask(brokers, replace(request, ask_id=ask_id), START_US)
    ask(
        brokers,
        replace(request, ask_id=17, scope=SlotScope.OWN),
        START_US,
    )
    brokers.merge_remote(PoolStatus('svc@d2', 3), START_US)
    return brokers


OWN_POOL: dict[str, object] = {'service_name': 'svc@d1', 'scope': SlotScope.OWN}
OVERFLOW: dict[str, object] = {
    'service_name': 'svc@d1',
    'scope': SlotScope.OVERFLOW,
}
CASES: list[
    tuple[str, Callable[[], ServiceBrokers], dict[str, object], str]
] = [
    ('untouched', untouched, {}, 'granted'),
    ('proven', proven, {}, 'granted'),
    (
        'probe',
        proven,
        {'kind': RequestKind.IDEMPOTENT, 'may_repeat': True},
        'granted',
    ),
    ('connected', proven, {'connected': ('t2',)}, 'granted'),
    ('excluded', untouched, {'excluded': ('t0', 't1', 't2')}, 'granted'),
    ('warming-up', lambda: untouched(warm_up_left_us=SECOND_US), {}, 'granted'),
    ('queued', lambda: full(9), {'customer': 'c1'}, 'queued'),
    (
        'overload',
        lambda: full(40),
        {'time_left_us': SECOND_US, 'customer': 'c2'},
        'refused',
    ),
    ('draining', lambda: untouched(is_draining=True), {}, 'refused'),
    ('paused', paused, {}, 'refused'),
    ('quarantined', crashed, {'fingerprint': 7}, 'refused'),
    ('not-configured', untouched, {'service_name': 'none'}, 'refused'),
    ('referred', without_room, OWN_POOL, 'referred'),
    ('no-spare', without_room, OVERFLOW, 'refused'),
]


@pytest.mark.parametrize(
    ('create', 'changes', 'decision'),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_explanation_is_the_decision_on_the_next_request(
    create: Callable[[], ServiceBrokers],
    changes: dict[str, object],
    decision: str,
) -> None:
    """Guards against an explanation that differs, or that changes a state."""
    request = slot_request(ASK_ID, **changes)
    explained = explain_then_ask(create(), request, START_US + MILLISECOND_US)
    assert explained.decision.value == decision


@pytest.mark.parametrize('is_divided', [False, True])
@pytest.mark.parametrize('seed', range(5))
def test_explanations_agree_in_random_states(
    seed: int, *, is_divided: bool
) -> None:
    """Guards against state that a trial shares with the broker.

    Requests of three customers for 110% of the slots, of which a third fail.
    """
    rng = random.Random(seed)
    brokers = create_brokers(
        [spec(index, domain=f'd{1 + index % 2}') for index in range(12)],
        seed=seed,
    )
    pool = 'svc@d1' if is_divided else 'svc'
    now_us = START_US
    held: list[tuple[int, messages.SlotGrant]] = []
    decisions = set()
    for ask_id in range(ASK_ID, ASK_ID + 120):
        now_us += rng.randrange(20 * MILLISECOND_US)
        request = slot_request(
            ask_id,
            service_name=pool,
            scope=rng.choice(list(SlotScope))
            if is_divided
            else SlotScope.FINAL,
            kind=rng.choice(list(RequestKind)),
            may_repeat=rng.random() < 0.5,
            is_repeat=rng.random() < 0.1,
            customer=rng.choice('abc'),
            priority=rng.randrange(2),
            time_left_us=rng.randrange(SECOND_US, 4 * SECOND_US),
            request_class=1 + rng.randrange(3),
        )
        explained = explain_then_ask(brokers, request, now_us)
        decisions.add(explained.decision)
        sent = brokers.tick(lambda pool: (), lambda pool: '', now_us)
        new = [effect.message for effect in sent]
        if explained.decision is Decision.GRANTED:
            new.append(ask(brokers, request, now_us))  # type: ignore[arg-type]
        held.extend(
            (now_us + rng.randrange(250 * MILLISECOND_US), message)
            for message in new
            if isinstance(message, messages.SlotGrant)
        )
        for ends_us, grant in list(held):
            if ends_us < now_us:
                held.remove((ends_us, grant))
                is_served = int(grant.target_id[1:]) % 3 or rng.random() < 0.2
                outcome = (
                    SendOutcome.SERVED if is_served else SendOutcome.FAILED
                )
                report(brokers, grant, outcome, now_us, pool)
    assert len(decisions) > 1


def test_candidates_say_what_speaks_against_them() -> None:
    """Guards against a list that does not show why a target is not used."""
    targets = [
        spec(0),
        spec(1, is_draining=True),
        spec(2, domain='d2'),
        spec(3, warm_up_left_us=9 * SECOND_US),
        spec(4),
    ]
    brokers = create_brokers(targets, frozenset(('d2',)))
    request = slot_request(ASK_ID, connected=('t0',), excluded=('t4',))
    explained = explain_placement(brokers, REQUESTER, request, START_US)
    flags = {one.target_id: one.flags for one in explained.candidates}
    assert flags == {
        't0': CandidateFlag.CHOSEN | CandidateFlag.CONNECTED,
        't1': CandidateFlag.DRAINING | CandidateFlag.UNUSABLE,
        't2': CandidateFlag.EVACUATED | CandidateFlag.UNUSABLE,
        't3': CandidateFlag.WARMING_UP,
        't4': CandidateFlag.EXCLUDED,
    }
    assert explained.candidates[0].target_id == explained.target_id == 't0'
    assert explained.rule == 'unproven'


def test_candidates_show_evidence_and_slots() -> None:
    """Guards against evidence of another target or a wrong age."""
    brokers = proven()
    now_us = START_US + SECOND_US
    explained = explain_placement(
        brokers, REQUESTER, slot_request(ASK_ID), now_us
    )
    by_status = {one.status: one for one in explained.candidates}
    failed = by_status[TargetStatus.EJECTED]
    assert (failed.served_age_ms, failed.failed_age_ms) == (1000, 1000)
    succeeded = by_status[TargetStatus.PROVEN]
    assert (succeeded.served_age_ms, succeeded.failed_age_ms) == (1000, -1)
    assert (succeeded.granted, succeeded.slots) == (0, 2)


def test_large_state_is_not_copied(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a broker that other hosts suspect while it copies."""
    monkeypatch.setattr(service_brokers, 'MAX_COPIED_REQUESTS', 43)
    request = slot_request(ASK_ID)
    explained = explain_placement(full(20), REQUESTER, request, START_US)
    assert explained.decision is Decision.TOO_LARGE
    explained = explain_placement(full(19), REQUESTER, request, START_US)
    assert explained.decision is Decision.QUEUED


def test_queue_shows_its_wait() -> None:
    """Guards against a wait of 0 while requests wait."""
    explained = explain_placement(
        full(20), REQUESTER, slot_request(ASK_ID, customer='c2'), START_US
    )
    assert explained.queued == 12
    assert explained.queued_work_us == 12 * explained.work_us
    assert explained.wait_us > explained.work_us
    assert explained.room == 8


@pytest.mark.parametrize(
    ('targets', 'id_length', 'listed'),
    [(5, 8, 5), (40, 8, MAX_CANDIDATES), (40, 36, 10), (40, 100, 6)],
)
def test_report_fits_into_one_message(
    targets: int, id_length: int, listed: int
) -> None:
    """Guards against large messages between failure domains."""
    specs = [
        spec(
            index,
            target_id=f't{index}'.ljust(id_length, 'x'),
            domain='domain-north-1'[: id_length // 2],
        )
        for index in range(targets)
    ]
    brokers = create_brokers(specs)
    explained = replace(
        explain_placement(
            brokers, REQUESTER, slot_request(ASK_ID * ASK_ID), START_US
        ),
        config_version=2**40,
        config_age_us=10 * SECOND_US,
        targets_version=2**50,
        state_age_us=10 * SECOND_US,
    )
    rest = explained.rest
    assert len(explained.candidates) == listed
    assert rest.unproven == targets - listed
    payload = FLEET_CODEC.encode(explained)
    assert len(payload) <= MAX_MESSAGE_BYTES
    assert FLEET_CODEC.decode(payload[4:]) == explained
