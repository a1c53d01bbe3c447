"""A host that no reader knows still follows the state."""

from __future__ import annotations

import asyncio
import random

import pytest
from tornado.testing import bind_unused_port

from foxtailreach.core.dispatch.fleet import FleetConfig, FleetNode
from foxtailreach.core.messages import HostEntry
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway.peers import CopyServer, PeerEndpoint
from foxtailreach.gateway.settings import Address, GatewaySettings
from foxtailreach.platform import records
from foxtailreach.platform.feed import PlatformFeed
from foxtailreach.platform.store import StoreClient
from foxtailreach.tests.dispatch.fixtures import POLICY
from foxtailreach.tests.dispatch.meters_tests import POLICY as LIMITS
from foxtailreach.tests.platform.records_tests import CONFIGURATION, mirror_with


def settings(name: str, port: int) -> GatewaySettings:
    nowhere = Address('127.0.0.1', 9)
    return GatewaySettings(
        host_id=name,
        domain='north',
        address='127.0.0.1',
        peer_port=port,
        metrics_port=0,
        callers=nowhere,
        readiness=nowhere,
        store=nowhere,
        seeds=(),
        stop_grace_us=0,
        retry_policy=POLICY,
        limit_policy=LIMITS,
    )


def test_host_without_notices_pulls_by_itself() -> None:
    """Its introduction was lost, and many hosts rank before it as readers."""

    async def play() -> None:
        source = mirror_with(CONFIGURATION)
        copies = CopyServer(source)
        sock, port = bind_unused_port()
        copies.add_socket(sock)
        own = settings('h0', 1)
        config = FleetConfig(own.entry, 1, POLICY, LIMITS)
        node = FleetNode.from_config(config, random.Random(1), boot_time_us())
        others = [
            HostEntry(f'h{index}', 'north', '127.0.0.1', port)
            for index in range(1, 40)
        ]
        node.update_hosts(others, boot_time_us())
        store = StoreClient(own.store)
        feed = PlatformFeed(
            own,
            store,
            node,
            PeerEndpoint(lambda sender, message: None),
            random.Random(1),
            lambda step: None,
        )
        running = asyncio.ensure_future(feed.run())
        await asyncio.sleep(3)
        running.cancel()
        copies.stop()
        store.close()
        assert node.deployment == records.decode_deployment(source)
        assert node.deployment is not None

    asyncio.run(play())


@pytest.mark.parametrize(
    ('domain', 'notices'),
    [('north', 1), ('south', 0)],
)
def test_new_host_hears_of_the_state_within_its_domain_only(
    domain: str,
    notices: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A fleet starts at once; copies between domains would be dear."""
    sent: list[str] = []
    own = settings('h0', 1)
    config = FleetConfig(own.entry, 1, POLICY, LIMITS)
    node = FleetNode.from_config(config, random.Random(1), boot_time_us())
    node.update_hosts([HostEntry('h1', domain, '127.0.0.1', 2)], boot_time_us())
    peers = PeerEndpoint(lambda sender, message: None)
    monkeypatch.setattr(peers, 'send', lambda host_id, _: sent.append(host_id))
    feed = PlatformFeed(
        own,
        StoreClient(own.store),
        node,
        peers,
        random.Random(1),
        lambda step: None,
    )
    feed.welcome('h1')
    assert len(sent) == notices
