"""Replicas of topics and uses of offsets after the store was restored."""

from __future__ import annotations

import pytest

from foxtailreach.core.dispatch.changes import Change
from foxtailreach.core.dispatch.deployment import TargetSpec
from foxtailreach.core.dispatch.eras import (
    MAX_FORMER_RECORDS,
    EraRules,
    FormerRecords,
    state_version,
)
from foxtailreach.core.dispatch.granted_targets import has_left
from foxtailreach.core.dispatch.messages import (
    KeyedRecord,
    SlotGrant,
    TopicVersion,
)
from foxtailreach.core.dispatch.mirror import StateMirror, TopicMirror
from foxtailreach.core.dispatch.outages import OutageDetector
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.tests.dispatch.mirror_tests import (
    classify,
    mirror,
    pull,
    record,
    values_of,
)

# Eras may skip numbers, if the store is restored again while it is away.
ERAS = (1, 3)


def restored(
    replica: StateMirror, listed: list[KeyedRecord], end: int, era: int = 1
) -> bool:
    return replica.topics['t'].replace(listed, end, era)


@pytest.mark.parametrize('era', ERAS)
def test_host_takes_the_higher_offset_of_an_older_era_for_newer(
    era: int,
) -> None:
    """Offsets go back, so a host that has read more would never copy."""
    reader, other = mirror(), mirror()
    for replica in (reader, other):
        replica.topics['t'].replace([record('a', 0), record('b', 8)], 9)
    assert restored(reader, [record('a', 0, b'w')], 1, era)
    assert other.is_behind(reader.versions())
    assert not reader.is_behind(other.versions())
    assert not reader.adopt(other.deltas_since(()))
    pull(other, reader)
    assert values_of(other) == values_of(reader) == {'a': b'w'}
    assert other.versions() == reader.versions()


def test_write_with_an_offset_that_was_used_before_is_ignored() -> None:
    """The store gives out the offsets of the lost writes again."""
    replica = mirror()
    replica.topics['t'].replace([record('a', 5)], 9)
    restored(replica, [record('a', 1)], 3)
    assert replica.topics['t'].fold([record('a', 3, b'w')], 4)
    assert values_of(replica) == {'a': b'w'}


def test_host_that_held_the_same_before_and_after_copies_nothing() -> None:
    """Copies of a whole topic to all hosts would fill the reader's link."""
    reader, other = mirror(), mirror()
    for replica in (reader, other):
        replica.topics['t'].replace([record('a', 4), record('b', 8)], 9)
    restored(reader, [record('a', 1), record('b', 2)], 3)
    assert other.follow(reader.versions())
    assert other.versions() == reader.versions()
    reader.topics['t'].fold([record('b', 3, b'w')], 4)
    (copy,) = reader.deltas_since(other.pull_versions())
    assert [entry.key for entry in copy.records] == ['b']
    other.adopt([copy])
    assert values_of(other) == values_of(reader)
    assert not other.is_diverged


@pytest.mark.parametrize('base', [9, 1])
def test_changes_since_an_offset_of_another_era_are_all_records(
    base: int,
) -> None:
    """A delta since an offset that meant other records would lose some."""
    reader = mirror()
    restored(reader, [record('a', 0), record('b', 1)], 2)
    reader.topics['t'].fold([record('b', 2, b'w')], 3)
    (copy,) = reader.deltas_since([TopicVersion('t', base, base, 0)])
    assert {entry.key for entry in copy.records} == {'a', 'b'}


def test_replicas_of_different_eras_are_compared_by_digest() -> None:
    """Equal offsets of different eras do not contradict each other."""
    reader, other = mirror(), mirror()
    other.topics['t'].replace([record('a', 0)], 1)
    restored(reader, [record('a', 0, b'w')], 1)
    assert not reader.contradicted(other.versions())
    assert not other.contradicted(reader.versions())


def test_list_of_an_older_era_replaces_a_newer_one() -> None:
    """The answer to a call from before the restoration arrives after it."""
    replica = mirror()
    restored(replica, [record('a', 0)], 1, era=2)
    assert not restored(replica, [record('b', 5)], 9, era=1)
    assert values_of(replica) == {'a': b'v'}


def numbered() -> StateMirror:
    """Return a mirror in which the highest value of a key lasts."""

    def is_older(known: KeyedRecord, other: KeyedRecord) -> bool:
        return other.payload < known.payload

    def is_final(one: KeyedRecord) -> bool:
        return one.payload >= b'9'

    rules = EraRules(is_older, is_final, lambda one: one.key == 'config')
    return StateMirror((TopicMirror('t', classify, rules=rules),))


