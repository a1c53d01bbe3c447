"""Replicas of the platform's topics, and copies between hosts."""

from __future__ import annotations

from typing import Any

import hypothesis
from hypothesis import strategies as st

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
    assert topic.changed_offset == version.changed_offset
    assert topic.version.digest == version.digest
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
    changed_offset = topic.changed_offset
    assert topic.fold([record('a', 3, b'w')], 4)
    assert topic.changed_offset > changed_offset


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
    assert copy.base_offset == NO_VERSION
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


def values_of(replica: StateMirror) -> dict[str, bytes]:
    return {
        key: record.payload
        for key, record in replica.topics['t'].records.items()
    }


def pull(replica: StateMirror, other: StateMirror) -> None:
    """Pull as a host does when the other one sends a notice."""
    if replica.is_behind(other.versions()):
        replica.adopt(other.deltas_since(replica.pull_versions()))
    if replica.is_diverged:
        replica.adopt(other.deltas_since(replica.pull_versions()))


class Log:
    """A topic of the store, and the ways in which a host may read it."""

    def __init__(self) -> None:
        """Start with an empty log."""
        self._log: list[KeyedRecord] = []

    def append(self, key: str, payload: bytes) -> None:
        """Append a record; one without a payload removes its key."""
        self._log.append(record(key, len(self._log), payload))

    def read(self, replica: StateMirror, way: str) -> None:
        """Read all records, or list the newest record of each key."""
        topic = replica.topics['t']
        end = len(self._log)
        if way == 'list' or not topic.is_read:
            newest = {one.key: one for one in self._log}
            listed = sorted(newest.values(), key=lambda one: one.key)
            topic.replace([one for one in listed if one.payload], end)
        else:
            topic.fold(self._log[topic.next_offset :], end)


def test_lister_and_log_reader_agree_on_who_is_behind() -> None:
    """Guards against a withdrawn key in use after a reader's freeze (review 1).

    A host that listed the topic numbered it higher than those that read record
    by record, so that a host with its copy took the reader's next change for
    old, and its own configuration for the newest.
    """
    log = Log()
    reader, follower, restarted = mirror(), mirror(), mirror()
    log.append('config', b'5')
    log.read(reader, 'log')
    pull(follower, reader)
    for key, payload in (('evacuate', b'{}'), ('config', b'6')):
        log.append(key, payload)
        log.read(reader, 'log')
        pull(follower, reader)
    log.read(restarted, 'list')
    log.append('evacuate', b'')
    for replica in (reader, restarted):
        log.read(replica, 'log')
    pull(follower, reader)
    # The reader stands still, so the follower asks a host elsewhere.
    pull(follower, restarted)
    log.append('config', b'9')
    log.read(reader, 'log')
    assert follower.is_behind(reader.versions())
    pull(follower, reader)
    assert values_of(follower) == values_of(reader)


def test_host_that_has_just_started_sends_no_more_than_others() -> None:
    """Many hosts ask it when their reader is lost; most lack nothing."""
    log = Log()
    reader, follower, started = mirror(), mirror(), mirror()
    for key in ('a', 'b'):
        log.append(key, b'v')
    log.read(reader, 'log')
    pull(follower, reader)
    log.append('a', b'v')
    log.read(reader, 'log')
    pull(started, reader)
    (copy,) = started.deltas_since(follower.pull_versions())
    assert not copy.records
    assert not copy.removed
    follower.adopt([copy])
    assert follower.versions() == reader.versions()


KEYS = st.sampled_from(('a', 'b', 'c'))
HOSTS = st.integers(0, 2)
STEPS = st.one_of(
    st.tuples(st.just('append'), KEYS, st.sampled_from((b'', b'v', b'w'))),
    st.tuples(st.just('read'), HOSTS, st.sampled_from(('log', 'list'))),
    st.tuples(st.just('pull'), HOSTS, HOSTS),
)


@hypothesis.settings(max_examples=1500)
@hypothesis.given(st.lists(STEPS, max_size=16), HOSTS, HOSTS)
def test_host_with_other_values_knows_that_it_is_behind(
    steps: list[tuple[Any, ...]], newest: int, other: int
) -> None:
    """Guards against replicas that take old content for the newest (review 1).

    Hosts read the log, list the topic and copy from each other in any order.
    """
    log = Log()
    hosts = [mirror() for _ in range(3)]
    for host in hosts:
        log.read(host, 'list')
    for action, first, second in steps:
        match action:
            case 'append':
                log.append(first, second)
            case 'read':
                log.read(hosts[first], second)
            case 'pull':
                pull(hosts[first], hosts[second])
    log.read(hosts[newest], 'log')
    if values_of(hosts[other]) != values_of(hosts[newest]):
        assert hosts[other].is_behind(hosts[newest].versions())
    pull(hosts[other], hosts[newest])
    assert values_of(hosts[other]) == values_of(hosts[newest])


def test_replicas_with_other_values_at_the_same_offset_find_out() -> None:
    """Equal keys with different values are a difference too."""
    first, second = mirror(), mirror()
    first.topics['t'].replace([record('a', 0)], 1)
    second.topics['t'].replace([record('a', 0, b'w')], 1)
    (topic,) = second.contradicted(first.versions())
    topic.is_diverged = True
    second.adopt(first.deltas_since(second.pull_versions()))
    assert not second.contradicted(first.versions())
    assert values_of(second) == values_of(first)


def test_stale_record_of_a_whole_copy_is_left_out() -> None:
    """A restarted reader listed an older configuration than is in force."""

    def classify_number(
        known: KeyedRecord | None, newer: KeyedRecord
    ) -> Change:
        if known is not None and newer.payload < known.payload:
            return Change.STALE
        return classify(known, newer)

    first = StateMirror((TopicMirror('t', classify_number),))
    second = StateMirror((TopicMirror('t', classify_number),))
    first.topics['t'].replace([record('a', 0, b'9')], 1)
    first.topics['t'].fold([record('a', 1, b'7')], 2)
    second.topics['t'].replace([record('a', 1, b'7')], 2)
    for replica, other in ((first, second), (second, first)):
        for topic in replica.contradicted(other.versions()):
            topic.is_diverged = True
        replica.adopt(other.deltas_since(replica.pull_versions()))
    assert values_of(first) == values_of(second) == {'a': b'9'}
