"""Tests of how a host gets the platform's state from other hosts."""

from __future__ import annotations

import asyncio
import random

import pytest
from tornado.testing import bind_unused_port

from foxtailreach.core.dispatch.fleet import FleetConfig, FleetNode
from foxtailreach.core.dispatch.messages import HostAnnounced
from foxtailreach.core.messages import HostEntry
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway.peers import PeerEndpoint, StateServer
from foxtailreach.gateway.settings import Address, GatewaySettings
from foxtailreach.platform import records
from foxtailreach.platform.feed import PlatformFeed
from foxtailreach.platform.store import StoreClient
from foxtailreach.tests.dispatch.fixtures import RETRY_POLICY
from foxtailreach.tests.dispatch.meters_tests import POLICY as LIMIT_POLICY
from foxtailreach.tests.platform.records_tests import CONFIGURATION, mirror_with


def settings(name: str, port: int) -> GatewaySettings:
    unused_address = Address('127.0.0.1', 9)
    return GatewaySettings(
        host_id=name,
        domain='north',
        address='127.0.0.1',
        capacity=86,
        peer_port=port,
        is_first_start=False,
        metrics_port=0,
        callers=unused_address,
        readiness=unused_address,
        store=unused_address,
        seeds=(),
        max_body_memory_bytes=2**20,
        max_answer_memory_bytes=2**20,
        stop_grace_us=0,
        retry_policy=RETRY_POLICY,
        limit_policy=LIMIT_POLICY,
    )


def test_host_without_notices_pulls_state() -> None:
    """The reader does not know a host whose announcement was lost.

    Many of the 39 other hosts rank before it in the reader election, so it
    does not become the reader within the test.
    """

    async def scenario() -> None:
        source = mirror_with(CONFIGURATION)
        state_server = StateServer(source)
        sock, port = bind_unused_port()
        state_server.add_socket(sock)
        own_settings = settings('h0', 1)
        config = FleetConfig(own_settings.entry, 1, RETRY_POLICY, LIMIT_POLICY)
        node = FleetNode.from_config(config, random.Random(1), boot_time_us())
        others = [
            HostAnnounced(HostEntry(f'h{index}', 'north', '127.0.0.1', port), 1)
            for index in range(1, 40)
        ]
        node.update_hosts(others, boot_time_us())
        store = StoreClient(own_settings.store)
        feed = PlatformFeed(
            own_settings,
            store,
            node,
            PeerEndpoint(lambda sender, message: None, node.announcement),
            random.Random(1),
            lambda effects: None,
        )
        running = asyncio.ensure_future(feed.run())
        await asyncio.sleep(3)
        running.cancel()
        state_server.stop()
        store.close()
        assert node.deployment == records.decode_deployment(source)
        assert node.deployment is not None

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('domain', 'notices'),
    [('north', 1), ('south', 0)],
)
def test_new_host_is_notified_within_its_domain_only(
    domain: str,
    notices: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All hosts start at once; traffic between domains is expensive."""
    sent: list[str] = []
    own_settings = settings('h0', 1)
    config = FleetConfig(own_settings.entry, 1, RETRY_POLICY, LIMIT_POLICY)
    node = FleetNode.from_config(config, random.Random(1), boot_time_us())
    entry = HostEntry('h1', domain, '127.0.0.1', 2)
    node.update_hosts([HostAnnounced(entry, 1)], boot_time_us())
    peers = PeerEndpoint(lambda sender, message: None, node.announcement)
    monkeypatch.setattr(peers, 'send', lambda host_id, _: sent.append(host_id))
    feed = PlatformFeed(
        own_settings,
        StoreClient(own_settings.store),
        node,
        peers,
        random.Random(1),
        lambda effects: None,
    )
    feed.notify_host('h1')
    assert len(sent) == notices