def test_removed_record_that_lasts_is_outdated_by_an_older_one() -> None:
    """A target drained and left; the restored store lists it as ready."""
    replica, fresh = numbered(), numbered()
    replica.topics['t'].replace([record('a', 0, b'9'), record('b', 1)], 2)
    replica.topics['t'].fold([record('a', 2, b'')], 3)
    for one in (replica, fresh):
        restored(one, [record('a', 0, b'5')], 1)
    assert values_of(replica) == {'a': b'9'}
    (topic,) = fresh.contradicted(replica.versions())
    topic.is_diverged = True
    pull(fresh, replica)
    assert values_of(fresh) == values_of(replica)
    restored(fresh, [record('a', 0, b'5')], 1)
    assert values_of(fresh) == {'a': b'9'}


def test_lasting_record_is_lost_with_the_restoration() -> None:
    """Without its configuration a host would refuse all requests."""
    replica = numbered()
    replica.topics['t'].replace([record('config', 0), record('b', 1)], 2)
    assert restored(replica, [], 0)
    assert values_of(replica) == {'config': b'v'}
    assert replica.topics['t'].fold([record('config', 0, b'w')], 1)


@pytest.mark.parametrize('is_written', [False, True])
def test_record_that_was_lost_is_in_the_copy_of_the_next_restoration(
    is_written: bool,
) -> None:
    """Found by the state machine: a target that had left was used again.

    The first restored store lacked it, so that it counted as gone; if it lives
    it writes again.
    """
    rules = EraRules(is_same_start=lambda left, other: True)
    topic = TopicMirror('t', classify, rules=rules)
    topic.replace([record('a', 0)], 1)
    topic.replace([], 1, 1)
    topic.replace([record('a', 0)], 1, 2)
    assert not topic.records
    if is_written:
        topic.fold([record('a', 1)], 2)
        topic.replace([record('a', 0)], 1, 3)
    assert bool(topic.records) is is_written


def test_memory_of_removed_records_grows() -> None:
    """Targets leave for as long as a host runs."""
    memory = FormerRecords(EraRules())
    for index in range(MAX_FORMER_RECORDS + 5):
        memory.remember(record(f'k{index}', index))
    assert len(memory._records) == MAX_FORMER_RECORDS


@pytest.mark.parametrize('change', list(Change))
def test_rules_apply_before_any_restoration(change: Change) -> None:
    """A store without eras must be followed as before."""
    rules = EraRules(lambda known, other: True, lambda one: True)
    topic = TopicMirror('t', lambda known, newer: change, rules=rules)
    topic.replace([record('a', 0)], 1)
    topic.fold([record('a', 1, b'w')], 2)
    assert bool(topic.records) == (change is not Change.STALE)
    if topic.records:
        assert topic.records['a'].payload == b'w'


READY = TargetSpec('t0', 'svc', 'north', '10.0.0.1', 80, 2, started_ms=7)
DRAINING = TargetSpec(
    't0', 'svc', 'north', '10.0.0.1', 80, 2, is_draining=True, started_ms=7
)
RESTARTED = TargetSpec('t0', 'svc', 'north', '10.0.0.1', 80, 2, started_ms=9)


@pytest.mark.parametrize(
    ('granted', 'known', 'target', 'is_known'),
    [
        # The broker reads the newer era and may not know of the drain.
        ((1, 5), (0, 900), DRAINING, True),
        ((1, 5), (0, 900), READY, False),
        # It may know a target that this host does not know yet.
        ((1, 5), (0, 900), None, False),
        ((1, 5), (0, 900), RESTARTED, False),
        # The broker serves by the older era, with higher offsets.
        ((0, 900), (1, 5), None, True),
        ((0, 900), (1, 5), READY, False),
        ((0, 900), (1, 5), RESTARTED, True),
        # The same era.
        ((1, 6), (1, 5), DRAINING, False),
        ((1, 4), (1, 5), DRAINING, True),
        ((0, 6), (0, 5), DRAINING, False),
        ((0, -1), (0, -1), None, True),
    ],
)
def test_grant_of_a_broker_in_another_era_leads_to_a_draining_target(
    granted: tuple[int, int],
    known: tuple[int, int],
    target: TargetSpec | None,
    is_known: bool,
) -> None:
    """Offsets of two eras would be compared as if they were of one."""
    grant = SlotGrant(1, 't0', '10.0.0.1', 80, 7, 0, state_version(*granted))
    assert has_left(grant, target, state_version(*known)) is is_known


def test_restoration_looks_like_an_outage() -> None:
    """The log got shorter, so heartbeats in it do not tell the time away."""
    detector = OutageDetector(1500 * MILLISECOND_US)
    detector.record_read(900, SECOND_US)
    page = [record('a', 3), record('b', 4)]
    assert not detector.was_away(page, 0, 5, 9 * SECOND_US, era=1)
    detector.record_read(5, 9 * SECOND_US, era=1)
    # A reader that still reads the older era.
    detector.record_read(901, 9 * SECOND_US + 1)
    assert not detector.was_away([], 0, 5, 10 * SECOND_US, era=1)
    assert detector.was_away([], 0, 5, 19 * SECOND_US, era=1)
