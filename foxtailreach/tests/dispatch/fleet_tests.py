"""Hosts as state machines: rankings, and handovers on membership changes."""

from __future__ import annotations

import random

import pytest

from foxtailreach.core import messages as core_messages
from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.deployment import (
    CustomerSpec,
    Deployment,
)
from foxtailreach.core.dispatch.fleet import FleetConfig, FleetNode
from foxtailreach.core.dispatch.host_messages import Effects
from foxtailreach.core.dispatch.pools import Pool
from foxtailreach.core.units import SECOND_US
from foxtailreach.tests.dispatch.fixtures import (
    RETRY_POLICY,
    SERVICE,
    START_US,
    grants,
    slot_request,
    spec,
)
from foxtailreach.tests.dispatch.meters_tests import POLICY as LIMIT_POLICY

Fleet = dict[str, FleetNode]
CUSTOMER = CustomerSpec('c', rate_per_s=10, burst_requests=10)
DEPLOYMENT = Deployment(1, {}, {'svc': SERVICE}, {'c': CUSTOMER})


def registrations(
    entries: list[core_messages.HostEntry],
) -> list[messages.HostAnnounced]:
    """Return the registrations of first processes."""
    return [messages.HostAnnounced(entry, 1) for entry in entries]


def create_fleet(domains: tuple[str, ...] = ('d1', 'd1')) -> Fleet:
    """Create hosts that know each other, the targets and a customer."""
    entries = [
        core_messages.HostEntry(f'h{index}', domain, f'10.0.0.{index}', 7000)
        for index, domain in enumerate(domains, start=1)
    ]
    fleet = {}
    for entry in entries:
        config = FleetConfig(entry, 1, RETRY_POLICY, LIMIT_POLICY)
        node = FleetNode.from_config(config, random.Random(1), START_US)
        node.update_hosts(registrations(entries), START_US)
        targets = [spec(index) for index in range(3)]
        node.update_state(DEPLOYMENT, targets, frozenset(), START_US)
        fleet[entry.host_id] = node
    return fleet


def test_all_hosts_rank_brokers_alike_until_one_is_suspected() -> None:
    fleet = create_fleet()
    first, second = (
        node.broker_hosts(Pool('svc'), START_US) for node in fleet.values()
    )
    assert first == second
    fleet['h1'].suspect(first[0], START_US)
    assert fleet['h1'].broker_hosts(Pool('svc'), START_US + 1) == first[1:]
    later_us = START_US + 3 * SECOND_US
    assert fleet['h1'].broker_hosts(Pool('svc'), later_us) == first


def settle(fleet: dict[str, FleetNode]) -> int:
    """Let the hosts exchange messages until they know of a whole window.

    Return the time after it, in microseconds.
    """
    now_us = START_US
    while now_us < START_US + LIMIT_POLICY.metered_us + SECOND_US:
        now_us += SECOND_US // 10
        sent = [
            (host_id, effect)
            for host_id, node in fleet.items()
            for effect in node.tick(now_us)
        ]
        while sent:
            sender, effect = sent.pop()
            if isinstance(effect, messages.SendHost):
                receiver = effect.host_id
                answers = fleet[receiver].receive(
                    sender, effect.message, now_us
                )
                sent.extend((receiver, answer) for answer in answers)
    return now_us


def copies(new_effects: Effects) -> list[tuple[str, messages.MeterCopy]]:
    """Return the copies of meters among effects, with their recipients."""
    return [
        (effect.host_id, effect.message)
        for effect in new_effects
        if isinstance(effect, messages.SendHost)
        and isinstance(effect.message, messages.MeterCopy)
    ]


