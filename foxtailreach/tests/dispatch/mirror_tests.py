"""Replicas of the platform's topics, and copies between hosts."""

from __future__ import annotations

from foxtailreach.core.dispatch.messages import KeyedRecord
from foxtailreach.core.dispatch.mirror import (
    NO_VERSION,
    Change,
    StateMirror,
    TopicMirror,
)


def classify(known: KeyedRecord | None, newer: KeyedRecord) -> Change:
    if known is not None and known.payload == newer.payload:
        return Change.REPEATED
    return Change.MATERIAL


def record(key: str, offset: int, payload: bytes = b'v') -> KeyedRecord:
    return KeyedRecord(key, payload, offset)


def mirror() -> StateMirror:
    return StateMirror((TopicMirror('t', classify),))


def test_first_change_after_the_first_read_is_newer() -> None:
    """The only record has offset 0; the next one follows at once."""
    reader, other = mirror(), mirror()
    reader.topics['t'].replace([record('a', 0)], 1)
    other.adopt(reader.deltas_since(other.versions()))
    assert not other.is_behind(reader.versions())
    reader.topics['t'].fold([record('a', 1, b'w')], 2)
    assert other.is_behind(reader.versions())
    other.adopt(reader.deltas_since(other.versions()))
    assert other.topics['t'].records['a'].payload == b'w'


def test_repeated_record_does_not_raise_the_version() -> None:
    topic = TopicMirror('t', classify)
    topic.replace([record('a', 0)], 1)
    version = topic.version
    assert not topic.fold([record('a', 1)], 2)
    assert topic.version == version
    assert topic.next_offset == 2


def test_replace_removes_absent_keys_unless_they_are_newer() -> None:
    topic = TopicMirror('t', classify)
    topic.replace([record('a', 0), record('b', 1)], 2)
    topic.fold([record('c', 5)], 6)
    assert topic.replace([record('a', 0)], 3)
    assert set(topic.records) == {'a', 'c'}


def test_change_after_a_removal_by_replace_is_newer() -> None:
    topic = TopicMirror('t', classify)
    topic.replace([record('a', 0), record('b', 1)], 2)
    assert topic.replace([record('a', 0)], 3)
    version = topic.version
    assert topic.fold([record('a', 3, b'w')], 4)
    assert topic.version > version


def test_older_record_changes_nothing() -> None:
    topic = TopicMirror('t', classify)
    topic.replace([record('a', 4, b'new')], 5)
    assert not topic.fold([record('a', 2, b'old')], 3)
    assert topic.records['a'].payload == b'new'
    assert topic.next_offset == 5


def test_older_copy_is_not_adopted() -> None:
    newer, older = mirror(), mirror()
    older.topics['t'].replace([record('a', 0)], 1)
    newer.topics['t'].replace([record('a', 3, b'w')], 4)
    assert not newer.adopt(older.deltas_since(()))
    assert newer.topics['t'].records['a'].payload == b'w'


def test_copy_holds_only_what_changed() -> None:
    """Of 260 known targets one leaves, one changes, and a new one starts."""
    reader, other = mirror(), mirror()
    listed = [record(f'k{index}', index) for index in range(260)]
    reader.topics['t'].replace(listed, 260)
    other.adopt(reader.deltas_since(other.versions()))
    changes = [
        record('k3', 260, b''),
        record('new', 261),
        record('k7', 262, b'w'),
    ]
    reader.topics['t'].fold(changes, 263)
    (copy,) = reader.deltas_since(other.versions())
    assert {entry.key for entry in copy.records} == {'new', 'k7'}
    assert copy.removed == ('k3',)
    other.adopt([copy])
    assert other.topics['t'].records == reader.topics['t'].records
    assert not other.is_diverged


def test_removal_by_replace_is_copied_too() -> None:
    reader, other = mirror(), mirror()
    reader.topics['t'].replace([record('a', 0), record('b', 1)], 2)
    other.adopt(reader.deltas_since(other.versions()))
    reader.topics['t'].replace([record('a', 0)], 9)
    other.adopt(reader.deltas_since(other.versions()))
    assert set(other.topics['t'].records) == {'a'}


def test_diverged_replica_gets_a_whole_copy() -> None:
    """Two readers got lists of the same offset with different targets."""
    first, second, other = mirror(), mirror(), mirror()
    listed = [record(key, index) for index, key in enumerate('abc')]
    for reader in (first, second):
        reader.topics['t'].replace(listed, 3)
    first.topics['t'].replace([record('b', 1), record('c', 2)], 4)
    second.topics['t'].replace([record('a', 0), record('c', 2)], 4)
    other.adopt(first.deltas_since(other.versions()))
    second.topics['t'].fold([record('c', 8, b'w')], 9)
    other.adopt(second.deltas_since(other.versions()))
    assert other.is_diverged
    other.adopt(second.deltas_since(other.pull_versions()))
    assert not other.is_diverged
    assert other.topics['t'].records == second.topics['t'].records


def test_host_with_an_unknown_version_gets_all_records() -> None:
    reader = mirror()
    reader.topics['t'].replace([record('a', 5), record('b', 6)], 7)
    copy = reader.topics['t'].copy(3)
    assert copy.base_version == NO_VERSION
    assert len(copy.records) == 2


def test_retained_target_ends_with_its_renewal() -> None:
    """It was renewed after the outage, and then leaves by itself."""
    retained = mirror().retained
    retained.keep([record('a', 0), record('b', 1)], 2500)
    retained.discard(['a', 'c'])
    assert retained.keys == ('b',)
    assert retained.remaining_us(500) == 2000
    assert not retained.expire(2499)
    assert retained.expire(2500) == ['b']
    assert not retained.remaining_us(500)
