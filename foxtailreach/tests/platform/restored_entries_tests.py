"""Entries of the platform that are outdated once its store was restored."""

from __future__ import annotations

import json
from typing import Any

import pytest

from foxtailreach.core.dispatch.messages import KeyedRecord
from foxtailreach.platform import records
from foxtailreach.tests.platform.records_tests import CONFIGURATION, HEARTBEAT

STARTED = HEARTBEAT['born']
DRAINING = {**HEARTBEAT, 'state': 'draining', 'sequence': 8}


def states_after(
    entries: list[dict[str, Any] | None], restored: dict[str, Any], era: int
) -> list[bool]:
    """Return whether the target drains after a restoration and a new entry.

    Before it, the target writes `entries`; None removes its entry.
    """
    mirror = records.create_mirror()
    topic = mirror.topics[records.TARGETS_TOPIC]
    topic.replace([], 0)
    payloads = [
        b'' if entry is None else json.dumps(entry).encode()
        for entry in entries
    ]
    for offset, payload in enumerate(payloads):
        topic.fold([KeyedRecord('i-1', payload, offset)], offset + 1)
    if era:
        listed = KeyedRecord('i-1', json.dumps(HEARTBEAT).encode(), 0)
        topic.replace([listed], 1, era)
    end = topic.next_offset
    payload = json.dumps(restored).encode()
    topic.fold([KeyedRecord('i-1', payload, end)], end + 1)
    return [target.is_draining for target in records.decode_targets(mirror)]


@pytest.mark.parametrize('entries', [[DRAINING], [DRAINING, None]])
@pytest.mark.parametrize(
    ('restored', 'is_draining'),
    [
        ({**HEARTBEAT, 'sequence': 5}, True),
        # It writes the entry again that it wrote before it drained.
        ({**HEARTBEAT, 'sequence': 9}, True),
        ({**DRAINING, 'sequence': 9}, True),
        ({**HEARTBEAT, 'born': STARTED + 1, 'sequence': 1}, False),
        ({**HEARTBEAT, 'born': STARTED - 1, 'sequence': 99}, True),
    ],
)
def test_drained_target_is_ready_again_before_it_starts(
    entries: list[dict[str, Any] | None],
    restored: dict[str, Any],
    is_draining: bool,
) -> None:
    """The restored store lists what the target wrote before it drained."""
    assert states_after(entries, restored, 1) == [is_draining]


@pytest.mark.parametrize(('era', 'is_draining'), [(0, False), (1, True)])
def test_entry_after_a_drain_counts_differently_without_eras(
    era: int, is_draining: bool
) -> None:
    """A store that was never restored is followed as it always was."""
    restored = {**HEARTBEAT, 'sequence': 9}
    assert states_after([DRAINING], restored, era) == [is_draining]


def test_malformed_entry_ends_a_drain() -> None:
    """The next entry would be the first one that the host knows."""
    mirror = records.create_mirror()
    topic = mirror.topics[records.TARGETS_TOPIC]
    topic.replace([KeyedRecord('i-1', json.dumps(DRAINING).encode(), 3)], 4)
    topic.replace([KeyedRecord('i-1', b'?', 0)], 1, 1)
    topic.fold([KeyedRecord('i-1', json.dumps(HEARTBEAT).encode(), 1)], 2)
    assert [one.is_draining for one in records.decode_targets(mirror)] == [True]


@pytest.mark.parametrize('is_removed', [False, True])
@pytest.mark.parametrize(
    ('listed', 'written', 'in_force'),
    [
        (7, None, 12),
        (None, None, 12),
        (7, 11, 12),
        (7, 12, 12),
        (7, 13, 13),
        (None, 13, 13),
    ],
)
def test_lower_configuration_replaces_the_one_in_force(
    is_removed: bool, listed: int | None, written: int | None, in_force: int
) -> None:
    """A lower version holds keys that were withdrawn."""
    mirror = records.create_mirror()
    topic = mirror.topics[records.OPERATOR_TOPIC]

    def configuration(version: int, offset: int) -> KeyedRecord:
        content = {**CONFIGURATION, 'version': f'{version:08x}'}
        payload = json.dumps(content).encode()
        return KeyedRecord(records.CONFIGURATION_KEY, payload, offset)

    topic.replace([configuration(12, 5)], 6)
    if is_removed:
        removal = KeyedRecord(records.CONFIGURATION_KEY, b'', 6)
        topic.fold([removal], 7)
    topic.replace([] if listed is None else [configuration(listed, 0)], 1, 1)
    if written is not None:
        topic.fold([configuration(written, 1)], 2)
    deployment = records.decode_deployment(mirror)
    if deployment is None:
        # The host goes on with the one that it has decoded.
        assert is_removed
        assert (listed, written) == (None, None)
    else:
        assert deployment.version == in_force


def test_hosts_that_saw_a_drain_contradict_those_that_did_not() -> None:
    """They use the same targets, but would copy all with each notice."""
    ready = KeyedRecord('i-1', json.dumps(HEARTBEAT).encode(), 0)
    draining = KeyedRecord('i-1', json.dumps(DRAINING).encode(), 1)
    removal = KeyedRecord('i-1', b'', 2)
    mirrors = []
    for written in ([ready, draining, removal], [ready, removal]):
        mirror = records.create_mirror()
        topic = mirror.topics[records.TARGETS_TOPIC]
        topic.replace([], 0)
        topic.fold(written, 3)
        topic.replace([ready], 1, 1)
        mirrors.append(mirror)
    first, second = mirrors
    drained = [one.is_draining for one in records.decode_targets(first)]
    assert drained == [True]
    assert not records.decode_targets(second)
    assert not first.contradicted(second.versions())
    # Nor does a host that is in the newer era with a target that drains.
    topic = second.topics[records.TARGETS_TOPIC]
    topic.replace([ready, KeyedRecord('i-2', draining.payload, 0)], 1, 2)
    first.topics[records.TARGETS_TOPIC].replace([ready], 1, 2)
    assert not first.contradicted(second.versions())


def test_drain_that_was_known_before_counts_in_the_digest() -> None:
    """One host was in the older era with a target that drains."""
    draining = KeyedRecord('i-1', json.dumps(DRAINING).encode(), 3)
    known, started = records.create_mirror(), records.create_mirror()
    for mirror, listed in ((known, [draining]), (started, [])):
        topic = mirror.topics[records.TARGETS_TOPIC]
        topic.replace(listed, 4)
        ready = KeyedRecord('i-1', json.dumps(HEARTBEAT).encode(), 0)
        topic.replace([ready] if listed else [], 1, 1)
    assert not known.contradicted(started.versions())