def test_leaving_owner_hands_its_meter_to_the_next_owners() -> None:
    fleet = create_fleet(('d1', 'd1', 'd1'))
    settled_us = settle(fleet)
    owner_id, *next_ids = fleet['h1'].meter_hosts('c', settled_us)
    owner = fleet[owner_id]
    for ask_id in range(5):
        now_us = settled_us + ask_id * SECOND_US // 5
        request = messages.ChargeRequest(ask_id, 'c')
        owner.receive(next_ids[0], request, now_us)
    handed = copies(owner.leave(settled_us + SECOND_US))
    assert [host_id for host_id, _ in handed] == next_ids
    for _, message in handed:
        assert len(message.entries) == message.total == 5


def test_owner_copies_each_admission_to_the_second_in_rank() -> None:
    fleet = create_fleet(('d1', 'd1', 'd1'))
    settled_us = settle(fleet)
    owner_id, second_id, _ = fleet['h1'].meter_hosts('c', settled_us)
    request = messages.ChargeRequest(1, 'c')
    handed = copies(fleet[owner_id].receive('h1', request, settled_us))
    assert [host_id for host_id, _ in handed] == [second_id]
    cancel = messages.ChargeCancel(1, 'c')
    [(host_id, withdrawn)] = copies(
        fleet[owner_id].receive('h1', cancel, settled_us + 1)
    )
    assert host_id == second_id
    assert withdrawn.cancelled == (handed[0][1].entries[0].key,)


def test_host_that_does_not_hold_a_meter_admits_nothing() -> None:
    fleet = create_fleet(('d1', 'd1', 'd1'))
    third_id = fleet['h1'].meter_hosts('c', START_US)[2]
    request = messages.ChargeRequest(1, 'c')
    new_effects = fleet[third_id].receive('h1', request, START_US)
    result = messages.ChargeResult(1, messages.Admission.NOT_OWNER, 0)
    assert new_effects == [messages.SendHost('h1', result)]


