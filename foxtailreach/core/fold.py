"""Fold of the platform's log into the configuration and partition holders.

Every host applies the same records in the same order by the same rules. So
all hosts agree, without messages, on which of several concurrent change sets
was accepted.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from foxtailreach.config.checks import check_change_set
from foxtailreach.config.faults import describe_faults
from foxtailreach.config.objects import KINDS, ChangeSet, Objects
from foxtailreach.config.records import (
    ChangeOutcome,
    ChangeRecord,
    ClaimRecord,
    ReleaseRecord,
    SeatHolder,
    SnapshotRecord,
    decode_record,
    encode_record,
)
from foxtailreach.exceptions import ProtocolError

MAX_OUTCOMES = 1000

ChangeListener = Callable[[Objects, ChangeSet, Objects], None]


class Fold:
    """State built by applying the log; offsets and versions only increase."""

    __slots__ = (
        '_listener',
        '_outcomes',
        'holders',
        'malformed',
        'next_offset',
        'objects',
        'snapshot_offset',
        'version',
    )

    def __init__(self, listener: ChangeListener | None = None) -> None:
        """Start empty.

        `listener` is called after each accepted change set with all objects,
        the change set and the objects that it replaced or removed.
        """
        self.objects = Objects()
        self.version = 0
        self.next_offset = 0
        self.snapshot_offset = 0
        self.malformed = 0
        self.holders: dict[str, SeatHolder] = {}
        self._outcomes: OrderedDict[str, ChangeOutcome] = OrderedDict()
        self._listener = listener

    def outcome(self, change_id: str) -> ChangeOutcome | None:
        """Return the outcome of a change set.

        None if it is not among the last `MAX_OUTCOMES` ones.
        """
        return self._outcomes.get(change_id)

    def apply(self, offset: int, payload: bytes) -> bool:
        """Apply the record at `offset`; false if it is old or leaves a gap.

        A snapshot may skip offsets, because retention removes old records.
        A record that cannot be decoded is counted and skipped.
        """
        if offset < self.next_offset:
            return False
        try:
            record = decode_record(payload)
        except ProtocolError:
            if offset > self.next_offset:
                return False
            self.malformed += 1
            self.next_offset = offset + 1
            return True
        if isinstance(record, SnapshotRecord):
            self.restore(record)
            self.snapshot_offset = offset
        elif offset > self.next_offset:
            return False
        else:
            self._apply_record(record)
        self.next_offset = offset + 1
        return True

    def restore(self, snapshot: SnapshotRecord) -> bool:
        """Adopt a snapshot if it is ahead of this state."""
        if snapshot.next_offset <= self.next_offset:
            return False
        self._replace_objects(snapshot.objects)
        self.version = snapshot.version
        self.next_offset = snapshot.next_offset
        self.holders = {holder.seat: holder for holder in snapshot.holders}
        self._outcomes = OrderedDict(
            (outcome.change_id, outcome) for outcome in snapshot.outcomes
        )
        return True

    def snapshot(self) -> SnapshotRecord:
        """Return the folded state as a record."""
        return SnapshotRecord(
            version=self.version,
            next_offset=self.next_offset,
            objects=self.objects,
            holders=tuple(self.holders.values()),
            outcomes=tuple(self._outcomes.values()),
        )

    def encoded_snapshot(self) -> bytes:
        """Return the folded state as a serialized record."""
        return encode_record(self.snapshot())

    def _apply_record(
        self,
        record: ChangeRecord | ClaimRecord | ReleaseRecord,
    ) -> None:
        match record:
            case ChangeRecord(change=change):
                self._apply_change(change)
            case ClaimRecord(host_id=host_id, seats=seats):
                for claim in seats:
                    self._apply_claim(host_id, claim.seat, claim.epoch)
            case ReleaseRecord(host_id=host_id, seats=seats):
                for claim in seats:
                    self._apply_release(host_id, claim.seat, claim.epoch)

    def _apply_change(self, change: ChangeSet) -> None:
        if change.change_id in self._outcomes:
            return
        faults = ''
        if change.base_version == self.version:
            faults = describe_faults(check_change_set(self.objects, change))
        else:
            faults = (
                f'based on version {change.base_version}, '
                f'but version {self.version} is in force'
            )
        if not faults:
            self.version += 1
            self._merge(change)
        self._record_outcome(
            ChangeOutcome(change.change_id, self.version, faults)
        )

    def _merge(self, change: ChangeSet) -> None:
        replaced = Objects()
        for kind in KINDS:
            entries = getattr(self.objects, kind)
            former = getattr(replaced, kind)
            upserts = getattr(change.upserts, kind)
            for name in (*getattr(change.removals, kind), *upserts):
                if name in entries:
                    former[name] = entries.pop(name)
            entries.update(upserts)
        if self._listener is not None:
            self._listener(self.objects, change, replaced)

    def _replace_objects(self, objects: Objects) -> None:
        removals = {
            kind: tuple(
                getattr(self.objects, kind).keys()
                - getattr(objects, kind).keys(),
            )
            for kind in KINDS
        }
        change = ChangeSet.replacing(objects, removals)
        self._merge(change)

    def _record_outcome(self, outcome: ChangeOutcome) -> None:
        self._outcomes[outcome.change_id] = outcome
        if len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)

    def _apply_claim(
        self, host_id: str, partition_key: str, epoch: int
    ) -> None:
        current = self.holders.get(partition_key)
        held_epoch = 0 if current is None else current.epoch
        if epoch == held_epoch + 1:
            self.holders[partition_key] = SeatHolder(
                partition_key, epoch, host_id
            )

    def _apply_release(
        self, host_id: str, partition_key: str, epoch: int
    ) -> None:
        if self.holders.get(partition_key) == SeatHolder(
            partition_key, epoch, host_id
        ):
            self.holders[partition_key] = SeatHolder(partition_key, epoch, '')
