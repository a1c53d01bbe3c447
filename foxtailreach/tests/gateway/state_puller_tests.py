"""Pulls of the platform's state while some hosts do not answer."""

from __future__ import annotations

import asyncio

import pytest

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.messages import TopicVersion
from foxtailreach.gateway import state_puller
from foxtailreach.platform import records
from foxtailreach.tests.dispatch.fleet_tests import create_fleet
from foxtailreach.tests.platform.records_tests import CONFIGURATION, mirror_with

NEWER = (TopicVersion(records.OPERATOR_TOPIC, 9, 9, 0),)


def test_silent_hosts_hold_up_the_pull_from_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A host that is cut off from some others follows its reader in time."""
    node = create_fleet(('d1',) * 6)['h1']
    others = sorted(node.membership.hosts.keys() - {'h1'})
    reader = others.pop()
    reader_entry = node.membership.hosts[reader].entry
    reader_address = (reader_entry.address, reader_entry.peer_port)
    source = mirror_with(CONFIGURATION)
    mirror = records.create_mirror()
    adopted: list[str] = []

    async def pull_state(
        address: tuple[str, int], pull: messages.StatePull
    ) -> messages.StateCopy | None:
        if address != reader_address:
            await asyncio.sleep(1)
            return None
        return messages.StateCopy(source.deltas_since(pull.versions))

    def adopt(host_id: str, copy: messages.StateCopy, sent_us: int) -> None:
        adopted.append(host_id)
        mirror.adopt(copy.topics)

    async def scenario() -> None:
        puller = state_puller.StatePuller(node, mirror, adopt)
        silent = [asyncio.create_task(puller.pull(one)) for one in others]
        await asyncio.sleep(0)
        await asyncio.wait_for(puller.pull_noticed(reader, NEWER), 0.5)
        for task in silent:
            task.cancel()

    monkeypatch.setattr(state_puller, 'pull_state', pull_state)
    asyncio.run(scenario())
    assert adopted == [reader]
