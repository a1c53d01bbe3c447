"""A replica of the platform's topics on this host.

A few hosts read the platform; the others pull copies from them. The version
of a topic is the offset after its last material change, so that records that
repeat known values (heartbeats) cause no traffic between hosts.

Load pattern: all hosts of a domain pull a change at once, through the network
link of the host that read it. So a copy is a delta: it holds only what changed
since the version of the other host. A digest of the keys shows whether both
replicas are equal afterwards; if not, the whole topic is copied.
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

# Removed keys that are kept for deltas; hosts with an older version get a whole
# copy.
MAX_TOMBSTONES = 2000
# Version of a replica without records.
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


class TopicMirror:
    """Replica of one topic: the newest record of each key.

    `is_diverged` means that its keys differ from those of another host after a
    delta, so that the next copy must be whole.
    """

    __slots__ = (
        '_changed_versions',
        '_classify',
        '_history_start',
        '_removed_versions',
        'is_diverged',
        'name',
        'next_offset',
        'records',
        'version',
    )

    def __init__(self, name: str, classify: Classify) -> None:
        """Create an empty replica.

        `classify` compares the known record of a key, if any, to a newer one.
        """
        self.name = name
        self.records: dict[str, KeyedRecord] = {}
        self.version = NO_VERSION
        self.next_offset = -1
        self.is_diverged = False
        self._classify = classify
        # Versions of the last change and of the removal of each key. Both are
        # complete since version `_history_start`.
        self._changed_versions: dict[str, int] = {}
        self._removed_versions: dict[str, int] = {}
        self._history_start = 0

    @property
    def is_read(self) -> bool:
        """Whether the topic was read at least once."""
        return self.next_offset >= 0

    def fold(self, records: Iterable[KeyedRecord], next_offset: int) -> bool:
        """Apply records in order; return whether any was a material change."""
        is_changed = False
        for record in records:
            is_changed = self._apply(record) or is_changed
        if next_offset > self.next_offset:
            self.next_offset = next_offset
        return is_changed

    def replace(
        self,
        records: Iterable[KeyedRecord],
        next_offset: int,
    ) -> bool:
        """Replace all records up to `next_offset`; absent keys are removed.

        Return whether anything changed.
        """
        is_first = not self.is_read
        listed = {record.key: record for record in records}
        missing_keys = [
            record.key
            for record in self.records.values()
            if record.key not in listed and record.offset < next_offset
        ]
        is_changed = self.fold(listed.values(), next_offset)
        if is_first or missing_keys:
            # The records that removed those keys lie before the next offset.
            self.version = max(self.version, next_offset)
        if is_first:
            self._history_start = self.version
        for key in missing_keys:
            self._remove(key)
        return is_changed or is_first or bool(missing_keys)

    @property
    def pull_version(self) -> int:
        """Version for the next pull; `NO_VERSION` requests all records."""
        return NO_VERSION if self.is_diverged else self.version

    def copy(self, since: int) -> TopicCopy:
        """Return the delta since a version, or all records if it is unknown."""
        base = since if since >= self._history_start else NO_VERSION
        records = [
            record
            for key, record in self.records.items()
            if base == NO_VERSION
            or self._changed_versions.get(key, base) > base
        ]
        removed = [
            key
            for key, removed_version in self._removed_versions.items()
            if removed_version > base
        ]
        return TopicCopy(
            topic=self.name,
            base_version=base,
            version=self.version,
            next_offset=self.next_offset,
            records=tuple(records),
            removed=() if base == NO_VERSION else tuple(removed),
            key_digest=self._key_digest(),
        )

    def adopt(self, copy: TopicCopy) -> bool:
        """Apply a copy from another host.

        Return False if it is not newer, or if its base version is newer than
        this replica.
        """
        is_whole = copy.base_version == NO_VERSION
        if copy.version <= self.version and not (is_whole and self.is_diverged):
            return False
        if is_whole:
            self._replace_all(copy)
            return True
        if copy.base_version > self.version:
            return False
        for record in copy.records:
            self.records[record.key] = record
            self._changed_versions[record.key] = copy.version
            self._removed_versions.pop(record.key, None)
        self.version = copy.version
        self.next_offset = max(self.next_offset, copy.next_offset)
        for key in copy.removed:
            if self.records.get(key) is not None:
                self._remove(key)
        self.is_diverged = copy.key_digest != self._key_digest()
        return True

    def _replace_all(self, copy: TopicCopy) -> None:
        self.records = {record.key: record for record in copy.records}
        self.version = copy.version
        self.next_offset = copy.next_offset
        self.is_diverged = False
        self._changed_versions.clear()
        self._removed_versions.clear()
        self._history_start = copy.version

    def _apply(self, record: KeyedRecord) -> bool:
        known = self.records.get(record.key)
        if known is not None and record.offset <= known.offset:
            return False
        if not record.payload:
            if record.key not in self.records:
                return False
            self._advance_version(record)
            self._remove(record.key)
            return True
        change = self._classify(known, record)
        if change is Change.STALE:
            return False
        self.records[record.key] = record
        if change is Change.MATERIAL:
            self._advance_version(record)
            self._changed_versions[record.key] = self.version
            self._removed_versions.pop(record.key, None)
        return change is Change.MATERIAL

    def _advance_version(self, record: KeyedRecord) -> None:
        """Raise the version beyond the record's offset and the old version."""
        self.version = max(self.version + 1, record.offset + 1)

    def _remove(self, key: str) -> None:
        """Remove a key, and keep a tombstone with the version."""
        self.records.pop(key)
        self._changed_versions.pop(key, None)
        self._removed_versions[key] = self.version
        while len(self._removed_versions) > MAX_TOMBSTONES:
            oldest = min(
                self._removed_versions,
                key=self._removed_versions.__getitem__,
            )
            self._history_start = max(
                self._history_start,
                self._removed_versions.pop(oldest),
            )

    def _key_digest(self) -> int:
        """Hash the keys to a non-negative 63-bit integer."""
        digest = xxhash.xxh64()
        for key in sorted(self.records):
            digest.update(f'{key}\n'.encode())
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
        return tuple(
            TopicVersion(name, topic.version)
            for name, topic in self.topics.items()
        )

    def pull_versions(self) -> tuple[TopicVersion, ...]:
        """Return the versions for the next pull."""
        return tuple(
            TopicVersion(name, topic.pull_version)
            for name, topic in self.topics.items()
        )

    @property
    def is_diverged(self) -> bool:
        """Whether any topic needs a whole copy."""
        return any(topic.is_diverged for topic in self.topics.values())

    def is_behind(self, versions: Iterable[TopicVersion]) -> bool:
        """Tell whether another host has a newer version of any topic."""
        return any(
            version.topic in self.topics
            and version.offset > self.topics[version.topic].version
            for version in versions
        )

    def deltas_since(
        self,
        versions: Iterable[TopicVersion],
    ) -> tuple[TopicCopy, ...]:
        """Return the delta of each topic that is newer here."""
        other_versions = {version.topic: version.offset for version in versions}
        return tuple(
            topic.copy(other_versions.get(name, NO_VERSION))
            for name, topic in self.topics.items()
            if topic.version > other_versions.get(name, NO_VERSION)
        )

    def adopt(self, copies: Iterable[TopicCopy]) -> bool:
        """Apply copies from another host; return whether any was newer."""
        adopted = [
            self.topics[copy.topic].adopt(copy)
            for copy in copies
            if copy.topic in self.topics
        ]
        return any(adopted)