def test_paused_host_ignores_charges_that_waited_for_it() -> None:
    """Their askers have asked the other host meanwhile."""
    fleet = create_fleet(('d1', 'd1', 'd1'))
    owner = fleet[fleet['h1'].meter_hosts('c', START_US)[0]]
    request = messages.ChargeRequest(1, 'c')
    resumed_us = START_US + SECOND_US
    assert not owner.receive('h1', request, resumed_us)
    owner.tick(resumed_us + 1)
    assert not owner.receive('h1', request, resumed_us + 2)
    assert owner.receive('h1', request, resumed_us + SECOND_US // 5)


@pytest.mark.parametrize('lacks', ['configuration', 'hosts'])
def test_host_that_has_just_started_admits_nothing(lacks: str) -> None:
    """Without the list of hosts, every restarted host would be an owner."""
    entry = core_messages.HostEntry('h1', 'd1', '10.0.0.1', 7000)
    config = FleetConfig(entry, 1, RETRY_POLICY, LIMIT_POLICY)
    node = FleetNode.from_config(config, random.Random(1), START_US)
    if lacks == 'configuration':
        node.update_hosts(registrations([entry]), START_US)
    else:
        node.update_state(DEPLOYMENT, [], frozenset(), START_US)
    request = messages.ChargeRequest(1, 'c')
    result = messages.ChargeResult(1, messages.Admission.NOT_OWNER, 0)
    new_effects = node.receive('h1', request, START_US)
    assert new_effects == [messages.SendHost('h1', result)]


def test_host_that_holds_no_meter_hands_nothing_over() -> None:
    """Hosts stop in turn; copies from former owners are out of date."""
    fleet = create_fleet(('d1', 'd1', 'd1', 'd1'))
    settled_us = settle(fleet)
    first_id, second_id, third_id, fourth_id = fleet['h1'].meter_hosts(
        'c', settled_us
    )
    former = fleet[third_id]
    former.tick(settled_us)
    late_us = settled_us + SECOND_US // 5
    entry = messages.MeterEntry(1, 0, is_retry=False)
    copy = messages.MeterCopy('c', (entry,), (), 0, 0)
    former.receive(first_id, copy, late_us)
    gossip_update = core_messages.HostRumor(
        fourth_id, 1, core_messages.Liveness.LEAVING
    )
    new_effects = former.receive(fourth_id, gossip_update, late_us + 1)
    new_effects += former.tick(late_us + 2)
    assert not copies(new_effects)
    # Once the second host is lost, the first copies to the third.
    fleet[first_id].receive('h1', messages.ChargeRequest(1, 'c'), late_us)
    lost = core_messages.HostRumor(second_id, 1, core_messages.Liveness.DOWN)
    handed = copies(fleet[first_id].receive('h1', lost, late_us + 3))
    assert [host_id for host_id, _ in handed] == [third_id]


def test_lost_host_returns_its_slots() -> None:
    fleet = create_fleet()
    node = fleet['h1']
    for ask_id in range(6):
        new_effects = node.receive('h2', slot_request(ask_id), START_US)
        assert grants(
            [
                sent
                for sent in new_effects
                if isinstance(sent, messages.SendHost)
            ],
        )
    waiting = node.receive('h1', slot_request(9), START_US + 1)
    assert not grants(
        [sent for sent in waiting if isinstance(sent, messages.SendHost)],
    )
    gossip_update = core_messages.HostRumor(
        'h2', 1, core_messages.Liveness.DOWN
    )
    new_effects = node.receive('h1', gossip_update, START_US + 2)
    assert grants(
        [sent for sent in new_effects if isinstance(sent, messages.SendHost)]
    )


def test_host_is_isolated_only_after_silence() -> None:
    node = create_fleet()['h1']
    assert not node.is_isolated(START_US + SECOND_US)
    assert node.is_isolated(START_US + 2 * SECOND_US)
    ping = core_messages.Ping(1, 1, 0, 0)
    node.receive('h2', ping, START_US + 2 * SECOND_US)
    assert not node.is_isolated(START_US + 2 * SECOND_US + 1)


@pytest.mark.parametrize('hosts_per_domain', [3, 30])
def test_evidence_goes_to_the_next_brokers_only(hosts_per_domain: int) -> None:
    """What a broker sends must not grow with the number of hosts.

    With 135 hosts in 3 domains, digests to all hosts were half of the traffic
    between domains. The first in rank of each domain gets them, because it
    brokers the service if its domain is cut off.
    """
    domain_names = ('d1', 'd2', 'd3')
    fleet = create_fleet(domain_names * hosts_per_domain)
    ranked = fleet['h1'].broker_hosts(Pool('svc'), START_US)
    broker = fleet[ranked[0]]
    broker.receive('h1', slot_request(1), START_US)
    later_us = START_US + 3 * SECOND_US
    broker.receive('h1', slot_request(2), later_us)
    digests = [
        effect
        for effect in broker.tick(later_us + 1)
        if isinstance(effect, messages.SendHost) and _is_digest(effect)
    ]
    reached = [digest.host_id for digest in digests]
    assert set(ranked[1:]) <= set(reached)
    assert len(reached) <= len(ranked) - 1 + len(domain_names) - 1
    domains = {
        broker.membership.hosts[host_id].entry.domain
        for host_id in (broker.host_id, *reached)
    }
    assert domains == set(domain_names)
    for digest in digests:
        new_effects = fleet[digest.host_id].receive(
            broker.host_id, digest.message, later_us
        )
        assert not any(map(_is_digest, new_effects))


@pytest.mark.parametrize(
    ('holder', 'answers', 'is_kept'),
    [
        ('other', True, True),
        ('other', False, False),
        # A broker sends no pings to itself.
        ('broker', False, True),
    ],
)
def test_broker_releases_the_slots_of_a_lost_host_only(
    holder: str, answers: bool, is_kept: bool
) -> None:
    fleet = create_fleet(('d1', 'd1', 'd1'))
    ranked = fleet['h1'].broker_hosts(Pool('svc'), START_US)
    broker = fleet[ranked[0]]
    holder_id = ranked[0] if holder == 'broker' else ranked[1]
    all_slots = range(6)
    for ask_id in all_slots:
        request = slot_request(ask_id, time_left_us=10 * SECOND_US)
        broker.receive(holder_id, request, START_US)
    now_us = START_US
    while now_us < START_US + 3 * SECOND_US:
        now_us += SECOND_US // 10
        for effect in broker.tick(now_us):
            is_ping = isinstance(effect, messages.SendHost) and isinstance(
                effect.message, core_messages.Ping
            )
            if is_ping and answers:
                ack = core_messages.Ack(1, holder_id, 1, 0, 0)
                broker.receive(holder_id, ack, now_us)
    later = slot_request(9, time_left_us=10 * SECOND_US)
    sent = broker.receive(ranked[2], later, now_us)
    has_slot = any(
        isinstance(effect, messages.SendHost)
        and isinstance(effect.message, messages.SlotGrant)
        for effect in sent
    )
    assert has_slot is not is_kept


def _is_digest(effect: object) -> bool:
    return isinstance(effect, messages.SendHost) and isinstance(
        effect.message,
        messages.EvidenceDigest,
    )


def test_missed_report_reaches_a_host_with_a_heartbeat() -> None:
    """Guards against hosts that take a lost one for alive for good (review 5).

    One host has missed the report, or has started after it.
    """
    fleet = create_fleet(('d1', 'd1', 'd1', 'd1'))
    settled_us = settle(fleet)
    lost = core_messages.HostRumor('h4', 1, core_messages.Liveness.DOWN)
    fleet['h1'].receive('h3', lost, settled_us)
    assert fleet['h2'].membership.is_usable('h4')
    (ping,) = {
        effect.message
        for effect in fleet['h1'].tick(settled_us + SECOND_US // 2)
        if isinstance(effect, messages.SendHost)
        and effect.host_id == 'h2'
        and isinstance(effect.message, core_messages.Ping)
    }
    later_us = settled_us + SECOND_US // 2
    for answer in fleet['h2'].receive('h1', ping, later_us):
        assert isinstance(answer, messages.SendHost)
        for table in fleet['h1'].receive('h2', answer.message, later_us):
            assert isinstance(table, messages.SendHost)
            fleet[table.host_id].receive('h1', table.message, later_us)
    assert not fleet['h2'].membership.is_usable('h4')


def test_host_meters_nothing_before_its_introduction() -> None:
    """Its ranking of the listed hosts may differ from all others'."""
    fleet = create_fleet(('d1', 'd1', 'd1'))
    owner_id, second_id, _ = fleet['h1'].meter_hosts('c', START_US)
    owner = fleet[owner_id]
    request = messages.ChargeRequest(1, 'c')
    result = messages.ChargeResult(1, messages.Admission.NOT_OWNER, 0)
    assert owner.receive('h1', request, START_US) == [
        messages.SendHost('h1', result)
    ]
    table = messages.LivenessTable(
        (core_messages.HostRumor(second_id, 1, core_messages.Liveness.DOWN),)
    )
    owner.receive('h1', table, START_US + 1)
    new_effects = owner.receive('h1', request, START_US + 2)
    assert messages.SendHost('h1', result) not in new_effects


@pytest.mark.parametrize('prefers_own_domain', [False, True])
def test_digests_go_to_other_hosts_only(*, prefers_own_domain: bool) -> None:
    """Guards against a broker that merges what it has sent itself."""
    entry = core_messages.HostEntry('h1', 'd1', '10.0.0.1', 7000)
    config = FleetConfig(
        entry,
        1,
        RETRY_POLICY,
        LIMIT_POLICY,
        prefers_own_domain=prefers_own_domain,
    )
    node = FleetNode(config, random.Random(1), START_US)
    for pool in (Pool('svc'), Pool('svc', 'd1')):
        assert node.broker_hosts(pool, START_US) == ['h1']
        assert node._ranking.successors(pool) == []
