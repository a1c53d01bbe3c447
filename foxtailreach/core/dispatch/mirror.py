"""This host's copy of what the platform keeps, shared among the hosts.

A few hosts read the platform; the others pull copies from them. A topic's
version is the offset behind its last material change, so that records that
only repeat what is known (heartbeats) cause no traffic between hosts.

Load pattern: one change reaches all hosts of a domain at once, through the
link of the host that read it. So a copy holds what changed since the version
that the other host has. A digest of the keys tells whether both agree
afterwards; if not, the whole topic is copied.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable

import xxhash

from foxtailreach.core.dispatch.messages import (
    KeyedRecord,
    TopicCopy,
    TopicVersion,
)

# Removed keys that are remembered; hosts that know less get a whole copy.
MAX_TOMBSTONES = 2000
NO_VERSION = -1
_DIGEST_BITS = 63


class Change(enum.Enum):
    """What a newer record of a key means."""

    STALE = 'stale'
    REPEATED = 'repeated'
    MATERIAL = 'material'


Classify = Callable[[KeyedRecord | None, KeyedRecord], Change]


class TopicMirror:
    """The newest record of each key of one topic."""

    __slots__ = (
        '_changed',
        '_classify',
        '_known_since',
        '_removed',
        'is_diverged',
        'name',
        'next_offset',
        'records',
        'version',
    )

    def __init__(self, name: str, classify: Classify) -> None:
        """Start empty; `classify` compares two records of a key."""
        self.name = name
        self.records: dict[str, KeyedRecord] = {}
        self.version = NO_VERSION
        self.next_offset = -1
        self.is_diverged = False
        self._classify = classify
        # Versions of the last change of a key, complete from `_known_since`.
        self._changed: dict[str, int] = {}
        self._removed: dict[str, int] = {}
        self._known_since = 0

    @property
    def is_read(self) -> bool:
        """Whether the topic was ever read."""
        return self.next_offset >= 0

    def fold(self, records: Iterable[KeyedRecord], next_offset: int) -> bool:
        """Apply records in order; true if something material changed."""
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
        """Adopt a complete list of keys; absent ones are dropped."""
        is_first = not self.is_read
        listed = {record.key: record for record in records}
        gone = [
            record.key
            for record in self.records.values()
            if record.key not in listed and record.offset < next_offset
        ]
        is_changed = self.fold(listed.values(), next_offset)
        if is_first or gone:
            # Whatever removed those keys lies before the next offset.
            self.version = max(self.version, next_offset)
        if is_first:
            self._known_since = self.version
        for key in gone:
            self._remove(key)
        return is_changed or is_first or bool(gone)

    def drop(self, keys: Iterable[str]) -> bool:
        """Remove keys that the platform lost; true if there were any."""
        gone = [key for key in keys if key in self.records]
        if gone:
            self.version += 1
        for key in gone:
            self._remove(key)
        return bool(gone)

    @property
    def pull_version(self) -> int:
        """Version to ask for changes since; `NO_VERSION` for all records."""
        return NO_VERSION if self.is_diverged else self.version

    def copy(self, since: int) -> TopicCopy:
        """Return what changed since a version, or all records."""
        base = since if since >= self._known_since else NO_VERSION
        records = [
            record
            for key, record in self.records.items()
            if base == NO_VERSION or self._changed.get(key, base) > base
        ]
        removed = [
            key for key, moment in self._removed.items() if moment > base
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
        """Take over a newer copy; false if it is not newer or does not fit."""
        is_whole = copy.base_version == NO_VERSION
        if copy.version <= self.version and not (is_whole and self.is_diverged):
            return False
        if is_whole:
            self._adopt_whole(copy)
            return True
        if copy.base_version > self.version:
            return False
        for record in copy.records:
            self.records[record.key] = record
            self._changed[record.key] = copy.version
            self._removed.pop(record.key, None)
        self.version = copy.version
        self.next_offset = max(self.next_offset, copy.next_offset)
        for key in copy.removed:
            if self.records.get(key) is not None:
                self._remove(key)
        self.is_diverged = copy.key_digest != self._key_digest()
        return True

    def _adopt_whole(self, copy: TopicCopy) -> None:
        self.records = {record.key: record for record in copy.records}
        self.version = copy.version
        self.next_offset = copy.next_offset
        self.is_diverged = False
        self._changed.clear()
        self._removed.clear()
        self._known_since = copy.version

    def _apply(self, record: KeyedRecord) -> bool:
        known = self.records.get(record.key)
        if known is not None and record.offset <= known.offset:
            return False
        if not record.payload:
            if record.key not in self.records:
                return False
            self._advance(record)
            self._remove(record.key)
            return True
        change = self._classify(known, record)
        if change is Change.STALE:
            return False
        self.records[record.key] = record
        if change is Change.MATERIAL:
            self._advance(record)
            self._changed[record.key] = self.version
            self._removed.pop(record.key, None)
        return change is Change.MATERIAL

    def _advance(self, record: KeyedRecord) -> None:
        """Let the version grow with every change, whatever was dropped."""
        self.version = max(self.version + 1, record.offset + 1)

    def _remove(self, key: str) -> None:
        """Drop a key and remember that this version no longer has it."""
        self.records.pop(key)
        self._changed.pop(key, None)
        self._removed[key] = self.version
        while len(self._removed) > MAX_TOMBSTONES:
            oldest = min(self._removed, key=self._removed.__getitem__)
            self._known_since = max(
                self._known_since,
                self._removed.pop(oldest),
            )

    def _key_digest(self) -> int:
        """Hash the keys, as a positive value."""
        digest = xxhash.xxh64()
        for key in sorted(self.records):
            digest.update(f'{key}\n'.encode())
        return int(digest.intdigest()) >> (64 - _DIGEST_BITS)


class StateMirror:
    """All mirrored topics of this host."""

    __slots__ = ('topics',)

    def __init__(self, topics: Iterable[TopicMirror]) -> None:
        """Create a mirror of the given topics."""
        self.topics = {topic.name: topic for topic in topics}

    def versions(self) -> tuple[TopicVersion, ...]:
        """Return the version of each topic."""
        return tuple(
            TopicVersion(name, topic.version)
            for name, topic in self.topics.items()
        )

    def pull_versions(self) -> tuple[TopicVersion, ...]:
        """Return the versions since which changes are needed."""
        return tuple(
            TopicVersion(name, topic.pull_version)
            for name, topic in self.topics.items()
        )

    @property
    def is_diverged(self) -> bool:
        """Whether a topic must be copied as a whole."""
        return any(topic.is_diverged for topic in self.topics.values())

    def is_behind(self, versions: Iterable[TopicVersion]) -> bool:
        """Whether another host has a newer version of any topic."""
        return any(
            version.topic in self.topics
            and version.offset > self.topics[version.topic].version
            for version in versions
        )

    def deltas_since(
        self,
        versions: Iterable[TopicVersion],
    ) -> tuple[TopicCopy, ...]:
        """Return what is newer here in each topic."""
        theirs = {version.topic: version.offset for version in versions}
        return tuple(
            topic.copy(theirs.get(name, NO_VERSION))
            for name, topic in self.topics.items()
            if topic.version > theirs.get(name, NO_VERSION)
        )

    def adopt(self, copies: Iterable[TopicCopy]) -> bool:
        """Take over newer topics; true if any was newer."""
        adopted = [
            self.topics[copy.topic].adopt(copy)
            for copy in copies
            if copy.topic in self.topics
        ]
        return any(adopted)
