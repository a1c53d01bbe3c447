"""A replica of the platform's topics on this host.

A few hosts read the platform; the others pull copies from them. Hosts compare
their replicas by offsets of the store, which mean the same on all of them,
whether a host read the log, listed the newest records or got a copy: a replica
holds the content of its topic at each offset from `changed_offset` to
`next_offset`. So a host is behind if another one knows of a change at or after
its own `next_offset`. Records that repeat known values (heartbeats) do not
change the content and cause no traffic between hosts.

Offsets are compared within one era of the store only; a replica of a newer era
is newer. See docs/design/store-eras.md.

Two replicas whose offsets overlap must hold the same content, which a digest of
keys and values shows. If they do not, the whole topic is copied.

Load pattern: all hosts of a domain pull a change at once, through the network
link of the host that read it. So a copy is a delta: it holds only what changed
since the other host's `next_offset`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from foxtailreach.core.dispatch import eras, versions
from foxtailreach.core.dispatch.changes import (
    Change,
    Classify,
    Fingerprint,
    whole_payload,
)
from foxtailreach.core.dispatch.content_digest import ContentDigest
from foxtailreach.core.dispatch.messages import (
    KeyedRecord,
    TopicCopy,
    TopicVersion,
)
from foxtailreach.core.dispatch.tombstones import Tombstones

# Offset of a replica that was never read.
NO_VERSION = -1


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
        '_former',
        '_history_start',
        '_removed',
        '_rules',
        'changed_offset',
        'era',
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
        rules: eras.EraRules = eras.NO_RULES,
    ) -> None:
        """Create an empty replica.

        `classify` compares the known record of a key, if any, to a newer one.
        Records with different fingerprints are material changes. `rules` apply
        once the store was restored.
        """
        self.name = name
        self.era = 0
        self.records: dict[str, KeyedRecord] = {}
        self.changed_offset = NO_VERSION
        self.next_offset = NO_VERSION
        self.is_diverged = False
        self._classify = classify
        self._fingerprint = fingerprint
        # Offsets of the last change of each key, or later ones. They and the
        # removals are complete since `_history_start`.
        self._changed_offsets: dict[str, int] = {}
        self._removed = Tombstones()
        self._history_start = 0
        self._digest = ContentDigest()
        self._rules = rules
        self._former = eras.FormerRecords(rules)

    @property
    def is_read(self) -> bool:
        """Whether the topic was read at least once."""
        return self.next_offset >= 0

    @property
    def version(self) -> TopicVersion:
        """Offsets and digest of this replica."""
        return TopicVersion(
            self.name,
            self.changed_offset,
            self.next_offset,
            self._digest.value,
            self.era,
        )

    @property
    def pull_version(self) -> TopicVersion:
        """Version for the next pull; without offsets it requests all."""
        if self.is_diverged:
            return TopicVersion(self.name, NO_VERSION, NO_VERSION, 0, self.era)
        return self.version

    def is_behind(self, other: TopicVersion) -> bool:
        """Tell whether another replica holds a change that this one lacks."""
        return versions.is_behind(self.version, other)

    def contradicts(self, other: TopicVersion) -> bool:
        """Tell whether another replica holds other content at an offset."""
        return versions.contradicts(self.version, other)

    def follow(self, other: TopicVersion) -> bool:
        """Advance to the offset of another replica with the same content.

        Return whether this led to a newer era.
        """
        is_same = other.digest == self._digest.value and not self.is_diverged
        if other.changed_offset < 0 or not is_same or not self.is_read:
            return False
        if other.era > self.era:
            self._enter(other.era, other.next_offset)
            self._history_start = other.next_offset
            self.changed_offset = other.changed_offset
            self.next_offset = other.next_offset
            return True
        if other.era == self.era and not self.is_behind(other):
            self.next_offset = max(self.next_offset, other.next_offset)
        return False

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
        era: int | None = None,
    ) -> bool:
        """Replace all records up to `next_offset`; absent keys are removed.

        Return whether anything changed. The list may hold records from
        `next_offset` on, which were appended while it was read. It is of the
        current era by default, and ignored if it is of an older one.
        """
        if era is not None and era < self.era:
            return False
        if era is not None and era > self.era:
            self._enter(era, next_offset)
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

    def copy(self, since: int, era: int | None = None) -> TopicCopy:
        """Return what changed from an offset on, of the current era by default.

        That is nothing if the content was the same then, and the whole topic if
        not all changes since then are known.
        """
        if era is not None and era != self.era:
            since = NO_VERSION
        is_same = since >= self.changed_offset
        is_known = since >= self._history_start
        base = since if is_same or is_known else NO_VERSION
        records = [
            record
            for key, record in self.records.items()
            if not is_same and self._changed_offsets.get(key, base) >= base
        ]
        is_partial = base != NO_VERSION and not is_same
        return TopicCopy(
            topic=self.name,
            base_offset=base,
            changed_offset=self.changed_offset,
            next_offset=self.next_offset,
            records=tuple(records),
            removed=self._removed.since(base) if is_partial else (),
            digest=self._digest.value,
            era=self.era,
        )

    def adopt(self, copy: TopicCopy) -> bool:
        """Apply a copy from another host; return whether it changed anything.

        A copy that is older than this replica, or whose base is newer, is
        ignored. Records that are stale by themselves are left out.
        """
        is_whole = copy.base_offset == NO_VERSION
        if copy.era != self.era:
            if copy.era < self.era or not is_whole or copy.next_offset < 0:
                return False
            self._enter(copy.era, copy.next_offset)
            return self._adopt_whole(copy)
        if is_whole:
            is_needed = self.is_diverged or self.is_behind(copy.version)
            is_newer = copy.next_offset >= self.next_offset
            return is_needed and is_newer and self._adopt_whole(copy)
        if copy.base_offset > self.next_offset:
            return False
        if not self.is_behind(copy.version):
            self.follow(copy.version)
            return False
        is_changed = self._merge(copy.records, copy.changed_offset)
        for key in copy.removed:
            is_changed = self._remove(key, copy.next_offset - 1) or is_changed
        self._advance(copy)
        self.is_diverged = copy.digest != self._digest.value
        return is_changed

    def _enter(self, era: int, end: int) -> None:
        """Keep the records, whose offsets mean nothing in the new era.

        What is not written again is not in the log below `end`.
        """
        self.era = era
        self._former.begin(era, end)
        self.is_diverged = False
        self.changed_offset = NO_VERSION
        self.next_offset = NO_VERSION
        self.records = {
            key: replace(record, offset=NO_VERSION)
            for key, record in self.records.items()
        }
        self._changed_offsets = dict.fromkeys(self.records, NO_VERSION)
        self._removed.clear()
        self._digest.leave_out()

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
            if record.key not in listed
            and record.offset < next_offset
            and not (self.era and self._rules.is_lasting(record))
        ]

    def _merge(
        self, records: Iterable[KeyedRecord], changed_offset: int
    ) -> bool:
        """Take over the records of a newer replica, unless they are stale.

        Offsets of records are not compared, as replicas that hold the same
        value may have read it from different records.
        """
        is_changed = False
        for offered in records:
            record = self._former.substitute(offered)
            if record is None:
                continue
            known = self.records.get(record.key)
            change = Change.REPEATED
            if known is None or known.payload != record.payload:
                change = self._compare(known, record)
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
        usable = self._former.substitute(record)
        if usable is None:
            return False
        change = self._compare(known, usable)
        if change is Change.STALE:
            return False
        self._store(usable, change)
        if change is Change.MATERIAL:
            self._changed_offsets[record.key] = record.offset
            self._record_change(record)
        return change is Change.MATERIAL

    def _compare(
        self, known: KeyedRecord | None, record: KeyedRecord
    ) -> Change:
        """Classify a record; once the store was restored, by `EraRules`."""
        change = self._classify(known, record)
        if not self.era or known is None:
            return change
        if self._rules.is_older(known, record):
            return Change.STALE
        is_newer = self._rules.is_older(record, known)
        is_revised = change is Change.STALE and is_newer
        return Change.MATERIAL if is_revised else change

    def _record_change(self, record: KeyedRecord) -> None:
        self.changed_offset = max(self.changed_offset, record.offset + 1)

    def _store(self, record: KeyedRecord, change: Change) -> None:
        self.records[record.key] = record
        self._former.forget(record.key)
        if change is Change.MATERIAL:
            self._removed.discard(record.key)
            # Hosts may differ in whether a target drains or has left, as they
            # agree on what is in use.
            is_final = self._rules.is_final(record)
            is_optional = is_final and not self._rules.is_lasting(record)
            fingerprint = self._fingerprint(record)
            self._digest.update(
                record.key, fingerprint, is_optional=is_optional
            )

    def _remove(self, key: str, offset: int) -> bool:
        """Remove a key, and keep a tombstone; false if it is unknown.

        The key was removed at `offset` at the latest.
        """
        removed = self.records.pop(key, None)
        if removed is None:
            return False
        self._former.remember(removed)
        self._changed_offsets.pop(key, None)
        self._digest.remove(key)
        self._history_start = max(
            self._history_start, self._removed.add(key, offset)
        )
        return True
