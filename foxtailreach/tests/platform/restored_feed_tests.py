"""A host that follows a store over HTTP, which is restored from a copy."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

from foxtailreach.core.dispatch.fleet import FleetConfig, FleetNode
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway.peers import PeerEndpoint
from foxtailreach.gateway.settings import Address
from foxtailreach.platform import records
from foxtailreach.platform.feed import PlatformFeed
from foxtailreach.platform.store import StoreClient
from foxtailreach.tests.dispatch.fixtures import RETRY_POLICY
from foxtailreach.tests.dispatch.meters_tests import POLICY as LIMIT_POLICY
from foxtailreach.tests.platform.fakes import Store
from foxtailreach.tests.platform.feed_tests import settings
from foxtailreach.tests.platform.records_tests import CONFIGURATION, HEARTBEAT

NEWEST, NEXT = 13, 14
TIMEOUT_S = 8
CHECK_S = 0.02


def configuration(version: int) -> dict[str, object]:
    return {**CONFIGURATION, 'version': f'{version:08x}'}


async def wait_until(is_met: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not is_met():
            await asyncio.sleep(CHECK_S)


def test_host_is_lost_with_the_writes_of_the_store() -> None:
    """Its registration and its configuration are newer than the copy."""

    async def scenario(store: Store) -> None:
        own_settings = replace(
            settings('h0', 1), store=Address('127.0.0.1', store.port)
        )
        config = FleetConfig(own_settings.entry, 1, RETRY_POLICY, LIMIT_POLICY)
        node = FleetNode.from_config(config, random.Random(1), boot_time_us())
        client = StoreClient(own_settings.store)
        feed = PlatformFeed(
            own_settings,
            client,
            node,
            PeerEndpoint(lambda sender, message: None, node.announcement),
            random.Random(1),
            lambda effects: None,
        )

        def version() -> int:
            return -1 if node.deployment is None else node.deployment.version

        await store.put(records.OPERATOR_TOPIC, 'config', configuration(12))
        await store.put(records.TARGETS_TOPIC, 'i-1', HEARTBEAT)
        copied = store.copy()
        running = asyncio.ensure_future(feed.run())
        for sequence in range(4):
            entry = {**HEARTBEAT, 'sequence': sequence}
            await store.put(records.TARGETS_TOPIC, 'i-2', entry)
            newest = configuration(NEWEST)
            await store.put(records.OPERATOR_TOPIC, 'config', newest)
        await wait_until(lambda: version() == NEWEST and feed.is_ready)
        store.restore(copied)
        await wait_until(lambda: bool(store.topics[records.HOSTS_TOPIC]))
        assert version() == NEWEST
        assert {one.target_id for one in node.targets} == {'i-1', 'i-2'}
        await store.put(records.OPERATOR_TOPIC, 'config', configuration(NEXT))
        await wait_until(lambda: version() == NEXT)
        # The target that the copy lacks does not write again.
        await wait_until(
            lambda: [one.target_id for one in node.targets] == ['i-1']
        )
        await wait_until(
            lambda: all(one.era == 1 for one in feed.mirror.versions())
        )
        running.cancel()
        client.close()

    async def main() -> None:
        store = Store()
        try:
            await scenario(store)
        finally:
            store.close()

    asyncio.run(main())
