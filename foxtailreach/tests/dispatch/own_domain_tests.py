"""Requests stay in the failure domain of their caller where they can.

Load: callers and targets are spread evenly over the domains, links between
them are long, and no domain has to be replaced by the others.
"""

from __future__ import annotations

import random

import pytest

from foxtailreach.core.dispatch.broker import Broker
from foxtailreach.core.dispatch.messages import SendOutcome
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.platform.settings import decode_settings
from foxtailreach.tests.dispatch.fixtures import (
    RETRY_POLICY,
    SERVICE,
    START_US,
    grants,
    slot_report,
    slot_request,
    spec,
)

DOMAINS = ('d1', 'd2', 'd3')
TARGETS = 24
REQUESTS = 600
# Targets without recent evidence are used by their own domain, so few requests
# leave it while all targets are healthy.
MAX_REMOTE_SHARE = 0.05


def create_broker(*, prefers_own_domain: bool) -> Broker:
    broker = Broker(
        SERVICE,
        RETRY_POLICY,
        random.Random(1),
        START_US,
        prefers_own_domain=prefers_own_domain,
    )
    targets = [
        spec(index, domain=DOMAINS[index % len(DOMAINS)])
        for index in range(TARGETS)
    ]
    broker.update_targets(SERVICE, targets, frozenset(), START_US)
    return broker


def remote_share(broker: Broker, failing_domain: str = '') -> float:
    """Send requests from all domains; return the share that left theirs."""
    rng = random.Random(2)
    now_us = START_US
    remote = 0
    for ask_id in range(1, REQUESTS + 1):
        now_us += 10 * MILLISECOND_US
        domain = rng.choice(DOMAINS)
        new_effects = broker.request_slot(
            'h1', domain, slot_request(ask_id), now_us
        )
        for grant in grants(new_effects):
            target = broker.records[grant.target_id].spec
            remote += target.domain != domain
            is_failing = target.domain == failing_domain
            outcome = SendOutcome.FAILED if is_failing else SendOutcome.SERVED
            broker.report('h1', slot_report(grant, outcome, 1000), now_us)
    return remote / REQUESTS


def test_requests_stay_in_the_domain_of_their_caller() -> None:
    """Guards against traffic between domains that serves nobody better."""
    assert remote_share(create_broker(prefers_own_domain=True)) < (
        MAX_REMOTE_SHARE
    )


def test_requests_leave_a_domain_whose_targets_fail() -> None:
    """Guards against a domain that keeps its callers although it can't serve.

    A third of the callers is in the domain whose targets all fail.
    """
    broker = create_broker(prefers_own_domain=True)
    share = remote_share(broker, failing_domain='d1')
    assert share > 0.8 / len(DOMAINS)


def test_distance_is_weighed_as_before_where_a_domain_may_be_lost() -> None:
    """Guards against domains whose targets nobody else has tried."""
    broker = create_broker(prefers_own_domain=False)
    assert remote_share(broker) > MAX_REMOTE_SHARE


@pytest.mark.parametrize(
    ('table', 'is_preferred'),
    [
        ({'zones': 0}, True),
        ({'zones': 1}, False),
        ({}, False),
    ],
)
def test_settings_decide(table: dict[str, int], is_preferred: bool) -> None:
    settings = decode_settings(
        {
            'node_name': 'h1',
            'zone': 'd1',
            'ip': '10.0.0.1',
            'internal_ports': [7000, 7001],
            'listen': {
                'frontend': '10.0.0.1:8000',
                'readiness': '10.0.0.1:8001',
            },
            'platform': {'address': '10.0.0.9:9000'},
            'fault_tolerance': table,
        },
    )
    assert settings.prefers_own_domain is is_preferred
    assert settings.target_heartbeat_us == 1.5 * SECOND_US
