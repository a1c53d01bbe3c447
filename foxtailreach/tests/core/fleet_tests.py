"""Whole fleets in virtual time: behaviour of all hosts under failures."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from foxtailreach.bench.deployments import (
    key_of,
    load_deployment,
    offer_load,
    start_fleet,
)
from foxtailreach.bench.fleet import Answered, Fleet
from foxtailreach.bench.routing import capacity_per_s, without_limits
from foxtailreach.bench.statistics import max_excess_over_limit, quantile
from foxtailreach.config.objects import (
    ChangeSet,
    FailureDomain,
    Limit,
    Objects,
    Removals,
)
from foxtailreach.core import events, messages
from foxtailreach.core.messages import Liveness
from foxtailreach.core.units import SECOND_US
from foxtailreach.core.verdict import Reason, Verdict

OBJECTS = load_deployment('scara')
UNLIMITED = without_limits(OBJECTS)
CUSTOMER = 'livada-bascov'
GREEDY_CUSTOMER = 'livada-merisani'
MAX_ROLLOUT_US = 7 * SECOND_US


def owner_of(fleet: Fleet, pool_id: str) -> str:
    (owner,) = [
        host_id
        for host_id, node in fleet.nodes.items()
        if pool_id in node.ownership.pools
    ]
    return owner


def domain_change(fleet: Fleet, domain: str, state: str) -> ChangeSet:
    version = next(iter(fleet.nodes.values())).fold.version
    entry = FailureDomain(state)  # type: ignore[arg-type]
    change = Objects(domains={domain: entry})
    return ChangeSet(f'{domain}-{state}-{version}', version, change)


def serve_load(fleet: Fleet, load: float, seconds: float) -> None:
    """Offer requests for `load` times the capacity of the service `stoc`."""
    rate = load * capacity_per_s(fleet.objects, 'stoc')
    end_us = fleet.now_us + int(seconds * SECOND_US)
    offer_load(fleet, '/stoc/item', key_of(CUSTOMER), rate, end_us)


@pytest.mark.parametrize(
    ('fault', 'limit_us'),
    [
        ({'is_refusing': True}, SECOND_US),
        ({'slow_factor': 10}, 3 * SECOND_US),
        ({'error_ratio': 0.3}, 3 * SECOND_US),
        ({'is_hanging': True}, 3 * SECOND_US),
    ],
    ids=lambda param: str(param),
)
@pytest.mark.parametrize('load', [0.6, 0.9])
def test_failing_target_is_ejected_in_time(
    fault: dict[str, float],
    limit_us: int,
    load: float,
) -> None:
    fleet = start_fleet(UNLIMITED, seed=5)
    serve_load(fleet, load, 14)
    fleet.run_until(fleet.now_us + 8 * SECOND_US)
    assert not fleet.counters.ejections
    target = fleet.targets['stoc-04']
    for name, setting in fault.items():
        setattr(target, name, setting)
    fault_us = fleet.now_us
    fleet.run_until(fault_us + limit_us)
    assert {name for _, name, _ in fleet.counters.ejections} == {'stoc-04'}


@pytest.mark.parametrize(
    'event',
    ['start', 'owner killed', 'owner cut off', 'domain returns'],
)
def test_cold_target_is_not_overloaded(event: str) -> None:
    service = replace(UNLIMITED.services['stoc'], warm_up_ms=8000)
    objects = replace(
        UNLIMITED,
        services={**UNLIMITED.services, 'stoc': service},
    )
    fleet = Fleet(objects, seed=2)
    for target in fleet.targets.values():
        target.warm_at_us = 8 * SECOND_US
    fleet.add_hosts(12)
    fleet.run_until(2 * SECOND_US)
    serve_load(fleet, 0.5, 20)
    fleet.run_until(3 * SECOND_US)
    if event == 'owner killed':
        killed_host = owner_of(fleet, 'stoc/pitesti/0')
        fleet.kill_host(killed_host, list_lag_us=5 * SECOND_US)
    if event == 'owner cut off':
        owner = owner_of(fleet, 'stoc/pitesti/0')
        for other in fleet.nodes:
            fleet.cut_links |= {(owner, other), (other, owner)}
    if event == 'domain returns':
        fleet.publish(domain_change(fleet, 'pitesti', 'out'))
        fleet.run_until(5 * SECOND_US)
        for target in fleet.targets.values():
            if target.domain == 'pitesti':
                target.warm_at_us = fleet.now_us + 8 * SECOND_US
        fleet.publish(domain_change(fleet, 'pitesti', 'active'))
    fleet.run_until(12 * SECOND_US)
    overloads = [
        target.max_over_capacity
        for target in fleet.targets.values()
        if target.max_over_capacity > 0
    ]
    assert not overloads


def test_killed_owner_is_replaced_and_every_request_is_answered() -> None:
    fleet = start_fleet(UNLIMITED, seed=4, hosts=12)
    serve_load(fleet, 0.5, 10)
    fleet.run_until(fleet.now_us + 2 * SECOND_US)
    pool_id = 'stoc/topoloveni/0'
    killed_host = owner_of(fleet, pool_id)
    lost_requests = set(fleet.nodes[killed_host].entry.pending)
    fleet.kill_host(killed_host, list_lag_us=30 * SECOND_US)
    fleet.run_until(fleet.now_us + 5 * SECOND_US)
    assert owner_of(fleet, pool_id) != killed_host
    fleet.answers.clear()
    fleet.run_until(fleet.now_us + 2 * SECOND_US)
    assert fleet.answers
    assert not [answer for answer in fleet.answers if answer.refusal]
    fleet.run_until(fleet.now_us + 15 * SECOND_US)
    unanswered = set(fleet.unanswered) - lost_requests
    assert not unanswered


def test_domain_taken_out_gets_no_new_work_and_nobody_is_refused() -> None:
    fleet = start_fleet(UNLIMITED, seed=6)
    serve_load(fleet, 0.5, 16)
    fleet.run_until(fleet.now_us + 6 * SECOND_US)
    fleet.answers.clear()
    fleet.publish(domain_change(fleet, 'pitesti', 'out'))
    published_us = fleet.now_us
    fleet.run_until(published_us + 5 * SECOND_US)
    last_us = max(
        target.runs[-1][0]
        for target in fleet.targets.values()
        if target.domain == 'pitesti' and target.runs
    )
    assert last_us - published_us < 3 * SECOND_US
    fleet.publish(domain_change(fleet, 'pitesti', 'active'))
    fleet.run_until(fleet.now_us + 5 * SECOND_US)
    refused = Counter(answer.refusal for answer in fleet.answers)
    assert set(refused) == {''}


@pytest.mark.parametrize('hosts', [3, 40, 120])
def test_change_is_in_force_everywhere_in_time(hosts: int) -> None:
    fleet = start_fleet(OBJECTS, seed=7, hosts=hosts)
    change = Removals(keys=(f'{CUSTOMER}-1',))
    version = fleet.nodes['host-0000'].fold.version
    fleet.publish(ChangeSet('withdraw', version, removals=change))
    fleet.run_until(fleet.now_us + MAX_ROLLOUT_US)
    for node in fleet.nodes.values():
        assert node.catalog.customer_of_key(key_of(CUSTOMER)) is None


def test_racing_operators_get_one_winner_and_one_rejection() -> None:
    fleet = start_fleet(OBJECTS, seed=8, hosts=6)
    version = fleet.nodes['host-0000'].fold.version
    for number, rate in ((1, 50), (2, 70)):
        limits = Objects(limits={'small': Limit(rate, rate)})
        fleet.publish(ChangeSet(f'race-{number}', version, limits))
        fleet.publish(ChangeSet(f'race-{number}', version, limits))
    fleet.run_until(fleet.now_us + MAX_ROLLOUT_US)
    for node in fleet.nodes.values():
        assert node.fold.version == version + 1
        assert node.fold.objects.limits['small'].rate_per_s == 50
        loser = node.fold.outcome('race-2')
        assert loser is not None
        assert 'is in force' in loser.faults


def test_new_host_serves_while_the_log_is_unavailable() -> None:
    fleet = start_fleet(UNLIMITED, seed=9, hosts=6)
    fleet.is_log_unavailable = True
    fleet.run_until(fleet.now_us + 20 * SECOND_US)
    fleet.replace_host('host-0002')
    fleet.run_until(fleet.now_us + 5 * SECOND_US)
    fleet.request('host-0002', key_of(CUSTOMER), '/stoc/item')
    fleet.run_until(fleet.now_us + SECOND_US)
    (answer,) = fleet.answers
    assert not answer.refusal


def test_isolated_host_refuses_keys_within_seconds() -> None:
    fleet = start_fleet(UNLIMITED, seed=10, hosts=6)
    others = [host_id for host_id in fleet.nodes if host_id != 'host-0000']
    for other in others:
        fleet.cut_links |= {('host-0000', other), (other, 'host-0000')}
    fleet.hosts_without_log.add('host-0000')
    fleet.run_until(fleet.now_us + 5 * SECOND_US)
    fleet.request('host-0000', key_of(CUSTOMER), '/stoc/item')
    fleet.run_until(fleet.now_us + SECOND_US)
    (answer,) = fleet.answers
    assert answer.refusal == Reason.KEYS_UNCERTAIN.value


@pytest.mark.parametrize('fault', ['one-way cut', 'loss', 'pause'])
def test_live_host_is_not_reported_as_down(fault: str) -> None:
    fleet = start_fleet(OBJECTS, seed=11, hosts=20)
    observer = fleet.nodes['host-0003']
    subject = observer.membership.neighbours[0]
    if fault == 'one-way cut':
        fleet.cut_links.add((subject, 'host-0003'))
    elif fault == 'loss':
        fleet.loss_ratio = 0.05
    else:
        fleet.paused.add('host-0003')
        fleet.after(2 * SECOND_US, lambda: fleet.paused.clear())
    fleet.run_until(fleet.now_us + 30 * SECOND_US)
    down = [
        (host_id, other)
        for host_id, node in fleet.nodes.items()
        for other, state in node.membership.hosts.items()
        if state.liveness is Liveness.DOWN
    ]
    assert not down


def test_dead_host_is_known_everywhere_before_the_list_says_so() -> None:
    fleet = start_fleet(OBJECTS, seed=12)
    fleet.kill_host('host-0007', list_lag_us=60 * SECOND_US)
    fleet.run_until(fleet.now_us + 3 * SECOND_US)
    unaware = [
        host_id
        for host_id, node in fleet.nodes.items()
        if node.membership.is_usable('host-0007')
    ]
    assert not unaware


def test_few_are_refused_at_95_percent_of_the_limit_over_all_hosts() -> None:
    rate = 200
    limits = dict.fromkeys(OBJECTS.limits, Limit(rate, rate))
    objects = replace(OBJECTS, limits=limits)
    fleet = start_fleet(objects, seed=13)
    start_us = fleet.now_us + 2 * SECOND_US
    fleet.run_until(start_us)
    offer_load(
        fleet,
        '/stoc/item',
        key_of(CUSTOMER),
        0.95 * rate,
        start_us + 20 * SECOND_US,
    )
    fleet.run_until(start_us + 21 * SECOND_US)
    refused = [
        answer
        for answer in fleet.answers
        if answer.refusal == Reason.OVER_LIMIT.value
    ]
    assert len(fleet.answers) > 3000
    assert len(refused) / len(fleet.answers) < 0.001


@pytest.mark.parametrize('is_log_unavailable', [False, True])
@pytest.mark.parametrize('kill', [False, True])
def test_limit_holds_over_all_hosts_together(
    is_log_unavailable: bool,
    kill: bool,
) -> None:
    rate = 90
    limits = dict.fromkeys(OBJECTS.limits, Limit(rate, rate))
    fleet = start_fleet(replace(OBJECTS, limits=limits), seed=14, hosts=9)
    fleet.run_until(fleet.now_us + 2 * SECOND_US)
    end_us = fleet.now_us + 16 * SECOND_US
    offer_load(fleet, '/stoc/item', key_of(CUSTOMER), 3 * rate, end_us)
    fleet.run_until(fleet.now_us + 3 * SECOND_US)
    fleet.is_log_unavailable = is_log_unavailable
    if kill:
        holders = {
            holder.host_id
            for holder in fleet.nodes['host-0000'].fold.holders.values()
        }
        fleet.kill_host(sorted(holders - {'host-0000'})[0], SECOND_US)
    fleet.run_until(end_us)
    runs_s = [
        at_us / SECOND_US
        for target in fleet.targets.values()
        for at_us, _, customer in target.runs
        if customer == CUSTOMER
    ]
    slack = 0.05 * rate
    assert max_excess_over_limit(runs_s, rate, rate) <= slack
    assert len(runs_s) > 10 * rate


def test_graceful_stop_refuses_nothing_and_hands_pools_over() -> None:
    fleet = start_fleet(UNLIMITED, seed=15, hosts=9)
    serve_load(fleet, 0.4, 14)
    fleet.run_until(fleet.now_us + 4 * SECOND_US)
    fleet.answers.clear()
    for host_id in sorted(fleet.nodes)[:6]:
        fleet.stop_host(host_id)
        fleet.run_until(fleet.now_us + SECOND_US)
    fleet.run_until(fleet.now_us + 6 * SECOND_US)
    refused = Counter(answer.refusal for answer in fleet.answers)
    assert set(refused) == {''}


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_resent_crash_request_crashes_only_two_targets(
    method: str,
) -> None:
    fleet = start_fleet(UNLIMITED, seed=16, hosts=12)
    for target in fleet.targets.values():
        target.crash_path = '/stoc/poison'
    serve_load(fleet, 0.3, 12)
    fleet.run_until(fleet.now_us + 3 * SECOND_US)
    for host_id in sorted(fleet.nodes)[:8]:
        key = key_of(CUSTOMER)
        fleet.request(host_id, key, '/stoc/poison', method, fingerprint=99)
        fleet.run_until(fleet.now_us + 50_000)
    assert sum(target.crashes for target in fleet.targets.values()) == 2
    refusals = Counter(answer.refusal for answer in fleet.answers)
    assert refusals[Reason.QUARANTINED.value] >= 5
    fleet.answers.clear()
    fleet.run_until(fleet.now_us + 5 * SECOND_US)
    assert {answer.refusal for answer in fleet.answers} == {''}


def test_draining_target_gets_no_new_work_and_finishes_its_own() -> None:
    fleet = start_fleet(UNLIMITED, seed=17, hosts=12)
    serve_load(fleet, 0.5, 14)
    fleet.run_until(fleet.now_us + 5 * SECOND_US)
    fleet.answers.clear()
    version = fleet.nodes['host-0000'].fold.version
    target = replace(UNLIMITED.targets['stoc-02'], state='draining')
    change = ChangeSet('drain', version, Objects(targets={'stoc-02': target}))
    fleet.publish(change)
    published_us = fleet.now_us
    fleet.run_until(published_us + 6 * SECOND_US)
    last_us = fleet.targets['stoc-02'].runs[-1][0]
    assert last_us - published_us < 3 * SECOND_US
    assert {answer.refusal for answer in fleet.answers} == {''}


def test_lagging_peer_and_old_snapshot_revert_nothing() -> None:
    fleet = start_fleet(OBJECTS, seed=18, hosts=6)
    old = fleet.nodes['host-0001'].fold.encoded_snapshot()
    old_offset = fleet.nodes['host-0001'].fold.next_offset
    version = fleet.nodes['host-0000'].fold.version
    removal = Removals(keys=(f'{CUSTOMER}-1',))
    fleet.publish(ChangeSet('withdraw', version, removals=removal))
    fleet.run_until(fleet.now_us + MAX_ROLLOUT_US)
    node = fleet.nodes['host-0000']
    before = node.fold.next_offset
    stale = messages.Snapshot(old, old_offset, 0)
    replayed = tuple(
        messages.LogRecord(offset, payload)
        for offset, payload in enumerate(fleet.log)
    )
    for message in (stale, messages.LogBatch(replayed, 0)):
        received = events.PeerReceived('host-0001', message)
        fleet.post('host-0000', received)
    assert node.fold.next_offset == before
    assert node.fold.version == version + 1
    assert node.catalog.customer_of_key(key_of(CUSTOMER)) is None


def offer_two_customers(greedy_load: float) -> list[Answered]:
    """Offer requests of two customers and return all answers.

    One customer offers a tenth of the capacity, the other one `greedy_load`
    times the capacity.
    """
    fleet = start_fleet(UNLIMITED, seed=20)
    capacity = capacity_per_s(UNLIMITED, 'stoc')
    start_us = fleet.now_us + 6 * SECOND_US
    end_us = start_us + 10 * SECOND_US
    offer_load(fleet, '/stoc/i', key_of(CUSTOMER), 0.1 * capacity, end_us)
    if greedy_load:
        rate = greedy_load * capacity
        offer_load(fleet, '/stoc/i', key_of(GREEDY_CUSTOMER), rate, end_us)
    fleet.run_until(start_us)
    fleet.answers.clear()
    fleet.run_until(end_us)
    return fleet.answers


def latencies_us(answers: list[Answered], customer: str) -> list[int]:
    return [
        answer.latency_us
        for answer in answers
        if answer.customer == key_of(customer) and not answer.refusal
    ]


def test_overload_by_one_customer_spares_another_and_wastes_nothing() -> None:
    unloaded = latencies_us(offer_two_customers(0), CUSTOMER)
    answers = offer_two_customers(3)
    loaded = latencies_us(answers, CUSTOMER)
    assert quantile(loaded, 0.99) <= 2 * quantile(unloaded, 0.99)
    refused = [answer for answer in answers if answer.refusal]
    assert {answer.customer for answer in refused} == {key_of(GREEDY_CUSTOMER)}
    assert {answer.verdict for answer in refused} == {Verdict.NOT_RUN.value}
    served = len(answers) - len(refused)
    assert served > 0.9 * 10 * capacity_per_s(UNLIMITED, 'stoc')
    waits_us = [answer.latency_us for answer in refused]
    assert quantile(waits_us, 0.5) < 50_000
