"""Restorations of the simulated store, and what hosts use meanwhile."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from foxtailreach.core.dispatch.messages import KeyedRecord
from foxtailreach.platform import records
from foxtailreach.tests.platform.records_tests import HEARTBEAT
from foxtailreach.tests.platform.state_replay import (
    CHECK_S,
    SharedStore,
    StateReplay,
)

StoreCopy = dict[str, list[KeyedRecord]]


def copy_store(store: SharedStore) -> StoreCopy:
    """Return what the store holds now."""
    return {topic: list(log) for topic, log in store.topics.items()}


def restore(store: SharedStore, copied: StoreCopy, eras: int = 1) -> None:
    """Let the store come back from a copy."""
    store.topics = {topic: list(log) for topic, log in copied.items()}
    store.era += eras


def write_target(store: SharedStore, name: str, **changes: Any) -> None:
    """Write an entry of a target."""
    entry = {**HEARTBEAT, 'address': f'10.0.9.{name[2:]}:80', **changes}
    store.append(records.TARGETS_TOPIC, name, json.dumps(entry).encode())


@dataclass(slots=True)
class Usage:
    """What hosts used at a time, by host."""

    at_s: float
    versions: dict[str, int] = field(default_factory=dict)
    ready: dict[str, frozenset[str]] = field(default_factory=dict)


async def watch(replay: StateReplay, seen: list[Usage]) -> None:
    """Record what each host uses at short intervals."""
    while True:
        usage = Usage(replay.loop.time())
        for host_id, host in replay.hosts.items():
            usage.versions[host_id] = host.version
            usage.ready[host_id] = frozenset(
                target.target_id
                for target in host.node.targets
                if not target.is_draining
            )
        seen.append(usage)
        await asyncio.sleep(CHECK_S)
