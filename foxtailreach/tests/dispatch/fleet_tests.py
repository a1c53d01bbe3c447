"""Hosts as state machines: rankings, and handovers on membership changes."""

from __future__ import annotations

import random

from foxtailreach.core import messages as core_messages
from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.deployment import (
    CustomerSpec,
    Deployment,
)
from foxtailreach.core.dispatch.fleet import FleetConfig, FleetNode
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
        node.update_hosts(entries, START_US)
        targets = [spec(index) for index in range(3)]
        node.update_state(DEPLOYMENT, targets, frozenset(), START_US)
        fleet[entry.host_id] = node
    return fleet


def test_all_hosts_rank_brokers_alike_until_one_is_suspected() -> None:
    fleet = create_fleet()
    first, second = (
        node.broker_hosts('svc', START_US) for node in fleet.values()
    )
    assert first == second
    fleet['h1'].suspect(first[0], START_US)
    assert fleet['h1'].broker_hosts('svc', START_US + 1) == first[1:]
    later_us = START_US + 3 * SECOND_US
    assert fleet['h1'].broker_hosts('svc', later_us) == first


def test_leaving_owner_hands_its_meter_to_the_next_owner() -> None:
    fleet = create_fleet()
    owner_id, next_id = fleet['h1'].meter_hosts('c', START_US)
    owner = fleet[owner_id]
    owner.tick(START_US)
    for ask_id in range(5):
        request = messages.ChargeRequest(ask_id, 'c')
        owner.receive(next_id, request, START_US + 9 * SECOND_US + ask_id)
    new_effects = owner.leave(START_US + 10 * SECOND_US)
    handed = [
        effect
        for effect in new_effects
        if isinstance(effect, messages.SendHost)
        and isinstance(effect.message, messages.MeterHandover)
    ]
    assert [effect.host_id for effect in handed] == [next_id]
    message = handed[0].message
    assert isinstance(message, messages.MeterHandover)
    assert len(message.ages_us) == 5


def test_only_the_previous_owner_hands_a_meter_over() -> None:
    """Hosts stop in turn; copies from former owners would count twice."""
    fleet = create_fleet()
    owner_id, next_id = fleet['h1'].meter_hosts('c', START_US)
    former = fleet[next_id]
    former.tick(START_US)
    late_us = START_US + 9 * SECOND_US
    former.receive(owner_id, messages.ChargeRequest(1, 'c'), late_us)
    gossip_update = core_messages.HostRumor(
        next_id, 1, core_messages.Liveness.LEAVING
    )
    new_effects = [*former.leave(late_us + 1), *former.tick(late_us + 2)]
    new_effects += fleet[owner_id].receive(next_id, gossip_update, late_us + 3)
    assert not [
        effect
        for effect in new_effects
        if isinstance(effect, messages.SendHost)
        and isinstance(effect.message, messages.MeterHandover)
    ]


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


def test_evidence_is_sent_to_each_other_domain_once() -> None:
    """Traffic between domains is expensive.

    With 135 hosts in 3 domains, digests to all hosts were half of it.
    """
    fleet = create_fleet(('d1', 'd1', 'd2', 'd2', 'd2', 'd3', 'd3', 'd3'))
    domains = {
        name: node.membership.hosts[name].entry.domain
        for name, node in fleet.items()
    }
    broker_id = fleet['h1'].broker_hosts('svc', START_US)[0]
    broker = fleet[broker_id]
    broker.receive('h1', slot_request(1), START_US)
    later_us = START_US + 3 * SECOND_US
    broker.receive('h1', slot_request(2), later_us)
    pending = [
        (broker_id, effect)
        for effect in broker.tick(later_us + 1)
        if _is_digest(effect)
    ]
    crossings, reached = [], []
    while pending:
        sender, effect = pending.pop()
        assert isinstance(effect, messages.SendHost)
        reached.append(effect.host_id)
        if domains[sender] != domains[effect.host_id]:
            crossings.append(domains[effect.host_id])
        new_effects = fleet[effect.host_id].receive(
            sender, effect.message, later_us
        )
        pending += [
            (effect.host_id, relayed)
            for relayed in new_effects
            if _is_digest(relayed)
        ]
    assert sorted(crossings) == sorted(
        {*domains.values()} - {domains[broker_id]},
    )
    assert sorted(reached) == sorted(fleet.keys() - {broker_id})


def _is_digest(effect: object) -> bool:
    return isinstance(effect, messages.SendHost) and isinstance(
        effect.message,
        messages.EvidenceDigest,
    )
