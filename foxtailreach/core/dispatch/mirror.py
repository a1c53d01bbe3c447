"""A replica of the platform's topics on this host.

A few hosts read the platform; the others pull copies from them. Hosts compare
their replicas by offsets of the store, which mean the same on all of them,
whether a host read the log, listed the newest records or got a copy: a replica
holds the content of its topic at each offset from `changed_offset` to
`next_offset`. So a host is behind if another one knows of a change at or after
its own `next_offset`. Records that repeat known values (heartbeats) do not
change the content and cause no traffic between hosts.

Two replicas whose offsets overlap must hold the same content, which a digest of
keys and values shows. If they do not, the whole topic is copied.

Load pattern: all hosts of a domain pull a change at once, through the network
link of the host that read it. So a copy is a delta: it holds only what changed
since the other host's `next_offset`.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable

import xxhash

from foxtailreach.core.dispatch.freshness import Freshness
from foxtailreach.core.dispatch.messages import (
    KeyedRecord,
    TopicCopy,
    TopicVersion,
)
from foxtailreach.core.dispatch.retention import RetainedRecords

# Removed keys that are kept for deltas; hosts with an older replica get a whole
# copy.
MAX_TOMBSTONES = 2000
# Offset of a replica that was never read.
NO_VERSION = -1
_DIGEST_BITS = 63


class Change(enum.Enum):
    """Effect of a record on the known value of its key.

    `STALE` records are ignored, `REPEATED` ones are stored without a new
    version, and `MATERIAL` ones create a new version.
    """

    STALE = 'stale'
    REPEATED = 'repeated'
    MATERIAL = 'material'


Classify = Callable[[KeyedRecord | None, KeyedRecord], Change]
# Returns the part of a record that two replicas must agree on.
Fingerprint = Callable[[KeyedRecord], bytes]


def whole_payload(record: KeyedRecord) -> bytes:
    """Return the payload, for topics where each byte counts."""
    return record.payload


class TopicMirror:
    """Replica of one topic: the newest record of each key.

    `changed_offset` follows the newest change that this replica holds, or is
    later where its exact offset is unknown; `next_offset` is where the log is
    read on. `is_diverged` means that another host holds other content at the
    same offset, so that the next copy or read must be whole.
    """

    __slots__ = (
        '_changed_offsets',
        '_classify',
        '_digest',
        '_fingerprint',
        '_history_start',
        '_key_digests',
        '_removed_offsets',
        'changed_offset',
        'is_diverged',
        'name',
        'next_offset',
        'records',
    )

    def __init__(
        self,
        name: str,
        classify: Classify,
        fingerprint: Fingerprint = whole_payload,
    ) -> None:
        """Create an empty replica.

        `classify` compares the known record of a key, if any, to a newer one.
        Records with different fingerprints are material changes.
        """
        self.name = name
        self.records: dict[str, KeyedRecord] = {}
        self.changed_offset = NO_VERSION
        self.next_offset = NO_VERSION
        self.is_diverged = False
        self._classify = classify
        self._fingerprint = fingerprint
        # Offsets of the last change and of the removal of each key, or later
        # ones. Both are complete since `_history_start`.
        self._changed_offsets: dict[str, int] = {}
        self._removed_offsets: dict[str, int] = {}
        self._history_start = 0
        self._key_digests: dict[str, int] = {}
        self._digest = 0

    @property
    def is_read(self) -> bool:
        """Whether the topic was read at least once."""
        return self.next_offset >= 0

    @property
    def version(self) -> TopicVersion:
        """Offsets and digest of this replica."""
        return TopicVersion(
            self.name, self.changed_offset, self.next_offset, self._digest
        )

    @property
    def pull_version(self) -> TopicVersion:
        """Version for the next pull; without offsets it requests all."""
        if self.is_diverged:
            return TopicVersion(self.name, NO_VERSION, NO_VERSION, 0)
        return self.version

    def is_behind(self, other: TopicVersion) -> bool:
        """Tell whether another replica holds a change that this one lacks."""
        return other.changed_offset > max(self.next_offset, self.changed_offset)

    def contradicts(self, other: TopicVersion) -> bool:
        """Tell whether another replica holds other content at an offset."""
        first = max(self.changed_offset, other.changed_offset)
        last = min(self.next_offset, other.next_offset)
        return 0 <= first <= last and other.digest != self._digest

    def follow(self, other: TopicVersion) -> None:
        """Advance to the offset of another replica with the same content."""
        if self.is_behind(other) or other.changed_offset < 0:
            return
        if other.digest == self._digest and not self.is_diverged:
            self.next_offset = max(self.next_offset, other.next_offset)

    def fold(self, records: Iterable[KeyedRecord], next_offset: int) -> bool:
        """Apply records in order; return whether any was a material change."""
        is_changed = False
        for record in records:
            is_changed = self._apply(record) or is_changed
        self.next_offset = max(self.next_offset, next_offset)
        return is_changed

    def replace(
        self,
        records: Iterable[KeyedRecord],
        next_offset: int,
    ) -> bool:
        """Replace all records up to `next_offset`; absent keys are removed.

        Return whether anything changed. The list may hold records from
        `next_offset` on, which were appended while it was read.
        """
        is_first = not self.is_read
        is_current = next_offset >= self.next_offset
        listed = {record.key: record for record in records}
        missing_keys = self._missing_keys(listed, next_offset)
        # An absent key was removed after an older list was made.
        usable = [
            record
            for record in listed.values()
            if is_current
            or record.offset >= self.next_offset
            or record.key in self.records
        ]
        if is_current and self.is_diverged:
            is_changed = self._merge(usable, next_offset)
            self.is_diverged = False
        else:
            is_changed = self.fold(usable, next_offset)
        for key in missing_keys:
            self._remove(key, next_offset - 1)
        if is_current:
            # The list does not show when the content became what it is.
            ends = (record.offset + 1 for record in usable)
            self.changed_offset = max(next_offset, self.changed_offset, *ends)
        if is_first:
            self._history_start = next_offset
        self.next_offset = max(self.next_offset, next_offset)
        return is_changed or is_first or bool(missing_keys)

    def copy(self, since: int) -> TopicCopy:
        """Return what changed from an offset on.

        That is nothing if the content was the same then, and the whole topic if
        not all changes since then are known.
        """
        is_same = since >= self.changed_offset
        is_known = since >= self._history_start
        base = since if is_same or is_known else NO_VERSION
        records = [
            record
            for key, record in self.records.items()
            if not is_same and self._changed_offsets.get(key, base) >= base
        ]
        removed = [
            key
            for key, removed_offset in self._removed_offsets.items()
            if not is_same and removed_offset >= base
        ]
        return TopicCopy(
            topic=self.name,
            base_offset=base,
            changed_offset=self.changed_offset,
            next_offset=self.next_offset,
            records=tuple(records),
            removed=() if base == NO_VERSION else tuple(removed),
            digest=self._digest,
        )

    def adopt(self, copy: TopicCopy) -> bool:
        """Apply a copy from another host; return whether it changed anything.

        A copy that is older than this replica, or whose base is newer, is
        ignored. Records that are stale by themselves are left out.
        """
        is_whole = copy.base_offset == NO_VERSION
        if is_whole:
            is_needed = self.is_diverged or self.is_behind(copy.version)
            if not is_needed or copy.next_offset < self.next_offset:
                return False
            return self._adopt_whole(copy)
        if copy.base_offset > self.next_offset:
            return False
        if not self.is_behind(copy.version):
            self.follow(copy.version)
            return False
        is_changed = self._merge(copy.records, copy.changed_offset)
        for key in copy.removed:
            is_changed = self._remove(key, copy.next_offset - 1) or is_changed
        self._advance(copy)
        self.is_diverged = copy.digest != self._digest
        return is_changed

    def _adopt_whole(self, copy: TopicCopy) -> bool:
        is_first = not self.is_read
        listed = {record.key: record for record in copy.records}
        missing_keys = self._missing_keys(listed, copy.next_offset)
        is_changed = self._merge(copy.records, copy.changed_offset)
        for key in missing_keys:
            self._remove(key, copy.next_offset - 1)
        self._advance(copy)
        self.is_diverged = False
        if is_first:
            self._history_start = copy.next_offset
        return is_changed or is_first or bool(missing_keys)

    def _advance(self, copy: TopicCopy) -> None:
        self.changed_offset = max(self.changed_offset, copy.changed_offset)
        self.next_offset = max(self.next_offset, copy.next_offset)

    def _missing_keys(
        self, listed: dict[str, KeyedRecord], next_offset: int
    ) -> list[str]:
        return [
            record.key
            for record in self.records.values()
            if record.key not in listed and record.offset < next_offset
        ]

    def _merge(
        self, records: Iterable[KeyedRecord], changed_offset: int
    ) -> bool:
        """Take over the records of a newer replica, unless they are stale.

        Offsets of records are not compared, as replicas that hold the same
        value may have read it from different records.
        """
        is_changed = False
        for record in records:
            known = self.records.get(record.key)
            change = Change.REPEATED
            if known is None or known.payload != record.payload:
                change = self._classify(known, record)
            if change is Change.STALE:
                continue
            self._store(record, change)
            if change is Change.MATERIAL:
                self._changed_offsets[record.key] = max(
                    record.offset, changed_offset - 1
                )
                is_changed = True
        return is_changed

    def _apply(self, record: KeyedRecord) -> bool:
        """Apply the next record of the log; return whether it changed it."""
        known = self.records.get(record.key)
        if known is not None and record.offset <= known.offset:
            return False
        if not record.payload:
            is_removed = self._remove(record.key, record.offset)
            if is_removed:
                self._record_change(record)
            return is_removed
        change = self._classify(known, record)
        if change is Change.STALE:
            return False
        self._store(record, change)
        if change is Change.MATERIAL:
            self._changed_offsets[record.key] = record.offset
            self._record_change(record)
        return change is Change.MATERIAL

    def _record_change(self, record: KeyedRecord) -> None:
        self.changed_offset = max(self.changed_offset, record.offset + 1)

    def _store(self, record: KeyedRecord, change: Change) -> None:
        self.records[record.key] = record
        if change is Change.MATERIAL:
            self._removed_offsets.pop(record.key, None)
            self._update_digest(record.key, self._digest_of(record))

    def _remove(self, key: str, offset: int) -> bool:
        """Remove a key, and keep a tombstone; false if it is unknown.

        The key was removed at `offset` at the latest.
        """
        if self.records.pop(key, None) is None:
            return False
        self._changed_offsets.pop(key, None)
        self._update_digest(key, 0)
        self._removed_offsets[key] = offset
        while len(self._removed_offsets) > MAX_TOMBSTONES:
            oldest = min(
                self._removed_offsets,
                key=self._removed_offsets.__getitem__,
            )
            self._history_start = max(
                self._history_start,
                self._removed_offsets.pop(oldest) + 1,
            )
        return True

    def _update_digest(self, key: str, key_digest: int) -> None:
        """Replace the part of a key in the digest; 0 removes it."""
        self._digest ^= self._key_digests.pop(key, 0) ^ key_digest
        if key_digest:
            self._key_digests[key] = key_digest

    def _digest_of(self, record: KeyedRecord) -> int:
        """Hash key and fingerprint to a non-negative 63-bit integer."""
        digest = xxhash.xxh64(f'{record.key}\n'.encode())
        digest.update(self._fingerprint(record))
        return int(digest.intdigest()) >> (64 - _DIGEST_BITS)


class StateMirror:
    """The replicas of all topics on this host.

    `retained` are targets that the topics lack but that are still used;
    `freshness` tells until when this host knows of all changes of the
    configuration.
    """

    __slots__ = ('freshness', 'retained', 'topics')

    def __init__(self, topics: Iterable[TopicMirror]) -> None:
        """Create a mirror of these topics."""
        self.topics = {topic.name: topic for topic in topics}
        self.retained = RetainedRecords()
        self.freshness = Freshness()

    def versions(self) -> tuple[TopicVersion, ...]:
        """Return the version of each topic."""
        return tuple(topic.version for topic in self.topics.values())

    def pull_versions(self) -> tuple[TopicVersion, ...]:
        """Return the versions for the next pull."""
        return tuple(topic.pull_version for topic in self.topics.values())

    @property
    def is_diverged(self) -> bool:
        """Whether any topic needs a whole copy."""
        return any(topic.is_diverged for topic in self.topics.values())

    def is_behind(self, versions: Iterable[TopicVersion]) -> bool:
        """Tell whether another host has a newer version of any topic."""
        return any(
            version.topic in self.topics
            and self.topics[version.topic].is_behind(version)
            for version in versions
        )

    def contradicted(
        self, versions: Iterable[TopicVersion]
    ) -> tuple[TopicMirror, ...]:
        """Return the topics of which another host holds other content."""
        return tuple(
            self.topics[version.topic]
            for version in versions
            if version.topic in self.topics
            and self.topics[version.topic].contradicts(version)
        )

    def follow(self, versions: Iterable[TopicVersion]) -> None:
        """Advance the topics that are the same on another host."""
        for version in versions:
            topic = self.topics.get(version.topic)
            if topic is not None:
                topic.follow(version)

    def deltas_since(
        self,
        versions: Iterable[TopicVersion],
    ) -> tuple[TopicCopy, ...]:
        """Return the delta of each topic that is not older here."""
        next_offsets = {
            version.topic: version.next_offset for version in versions
        }
        return tuple(
            topic.copy(next_offsets.get(name, NO_VERSION))
            for name, topic in self.topics.items()
            if topic.is_read
            and topic.next_offset >= next_offsets.get(name, NO_VERSION)
        )

    def adopt(self, copies: Iterable[TopicCopy]) -> bool:
        """Apply copies from another host; return whether any changed this."""
        adopted = [
            self.topics[copy.topic].adopt(copy)
            for copy in copies
            if copy.topic in self.topics
        ]
        return any(adopted)
