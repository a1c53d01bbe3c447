"""Relay of the log between hosts, so that few hosts have to read it."""

from __future__ import annotations

from collections import deque

from foxtailreach.config.records import SnapshotRecord, decode_record
from foxtailreach.core import effects, events, messages
from foxtailreach.core.fold import Fold
from foxtailreach.core.log_freshness import LogFreshness
from foxtailreach.core.membership import Membership
from foxtailreach.core.ranking import top_candidate
from foxtailreach.core.units import MILLISECOND_US
from foxtailreach.exceptions import ProtocolError

RETAINED_RECORDS = 256
SNAPSHOT_EVERY_RECORDS = 500
PULL_INTERVAL_US = 200 * MILLISECOND_US

Effects = list[effects.Effect]


class LogRelay:
    """Applies records from the log or from peers and relays them."""

    __slots__ = (
        '_fold',
        '_log_freshness',
        '_membership',
        '_next_pull_us',
        '_recent_records',
    )

    def __init__(
        self,
        fold: Fold,
        log_freshness: LogFreshness,
        membership: Membership,
    ) -> None:
        """Create a relay that applies records to the node's fold."""
        self._fold = fold
        self._log_freshness = log_freshness
        self._membership = membership
        self._next_pull_us = 0
        self._recent_records: deque[messages.LogRecord] = deque(
            maxlen=RETAINED_RECORDS
        )

    def read(self, event: events.LogRead, now_us: int) -> Effects:
        """Apply records that this host read, and spread the new ones.

        Note if the log no longer has the next record that this host needs.
        """
        new_effects: Effects = []
        if self._apply_records(event.records):
            new_effects.append(
                effects.SpreadGossip(self._batch(event.records, now_us))
            )
        if self._fold.next_offset >= event.next_offset:
            self._log_freshness.record_read(now_us)
        elif event.first_offset > self._fold.next_offset:
            note = effects.Note('log-trimmed', str(event.first_offset))
            new_effects.append(note)
        return new_effects

    def receive(
        self,
        sender: str,
        batch: messages.LogBatch,
        now_us: int,
    ) -> Effects:
        """Apply records that a peer relayed."""
        new_effects: Effects = []
        if self._apply_records(batch.records):
            new_effects.append(effects.SpreadGossip(batch, is_relayed=True))
        records = batch.records
        next_offset = records[-1].offset + 1 if records else 0
        compared = self.compare_offset(
            sender, next_offset, batch.log_age_us, now_us
        )
        return [*new_effects, *compared]

    def answer_pull(
        self,
        sender: str,
        pull: messages.LogPull,
        now_us: int,
    ) -> Effects:
        """Send the records that a peer is missing, or a snapshot.

        The last `RETAINED_RECORDS` records are kept for this.
        """
        if pull.next_offset >= self._fold.next_offset:
            return []
        missing = tuple(
            record
            for record in self._recent_records
            if record.offset >= pull.next_offset
        )
        if missing and missing[0].offset == pull.next_offset:
            return [effects.SendPeer(sender, self._batch(missing, now_us))]
        hosts = tuple(state.entry for state in self._membership.hosts.values())
        snapshot = messages.Snapshot(
            payload=self._fold.encoded_snapshot(),
            next_offset=self._fold.next_offset,
            log_age_us=self._log_freshness.age_us(now_us),
            hosts=hosts,
        )
        return [effects.SendPeer(sender, snapshot)]

    def adopt_snapshot(self, snapshot: messages.Snapshot) -> bool:
        """Adopt a peer's state if it is ahead; true if it was adopted."""
        try:
            record = decode_record(snapshot.payload)
        except ProtocolError:
            return False
        if not isinstance(record, SnapshotRecord):
            return False
        return self._fold.restore(record)

    def snapshot_if_due(self, *, can_append: bool) -> Effects:
        """Append a snapshot when enough records followed the last one.

        A hash of the position selects the one host that appends it.
        """
        next_offset = self._fold.next_offset
        records_behind = next_offset - self._fold.snapshot_offset
        if not can_append or records_behind < SNAPSHOT_EVERY_RECORDS:
            return []
        hosts = self._membership.usable_hosts()
        turn = str(next_offset // SNAPSHOT_EVERY_RECORDS)
        if top_candidate(hosts, turn) != self._membership.host_id:
            return []
        self._fold.snapshot_offset = next_offset
        return [effects.AppendRecord(self._fold.encoded_snapshot())]

    def compare_offset(
        self,
        host_id: str,
        log_offset: int,
        log_age_us: int,
        now_us: int,
    ) -> Effects:
        """Compare a peer's position in the log with this host's.

        Pull records if the peer is ahead, at most once per
        `PULL_INTERVAL_US`. If both are equal, this copy is as current as the
        peer's.
        """
        if log_offset > self._fold.next_offset:
            if now_us < self._next_pull_us:
                return []
            self._next_pull_us = now_us + PULL_INTERVAL_US
            pull = messages.LogPull(self._fold.next_offset)
            return [effects.SendPeer(host_id, pull)]
        if log_offset == self._fold.next_offset and log_age_us >= 0:
            self._log_freshness.record_read(now_us - log_age_us)
        return []

    def _apply_records(self, records: tuple[messages.LogRecord, ...]) -> bool:
        is_new = False
        for record in records:
            if self._fold.apply(record.offset, record.payload):
                self._recent_records.append(record)
                is_new = True
        return is_new

    def _batch(
        self,
        records: tuple[messages.LogRecord, ...],
        now_us: int,
    ) -> messages.LogBatch:
        return messages.LogBatch(records, self._log_freshness.age_us(now_us))
